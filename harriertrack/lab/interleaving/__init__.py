"""All interleavings of a few tasks of the production code, and of the events of pure machines."""
