(day "hot_key"
  (about "One volume asks for eight times as much, all of it in a few extents.")
  (trouble hot_key (from 2s) (for 6s) (size 8)))
