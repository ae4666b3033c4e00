"""The record of changes: versions of named things, and which heads of the fleet are to run them."""
