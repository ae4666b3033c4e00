"""Files and stores that survive a crash."""
