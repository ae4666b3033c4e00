(day "drain-restart"
  (about "Half of the nodes drain for a long time, and heads that know it are killed and come back.")
  (length 12s) (heads 3) (nodes 4)
  (trouble drain (from 1500ms) (for 8s) (part 0.5))
  (trouble balancer_roll (from 3s) (for 3s) (every 300ms)))
