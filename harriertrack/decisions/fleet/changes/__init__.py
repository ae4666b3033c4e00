"""What the fleet agrees should run: one record of versions of named things; all changes are users of it."""
