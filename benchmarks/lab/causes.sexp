(experiment "causes"
  (about "Which trouble and which part of the module costs the worth.")
  (seeds 4)
  (day "benchmarks/lab/lost-answers-hot-key.sexp") (day "benchmarks/lab/without-lost.sexp")
  (day "benchmarks/lab/without-hot.sexp") (day "benchmarks/lab/without-scan.sexp")
  (variant "now")
  (variant "no-crowding" (constant "CROWDED_MAX" (value 0)))
  (variant "fifo" (module fifo))
  (variant "oracle" (module oracle)))
