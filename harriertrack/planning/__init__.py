"""Plans found by a solver."""
