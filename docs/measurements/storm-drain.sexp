(fleet-day "storm-drain"
  (about "A head stands still while nodes are listed as draining, and sends to them as it wakes, before it reads the list.")
  (processes 4) (shelves 6) (rate 16) (hosts 4)
  (figures (probe 300ms) (answer 150ms) (gossip 60ms) (reach 1s) (slack 3))
  (step start) (step agree) (step rest (for 2s))
  (step stop (for 5s)) (step rest (for 1s)) (step drain (part 0.5) (for 8s)) (step rest (for 12s)))
