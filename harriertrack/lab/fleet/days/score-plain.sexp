(fleet-day "score-plain"
  (about "One zone's nodes work slower than the others: heads agree to send them less.")
  (processes 5) (figures (probe 300ms) (answer 150ms) (gossip 60ms) (sync 5s) (reach 1s) (recent 10s) (slack 3))
  (shared 0) (shelves 6) (rate 25)
  (scoring (tell 500ms) (scorer "least-latency"))
  (step start) (step agree (within 20s)) (step rest (for 8s))
  (step slow (zone "z1") (times 3) (for 25s)) (step rest (for 30s)))
