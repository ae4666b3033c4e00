"""Ids of requests that reached a storage node: none of them may be sent again for another request.

No I/O and no clock. A client sends a request again, with the same id, only if no head has read it; whatever
else comes with an id that reached a node would have its effect twice, even if its first client has left.
Ids are kept in two generations, for a while and in a bounded number; where ids come so fast that one would
have to be dropped too early, `is_full` says that nothing more may be sent meanwhile.
"""

from __future__ import annotations

KEPT_US = 30_000_000  # a generation ends after this, and is dropped with the end of the next one
ID_BYTES = 192  # of memory for each id, in a set that has just grown
MIN_IDS, MAX_IDS = 8_192, 262_144
MEMORY_PARTS = 8  # the share of a process's memory that ids may take


def forwarded_ids(memory_bytes: int) -> int:
    """Return how many ids a head keeps whose process may use so much memory."""
    return max(MIN_IDS, min(MAX_IDS, memory_bytes // MEMORY_PARTS // ID_BYTES))


class ForwardedRequests:
    """The ids of a head's requests; each is kept for `shortest_us` at least. Times are in microseconds."""

    def __init__(self, limit: int, shortest_us: int) -> None:
        self._generation_limit, self._shortest_us = max(1, limit // 2), shortest_us
        self._current: set[bytes] = set()
        self._previous: set[bytes] = set()
        self._began_at = 0

    def __len__(self) -> int:
        return len(self._current) + len(self._previous)

    def __contains__(self, identity: bytes) -> bool:
        return identity in self._current or identity in self._previous

    def add(self, identity: bytes, now: int) -> None:
        """Note that a request's last byte is on its way to a node."""
        if not self._current:
            self._began_at = now
        self._current.add(identity)

    def is_full(self, now: int) -> bool:
        """Whether there is no room for another id, and none that may be dropped."""
        age_us = now - self._began_at
        crowded = len(self._current) >= self._generation_limit
        if age_us >= KEPT_US or (crowded and age_us >= self._shortest_us):
            self._previous, self._current, self._began_at = self._current, set(), now
            return False
        return crowded
