(day "balancer_roll"
  (about "Heads are killed one after another and come back.")
  (trouble balancer_roll (from 2s) (for 6s) (every 500ms)))
