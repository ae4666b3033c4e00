(day "hang"
  (about "Nodes accept requests and never answer.")
  (trouble hang (from 2s) (for 6s) (part 0.25)))
