(fleet-day "score-broken-plugin"
  (about "Beside a good scorer one keeps state, and at heads started later one raises: they lose their vote alone.")
  (processes 5) (figures (probe 300ms) (answer 150ms) (gossip 60ms) (sync 5s) (reach 1s) (recent 10s) (slack 3))
  (shared 0) (shelves 6) (rate 25)
  (scoring (tell 500ms) (suspend 6s) (scorer "fill-aware") (scorer "broken-state"))
  (scoring-later (tell 500ms) (suspend 6s) (scorer "fill-aware") (scorer "broken-raises"))
  (step start (who "0..0.6")) (step start (who "0.6..1") (later yes)) (step agree (within 20s))
  (step slow (zone "z1") (times 3) (for 20s)) (step rest (for 30s)))
