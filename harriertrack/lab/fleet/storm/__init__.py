"""Storms: random fleet days drawn from a seed, checked like all days, and shrunk when they break a rule."""
