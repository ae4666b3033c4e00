(day "two-regions-slow-link"
  (about "The link between the regions takes 3 s, with bytes under way.")
  (length 14s) (nodes 3) (volumes 4) (rate 80) (two-regions (mode both))
  (trouble link_slow (from 3s) (for 4s) (size 3000)))
