"""Models of the pure state machines, with two or three heads, explored in every order of events."""
