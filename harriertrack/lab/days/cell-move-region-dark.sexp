(day "cell-move-region-dark"
  (about "Two cells over two regions: a volume moves in both while one region goes dark and comes back.")
  (length 26s) (nodes 4) (volumes 4) (cells 2) (rate 80) (two-regions (mode both))
  (trouble cell_move (from 2s) (every 200ms))
  (trouble region_dark (region "a") (from 2300ms) (for 5s)))
