(day "two-regions-dark"
  (about "Region a goes dark for five seconds and comes back.")
  (length 14s) (nodes 3) (volumes 4) (rate 80) (two-regions (mode both))
  (trouble region_dark (region "a") (from 3s) (for 5s)))
