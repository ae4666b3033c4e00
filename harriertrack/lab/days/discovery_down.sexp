(day "discovery_down"
  (about "The node list is out of reach while a node drains and another restarts.")
  (trouble discovery_down (from 2s) (for 6s))
  (trouble mass_restart (from 3s) (for 1s) (part 0.25)))
