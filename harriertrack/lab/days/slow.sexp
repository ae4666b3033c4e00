(day "slow"
  (about "Nodes work six times slower.")
  (trouble slow (from 2s) (for 7s) (part 0.25) (size 6)))
