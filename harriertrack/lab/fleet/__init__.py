"""Fleets of heads, as processes or in simulated time: scenarios, faults between them, what is judged."""
