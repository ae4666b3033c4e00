(day "tenant_burst"
  (about "All volumes of one plan ask for six times their usual load.")
  (trouble tenant_burst (from 2s) (for 7s) (size 6)))
