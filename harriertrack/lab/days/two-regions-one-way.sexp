(day "two-regions-one-way"
  (about "The link passes one way only, first there, then back.")
  (length 14s) (nodes 3) (volumes 4) (rate 80) (two-regions (mode both))
  (trouble link_block (how there) (from 3s) (for 2s))
  (trouble link_block (how back) (from 7s) (for 2s)))
