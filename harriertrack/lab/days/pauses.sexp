(day "pauses"
  (about "Half of the nodes stand still for 200 ms again and again.")
  (trouble pauses (from 2s) (for 8s) (part 0.5) (size 200) (every 1s)))
