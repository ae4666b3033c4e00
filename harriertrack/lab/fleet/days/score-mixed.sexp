(fleet-day "score-mixed"
  (about "Half of the heads run other parameters of a scorer: each half joins what its own half says.")
  (processes 6) (figures (probe 300ms) (answer 150ms) (gossip 60ms) (sync 5s) (reach 1s) (recent 10s) (slack 3))
  (shared 0) (shelves 6) (rate 25)
  (scoring (tell 500ms) (scorer "least-latency"))
  (scoring-later (tell 500ms) (scorer "least-latency" (parameter "power" (value 2))))
  (step start (who "0..0.5")) (step start (who "0.5..1") (later yes)) (step agree (within 20s))
  (step rest (for 6s)) (step slow (zone "z1") (times 3) (for 20s)) (step rest (for 24s))
  (step kill (who "0.3..0.5")) (step start (later yes)) (step agree (within 30s)) (step rest (for 14s)))
