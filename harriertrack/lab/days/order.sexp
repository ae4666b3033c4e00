(day "order"
  (about "Writes of one extent keep their order while answers get lost.")
  (in-order yes) (rules (drain-grace 2s) (fall-multiple 2) (fall 2s) (cold-share 0.25) (warm 8s) (cold-units 24) (order-settle 400ms))
  (trouble answer_lost (from 2s) (for 6s) (part 0.5) (size 0.2)))
