"""The head: fronts, links to nodes, the life of requests and attempts, and the wiring of all."""
