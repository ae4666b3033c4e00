"""What carries rollouts: heads report, who decides writes the next steps; a launcher starts the program."""
