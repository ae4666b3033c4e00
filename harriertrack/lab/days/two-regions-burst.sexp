(day "two-regions-burst"
  (about "All volumes of the limited plan surge, while a region is cut off and comes back.")
  (length 14s) (nodes 3) (volumes 4) (rate 160) (request 1ms) (unit 1ms) (two-regions (mode both))
  (trouble tenant_burst (from 2s) (for 9s) (size 8) (plan "basic"))
  (trouble region_cut (region "a") (from 4s) (for 3s)))
