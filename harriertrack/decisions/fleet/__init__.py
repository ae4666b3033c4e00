"""What a fleet of heads decides together. Pure, as all decisions; nothing here is loaded by a head alone."""
