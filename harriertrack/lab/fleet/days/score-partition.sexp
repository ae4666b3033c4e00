(fleet-day "score-partition"
  (about "Two fifths of the heads hear nothing of the others for a while: what was heard fades, and comes again.")
  (processes 5) (figures (probe 300ms) (answer 150ms) (gossip 60ms) (sync 5s) (reach 1s) (recent 10s) (slack 3))
  (shared 0) (shelves 6) (rate 25)
  (scoring (tell 500ms) (scorer "fill-aware") (stale 8s))
  (step start) (step agree (within 20s)) (step rest (for 6s))
  (step slow (zone "z2") (times 3) (for 40s))
  (step weather (who "0..0.4") (cut yes) (for 20s)) (step rest (for 24s))
  (step agree (within 30s)) (step rest (for 14s)))
