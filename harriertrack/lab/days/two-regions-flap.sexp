(day "two-regions-flap"
  (about "The link breaks and comes back every two seconds.")
  (length 14s) (nodes 3) (volumes 4) (rate 80) (two-regions (mode both))
  (trouble link_flap (from 2s) (for 8s) (every 2s)))
