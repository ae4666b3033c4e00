(day "without-lost"
  (about "48 heads over 10 nodes: answers get lost, one volume is hot, another is scanned.")
  (length 10s) (heads 48) (nodes 10) (volumes 96) (shared 0.2) (rate 1000) (volume 4MiB)
  (service lognormal) (service-cv 0.8)
  (trouble hot_key (from 3s) (for 6s) (size 20))
  (trouble scan (from 3s) (for 6s) (size 10)))
