(day "answer_lost"
  (about "Half of the nodes finish the work, and a quarter of their answers never arrive.")
  (trouble answer_lost (from 2s) (for 8s) (part 0.5) (size 0.25)))
