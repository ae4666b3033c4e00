(day "retry_abuse"
  (about "Overload, and clients repeat at once whatever is refused.")
  (trouble tenant_burst (from 2s) (for 7s) (size 8))
  (trouble retry_abuse (from 2s) (for 8s) (size 4)))
