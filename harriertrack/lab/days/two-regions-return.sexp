(day "two-regions-return"
  (about "Region b is cut off under load, and is brought up to date again.")
  (length 14s) (nodes 3) (volumes 4) (rate 80) (two-regions (mode both))
  (trouble region_cut (region "b") (from 2s) (for 4s)))
