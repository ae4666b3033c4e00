(day "scan"
  (about "One volume reads from end to end.")
  (trouble scan (from 2s) (for 6s) (size 8)))
