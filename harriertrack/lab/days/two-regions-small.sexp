(day "two-regions-small"
  (about "Region a goes dark; its volumes have few extents, so clients read and write where it still catches up.")
  (length 24s) (nodes 4) (volumes 3) (volume 1MiB) (most-sectors 16) (rate 60) (two-regions (mode both))
  (trouble region_dark (region "a") (from 2s) (for 3s)))
