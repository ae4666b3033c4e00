"""Measurements of the running head; none of them is part of CI."""
