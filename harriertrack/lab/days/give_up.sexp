(day "give_up"
  (about "Clients break off with requests open.")
  (rate 300)
  (trouble give_up (from 2s) (for 8s) (part 0.4) (every 300ms)))
