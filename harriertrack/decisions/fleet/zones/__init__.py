"""Leaving zones that fail and returning, as a fleet: what is seen, what is decided, what a head is told."""
