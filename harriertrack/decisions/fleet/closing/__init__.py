"""Purges at a market's local close: when closes are, when each head steps over one, and what it trims."""
