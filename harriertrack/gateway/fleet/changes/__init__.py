"""A head's part in the fleet's changes: the record is followed, kept and told here."""
