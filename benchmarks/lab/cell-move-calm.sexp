(day "cell-move-calm"
  (about "The day cell-move without its move.")
  (heads 3) (nodes 6) (volumes 6) (shared 0) (cells 2) (rate 160) (length 20s)
  (trouble hot_key (from 2s) (for 6s) (size 3)))
