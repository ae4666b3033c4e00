(day "cell-flood-calm"
  (about "The day cell-flood without its flood.")
  (heads 3) (nodes 6) (volumes 6) (shared 0) (cells 2) (rate 180))
