"""S-expression settings, checked into frozen dataclasses."""
