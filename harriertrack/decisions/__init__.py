"""What to do. Pure: no socket, file, clock, thread or logging; time and seed are handed in.

`Scheduler` is the decision module of one head. Feed it the events of `interface` and carry out the actions
that it returns, in order.
"""

from harriertrack.decisions.scheduler import Scheduler

__all__ = ["Scheduler"]
