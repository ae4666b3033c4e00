(experiment "cells"
  (about "Each cell's service during a flood and during a move, beside the same days without.")
  (seeds 4) (oracle no)
  (day "cell-flood") (day "benchmarks/lab/cell-flood-calm.sexp")
  (day "cell-move") (day "benchmarks/lab/cell-move-calm.sexp")
  (variant "now"))
