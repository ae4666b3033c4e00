(fleet-day "score-liar"
  (about "A fifth of the heads say the contrary of what they see, as strongly as they can.")
  (processes 5) (figures (probe 300ms) (answer 150ms) (gossip 60ms) (sync 5s) (reach 1s) (recent 10s) (slack 3))
  (shared 0) (shelves 6) (rate 25) (liars "0.2..0.4")
  (scoring (tell 500ms) (scorer "least-latency"))
  (step start) (step agree (within 20s)) (step rest (for 8s))
  (step slow (zone "z1") (times 3) (for 25s)) (step rest (for 30s)))
