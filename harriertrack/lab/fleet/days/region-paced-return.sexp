(fleet-day "region-paced-return"
  (about "A region goes dark: its volumes are taken over, and go home when it is back, at the pace of all heads together.")
  (processes 8) (shelves 6) (rate 4) (shared 0) (regions yes) (moving 6) (limit 16)
  (figures (probe 300ms) (answer 150ms) (gossip 60ms) (sync 5s) (reach 1s) (recent 10s) (slack 3))
  (budgets (clock-error 0.01) (term 2s) (patience 1s) (budget cold (fixed 0.3)) (budget takeovers (whole 3) (burst 2) (fixed 0.3)))
  (step start) (step agree (within 20s)) (step rest (for 4s))
  (step kill (who "region-a")) (step rest (for 20s))
  (step start (who "region-a")) (step agree (within 30s)) (step rest (for 30s)))
