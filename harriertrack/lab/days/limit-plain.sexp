(day "limit-plain"
  (about "All clients are plain, and volumes with a limit ask for ten times of it.")
  (length 10s) (plain 1) (write-deadline 15s) (request 1ms) (unit 1ms) (rate 120) (limit 1) (patience 60s)
  (trouble tenant_burst (from 2s) (for 4s) (size 10) (plan "basic")))
