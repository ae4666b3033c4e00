(fleet-day "close-plain"
  (about "A market closes twice while clients write and read.")
  (processes 5) (shelves 3) (rate 6) (hosts 3)
  (figures (probe 300ms) (answer 150ms) (gossip 60ms) (sync 5s) (reach 1s) (recent 10s) (slack 3) (note 1s))
  (budgets (clock-error 0.01) (term 2s) (patience 1s) (budget cold (fixed 0.3)))
  (changes (look 300ms) (spread 500ms))
  (closing (volumes "market*" "desk*") (notice 4s) (ask 1s) (rate 400))
  (step start (skew 100ms)) (step agree (within 20s)) (step rest (for 3s))
  (step market (after 10s 18s)) (step rest (for 24s)))
