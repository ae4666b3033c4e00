"""harriertrack: the decisions of an I/O scheduler for heads that share storage nodes."""

from harriertrack.scheduler import Scheduler

__all__ = ["Scheduler"]
