(day "waiting-drain"
  (about "Plain clients wait for nodes that are drained and replaced in the middle of a surge.")
  (length 14s) (plain 1) (write-deadline 15s)
  (trouble tenant_burst (from 2s) (for 6s) (size 5))
  (trouble drain (from 4s) (for 3s) (part 0.5)))
