"""Decisions: pure logic without sockets, files, clocks, threads or logging; time and seed are passed in.

`Scheduler` is the decision module of one head. Pass it the events of `interface`, and execute the actions
that it returns, in order.
"""

from harriertrack.decisions.scheduler import Scheduler

__all__ = ["Scheduler"]
