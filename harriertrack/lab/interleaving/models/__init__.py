"""Pure machines in every order of their events, with two or three heads."""
