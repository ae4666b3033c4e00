(day "neighbour"
  (about "Another program takes two thirds of half of the nodes, on and off.")
  (trouble neighbour (from 2s) (for 8s) (part 0.5) (size 3) (every 1s)))
