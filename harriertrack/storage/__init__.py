"""What survives a crash."""
