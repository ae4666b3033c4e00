(day "zone_cut"
  (about "One zone's nodes and the other zone's heads can't reach each other.")
  (zones "east" "west")
  (trouble zone_cut (from 2s) (for 5s)))
