"""Which calls to a source stay open beside the one that is waited for, and which are given up.

A source that serves its callers in turn answers a call that waits for its turn, and never one that is given
up and made anew at the end of the queue. So a call that is overdue stays open beside the next one. No I/O, no
clock.
"""

from __future__ import annotations

from typing import Generic, TypeVar

# Each open call holds a descriptor. A configuration with the fewest descriptors spares twelve besides those
# of clients and nodes; logs, signals, the listener and Python itself take the others.
MAX_OPEN_CALLS = 4

OpenCall = TypeVar("OpenCall")


class OpenCalls(Generic[OpenCall]):
    """The calls under way, in the order in which they began."""

    def __init__(self) -> None:
        self._calls: list[OpenCall] = []

    def __len__(self) -> int:
        return len(self._calls)

    def add(self, call: OpenCall) -> list[OpenCall]:
        """Take a call that begins now; return those to give up for it."""
        self._calls.append(call)
        surplus = self._calls[:-MAX_OPEN_CALLS]
        del self._calls[:-MAX_OPEN_CALLS]
        return surplus

    def complete(self, call: OpenCall) -> list[OpenCall]:
        """A call has its answer; return those to give up: what began before it can tell nothing newer."""
        if call not in self._calls:
            return []
        position = self._calls.index(call)
        older = self._calls[:position]
        del self._calls[: position + 1]
        return older

    def remove(self, call: OpenCall) -> None:
        """A call has failed."""
        if call in self._calls:
            self._calls.remove(call)

    def clear(self) -> list[OpenCall]:
        """The source is not asked any more; return the calls to give up."""
        calls, self._calls = self._calls, []
        return calls
