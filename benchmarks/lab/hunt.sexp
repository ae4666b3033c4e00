(hunt "calm" (day "calm") (runs 40) (most-troubles 2) (kinds slow hang drain answer_lost mass_restart pauses)
  (seed 3))
