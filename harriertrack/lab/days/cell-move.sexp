(day "cell-move"
  (about "Two cells: a busy volume moves from one to the other while its clients go on; heads learn of it in turn.")
  (heads 3) (nodes 6) (volumes 6) (shared 0) (cells 2) (rate 160) (length 20s)
  (trouble hot_key (from 2s) (for 6s) (size 3))
  (trouble cell_move (from 3s) (every 1s)))
