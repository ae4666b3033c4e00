"""Sub-commands; no logic."""
