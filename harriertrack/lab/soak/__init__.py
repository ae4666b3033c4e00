"""Soak of the platform's head: processes on loopback under drains, restarts and faults, drawn from seeds."""
