(day "two-regions-calm"
  (about "Two regions and no trouble.")
  (length 14s) (nodes 3) (volumes 4) (rate 80) (two-regions (mode both)))
