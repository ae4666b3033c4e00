"""The head on the users' platform: HTTP fronts and shelfs around the same core that the other fronts have."""
