"""Scorers: what they are, and the three that come with the program."""
