"""Bytes to messages and back, without I/O."""
