"""Scorers of storage nodes in a head: plugins, their calls, and the exchange of their weights."""
