"""Bytes of requests and answers that a head holds, and which of them it gives up when they become too many.

No I/O and no clock. Bytes are counted from where they are received until they are freed. What was received in
part can be given up: a request that is not whole was not accepted yet, and an answer that is not whole is of
no use yet. What is whole is kept until it has been sent on; new work is turned away meanwhile.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

PROCESS_BYTES = 32 << 20  # what a head needs besides payload: the interpreter, the node list, open requests
# Requests and answers have a quarter each of the rest; the other half is for the allocator and for the pieces
# of an answer that are joined.
BUDGET_PARTS = 4
MIN_REQUESTS_BYTES, MIN_ANSWERS_BYTES = 1 << 20, 2 << 20
# Nodes send larger answers than the protocol specifies (64 KiB): up to 400 KB were observed.
MIN_ANSWER_BYTES, ANSWER_MEMORY_PARTS = 64 << 10, 64
# Of a list of nodes: some thousands of them have a megabyte. Several calls may hold one each, in part.
MIN_LIST_BYTES, MAX_LIST_BYTES, LIST_MEMORY_PARTS = 1 << 20, 4 << 20, 32


@dataclass(frozen=True, slots=True)
class MemoryLimits:
    """The most bytes of payload that a head holds."""

    requests: int  # of all requests, received or not yet sent to a node
    answers: int  # of all answers, received in part or not yet sent to a client
    answer: int  # of one answer's body
    node_list: int  # of one list of nodes

    @classmethod
    def of_process(cls, memory_bytes: int) -> MemoryLimits:
        """Return the limits of a head whose process may use so much memory."""
        budget = (memory_bytes - PROCESS_BYTES) // BUDGET_PARTS
        requests, answers = max(MIN_REQUESTS_BYTES, budget), max(MIN_ANSWERS_BYTES, budget)
        answer = max(MIN_ANSWER_BYTES, memory_bytes // ANSWER_MEMORY_PARTS)
        node_list = max(MIN_LIST_BYTES, min(MAX_LIST_BYTES, memory_bytes // LIST_MEMORY_PARTS))
        return cls(requests, answers, answer, node_list)


class PayloadHolder(Protocol):
    """A connection that holds payload."""

    def give_up(self) -> None:
        """Free what was received in part, and end what it belongs to."""


class MemoryBudget:
    """The bytes that each connection holds of one kind of payload, within a limit for all of them."""

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.given_up = 0  # how many holders were chosen to be given up
        self._partial: dict[PayloadHolder, int] = {}
        self._whole: dict[PayloadHolder, int] = {}

    def receive(self, holder: PayloadHolder, size: int) -> PayloadHolder | None:
        """Count bytes received in part; return the holder to give up if the limit is passed."""
        self._partial[holder] = self._partial.get(holder, 0) + size
        self.held_bytes += size
        return self._choose_victim(holder)

    def update(self, holder: PayloadHolder, held: int) -> PayloadHolder | None:
        """Count what a holder holds in part now; return the holder to give up if the limit is passed."""
        self.release(holder)
        return self.receive(holder, held) if held else None

    def complete(self, holder: PayloadHolder, size: int) -> PayloadHolder | None:
        """Count the last bytes of what is whole now; return the holder to give up if the limit is passed."""
        self.hold(holder, self._partial.get(holder, 0) + size)
        return self._choose_victim(holder)

    def hold(self, holder: PayloadHolder, size: int) -> None:
        """Count bytes that can't be given up, instead of what the holder held before."""
        self.release(holder)
        self._whole[holder] = size
        self.held_bytes += size

    def _choose_victim(self, newcomer: PayloadHolder) -> PayloadHolder | None:
        """Choose what to give up: the most bytes of what is not whole, the longest-standing of equals.

        What never ends grows, and what is sent at once is whole before others have as much. If all else is
        whole, the newcomer is turned away.
        """
        if self.held_bytes <= self.limit_bytes:
            return None
        self.given_up += 1
        return max(self._partial, key=self._partial.__getitem__, default=newcomer)

    def release(self, holder: PayloadHolder) -> None:
        """Stop counting the bytes of a holder, which has freed them."""
        self.held_bytes -= self._partial.pop(holder, 0) + self._whole.pop(holder, 0)


class PayloadMemory:
    """The budgets of a head."""

    def __init__(self, limits: MemoryLimits) -> None:
        self.requests = MemoryBudget(limits.requests)
        self.answers = MemoryBudget(limits.answers)
