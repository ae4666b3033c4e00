(day "waiting-kill"
  (about "Plain clients, and heads that are killed at each step of a wait, in a surge with a node gone for a while.")
  (length 14s) (heads 3) (plain 1) (write-deadline 15s) (rate 160)
  (trouble tenant_burst (from 1500ms) (for 8s) (size 6))
  (trouble mass_restart (from 4s) (for 1s) (part 0.25))
  (trouble waiting_kill (from 2s) (for 8s) (every 200ms)))
