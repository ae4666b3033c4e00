(day "waiting-region-dark"
  (about "Plain clients wait while a region goes dark, its volumes change hands, and it comes back.")
  (length 20s) (plain 1) (write-deadline 5s) (rate 80) (two-regions)
  (trouble region_dark (from 5s) (for 6s)))
