"""Scenarios: production objects with tasks, faults and invariants, for the model checker to explore."""
