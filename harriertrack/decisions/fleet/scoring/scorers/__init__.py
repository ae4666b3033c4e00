"""Scorers: their interface, and the three that are built in."""
