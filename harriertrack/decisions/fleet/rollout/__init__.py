"""How a version comes to all heads: in stages, by evidence, and back if it is worse. Pure."""
