(experiment "candidates"
  (about "How many nodes a new extent's placement looks at: fewer would make its cost flat.")
  (seeds 6) (oracle no)
  (day "benchmarks/lab/full-size.sexp")
  (variant "now")
  (sweep "CANDIDATES" (values 16)))
