"""What all tests run with."""

import gc

# Recordings are long lists of records that stay: collect in larger lots, as heads do (cli/head.py). A tenth of the
# processor time of a day in simulated time went to looking through them again and again.
gc.set_threshold(20_000, 20, 20)
