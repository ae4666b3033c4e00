(day "calm"
  (about "No trouble: the figure that the others are compared with."))
