"""The fleet's record of changes on one head: replication, cache and status."""
