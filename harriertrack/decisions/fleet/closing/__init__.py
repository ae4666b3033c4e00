"""Purges at a market's close: which closes there are, when each head goes over to the next, what it trims."""
