(day "two-regions-stall"
  (about "Heads stand still for longer than their lease.")
  (length 14s) (nodes 3) (volumes 4) (rate 80) (two-regions (mode both))
  (trouble balancer_stall (from 3s) (for 6s) (size 3000) (every 3500ms)))
