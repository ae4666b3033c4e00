(day "overload"
  (about "48 heads ask 10 nodes for more than they can do; one volume is scanned.")
  (length 10s) (heads 48) (nodes 10) (volumes 96) (shared 0.2) (rate 1900) (volume 4MiB)
  (service lognormal) (service-cv 0.8)
  (trouble scan (from 2s) (for 6s) (size 10)))
