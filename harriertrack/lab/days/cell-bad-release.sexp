(day "cell-bad-release"
  (about "Two cells: every request of one volume kills the node that takes it.")
  (heads 3) (nodes 6) (volumes 6) (shared 0) (cells 2) (rate 160)
  (trouble bad_release (from 3s) (for 4s) (how kill) (every 1s)))
