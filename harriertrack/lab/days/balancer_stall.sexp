(day "balancer_stall"
  (about "Heads stand still for 400 ms again and again.")
  (trouble balancer_stall (from 2s) (for 8s) (size 400) (every 1s)))
