(experiment "same" (about "Two variants that differ in the heads' own luck alone.") (oracle no) (seeds 100) (day "saturday") (day "slow")
  (variant "now") (variant "salted" (salt 1)))
