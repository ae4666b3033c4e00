"""Checks that judge recordings of what sockets carried and of what heads reported."""
