(day "restart-lost"
  (about "48 heads over 10 nodes: answers get lost, and a third of the nodes restarts.")
  (length 10s) (heads 48) (nodes 10) (volumes 96) (shared 0.2) (rate 1000) (volume 4MiB)
  (service lognormal) (service-cv 0.8)
  (trouble answer_lost (from 1s) (for 8s) (part 0.4) (size 0.15))
  (trouble mass_restart (from 3s) (for 1500ms) (part 0.3)))
