"""The launcher of a head: starts the desired version, and the last good one if that fails."""
