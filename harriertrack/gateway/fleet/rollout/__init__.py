"""Rollouts: heads report, the deciding head writes the next steps, and a launcher starts the program."""
