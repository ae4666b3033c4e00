"""Storms: days for a fleet that are drawn from a seed, judged as all days are, and shrunk when they fail."""
