(day "plain-clients"
  (about "Two volumes of three have clients that hear no hints, over a surge, a hanging node and a restart.")
  (length 14s) (plain 0.67) (write-deadline 15s) (rate 160)
  (trouble tenant_burst (from 1500ms) (for 5s) (size 6))
  (trouble hang (from 4s) (for 3s) (part 0.25))
  (trouble mass_restart (from 9s) (for 1500ms) (part 0.25)))
