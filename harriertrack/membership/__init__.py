"""Who is there: the node list and how a head follows it."""
