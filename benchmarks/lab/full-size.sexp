(day "full-size"
  (about "170 heads over 43 nodes: some are slow for a while, others restart.")
  (length 10s) (heads 170) (nodes 43) (volumes 340) (shared 0.1) (rate 2200) (volume 4MiB)
  (service lognormal) (service-cv 0.5)
  (trouble slow (from 2s) (for 4s) (part 0.1) (size 4))
  (trouble mass_restart (from 5s) (for 1s) (part 0.1)))
