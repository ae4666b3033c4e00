(day "cell-move-kill"
  (about "A volume moves to another cell while heads are killed and nodes restart.")
  (heads 3) (nodes 6) (volumes 6) (shared 0) (cells 2) (rate 160) (length 20s)
  (trouble cell_move (from 2s) (every 300ms))
  (trouble balancer_roll (from 2200ms) (for 1500ms) (every 300ms))
  (trouble mass_restart (from 4s) (for 500ms) (part 0.3)))
