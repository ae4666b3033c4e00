"""The head on the users' platform: an HTTP front and connections to nodes around the shared core."""
