(day "drain"
  (about "Nodes drain, one after another.")
  (trouble drain (from 2s) (for 3s) (part 0.25))
  (trouble drain (from 7s) (for 3s) (part 0.25)))
