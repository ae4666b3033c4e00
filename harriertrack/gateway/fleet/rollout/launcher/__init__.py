"""The launcher of a head: starts the version that is wanted, and the last good one when that fails."""
