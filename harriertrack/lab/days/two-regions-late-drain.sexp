(day "two-regions-late-drain"
  (about "Nodes of both regions drain while the link is slow: the news can't cross in time.")
  (length 14s) (nodes 3) (volumes 4) (rate 80) (two-regions (mode both))
  (trouble link_slow (from 3s) (for 6s) (size 3000))
  (trouble drain (from 3500ms) (for 5s) (part 0.3)))
