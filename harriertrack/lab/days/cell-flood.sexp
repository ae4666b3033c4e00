(day "cell-flood"
  (about "Two cells: one volume floods its own, and the other cell is none the worse.")
  (heads 3) (nodes 6) (volumes 6) (shared 0) (cells 2) (rate 180)
  (trouble hot_key (from 3s) (for 6s) (size 12)))
