"""Stand-ins for outside systems, with faults on demand."""
