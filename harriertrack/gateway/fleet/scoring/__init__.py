"""Scorers of storage nodes in a head: plugins, their calls, and what is shared of their weights."""
