(day "answer_reset"
  (about "Half of the nodes finish the work, and break the connection instead of one answer in ten.")
  (trouble answer_lost (how reset) (from 2s) (for 8s) (part 0.5) (size 0.1)))
