"""What carries the fleet's parts: datagrams, a door for operators. Heads without a fleet do not load it."""
