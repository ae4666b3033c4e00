"""Scoring of storage nodes: what a head observes, its scorers, and how heads share and aggregate weights."""
