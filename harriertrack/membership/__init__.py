"""Membership: the node list, its sources, volume leases, and the fleet of heads."""
