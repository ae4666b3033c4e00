"""Cell plans, found by a constraint solver."""
