"""Which calls to a source stay open beside the current one, and which are abandoned.

A source that serves its callers in order eventually answers a call that waits in its queue, but never one
that is abandoned and made again at the end of the queue. So an overdue call stays open beside the next one.
No I/O, no clock.
"""

from __future__ import annotations

from typing import Generic, TypeVar

# Each open call holds a file descriptor. The tightest descriptor limit leaves twelve besides those of clients
# and nodes; logs, signals, the listener and Python itself use the others.
MAX_OPEN_CALLS = 4

OpenCall = TypeVar("OpenCall")


class OpenCalls(Generic[OpenCall]):
    """The calls in progress, in the order in which they began."""

    def __init__(self) -> None:
        self._calls: list[OpenCall] = []

    def __len__(self) -> int:
        return len(self._calls)

    def add(self, call: OpenCall) -> list[OpenCall]:
        """Add a call that begins now; return those to abandon for it."""
        self._calls.append(call)
        surplus = self._calls[:-MAX_OPEN_CALLS]
        del self._calls[:-MAX_OPEN_CALLS]
        return surplus

    def complete(self, call: OpenCall) -> list[OpenCall]:
        """Remove an answered call; return those to abandon: calls that began earlier bring nothing newer."""
        if call not in self._calls:
            return []
        position = self._calls.index(call)
        older = self._calls[:position]
        del self._calls[: position + 1]
        return older

    def remove(self, call: OpenCall) -> None:
        """Remove a failed call."""
        if call in self._calls:
            self._calls.remove(call)

    def clear(self) -> list[OpenCall]:
        """Remove all calls, as the source is no longer used; return the calls to abandon."""
        calls, self._calls = self._calls, []
        return calls
