"""Decisions that the heads of a fleet make together. Pure; not loaded by a head without a fleet."""
