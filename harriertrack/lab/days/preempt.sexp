(day "preempt"
  (about "Nodes are taken away with a second's notice and replaced.")
  (trouble preempt (from 2s) (for 2s) (part 0.25))
  (trouble preempt (from 7s) (for 1s) (part 0.25)))
