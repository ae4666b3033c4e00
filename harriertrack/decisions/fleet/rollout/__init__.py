"""Staged rollouts: a version reaches heads in stages, is judged by evidence, and rolled back if worse."""
