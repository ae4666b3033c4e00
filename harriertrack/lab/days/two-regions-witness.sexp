(day "two-regions-witness"
  (about "The witness goes dark together with a region.")
  (length 14s) (nodes 3) (volumes 4) (rate 80) (two-regions (mode both))
  (trouble witness_down (from 3s) (for 4s))
  (trouble region_cut (region "a") (from 3s) (for 4s)))
