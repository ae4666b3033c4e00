(day "budget"
  (about "Further attempts are rationed while nodes break and come back.")
  (rules (drain-grace 500ms) (fall-multiple 2.5) (fall 1500ms) (cold-share 0.25) (warm 8s) (cold-units 24) (budget-free 3) (budget-share 0.15) (budget-window 5s))
  (trouble answer_lost (how reset) (from 2s) (for 5s) (part 0.5) (size 0.4))
  (trouble mass_restart (from 8s) (for 500ms) (part 0.5))
  (trouble slow (from 5s) (for 5s) (part 0.5) (size 4)))
