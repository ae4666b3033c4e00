"""Worlds of production code that are explored."""
