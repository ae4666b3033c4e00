(day "tenant_burst"
  (about "All volumes of one plan ask for eight times their usual load.")
  (request 1ms) (unit 1ms) (rate 200)
  (trouble tenant_burst (from 2s) (for 7s) (size 8) (plan "basic")))
