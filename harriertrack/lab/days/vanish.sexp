(day "vanish"
  (about "A machine goes silent and comes back cold.")
  (trouble vanish (from 2s) (for 4s) (part 0.25)))
