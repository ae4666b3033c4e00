"""Scores of storage nodes: what a head sees, who judges it, and how heads share and join their weights."""
