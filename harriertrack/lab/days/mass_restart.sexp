(day "mass_restart"
  (about "Half of the nodes restart at once and come back cold.")
  (trouble mass_restart (from 3s) (for 2s) (part 0.5)))
