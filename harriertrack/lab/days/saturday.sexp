(day "saturday"
  (about "Three heads on a bad Saturday: lost answers, a hanging node, a drain, a surge and a rack restart.")
  (length 16s) (heads 3) (nodes 6) (volumes 9) (rate 220)
  (trouble answer_lost (from 2s) (for 10s) (part 0.3) (size 0.2))
  (trouble hang (from 3s) (for 5s) (part 0.16))
  (trouble drain (from 4s) (for 4s) (part 0.16))
  (trouble tenant_burst (from 6s) (for 6s) (size 4))
  (trouble mass_restart (from 9s) (for 1500ms) (part 0.3))
  (trouble balancer_roll (from 11s) (for 3s) (every 400ms)))
