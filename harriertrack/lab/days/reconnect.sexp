(day "reconnect"
  (about "The busiest head of half of the volumes changes at a stroke, twice.")
  (trouble reconnect (from 3s) (part 0.5))
  (trouble reconnect (from 7s) (part 0.5)))
