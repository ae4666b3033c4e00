"""Which nodes may get new requests: those that are up, and draining ones in the first half of the grace.

The grace of a drain runs once, from when the node ceased to be up. A node that this process never had as up
has none: an earlier process of the same head may have been told of its drain, or this one before it forgot
the node. No I/O, no clock.
"""

from __future__ import annotations

from dataclasses import dataclass

from harriertrack.decisions.interface import NodeState


@dataclass(slots=True)
class DrainGrace:
    """The grace of one node; times are in microseconds."""

    left_service_at: int | None = None  # when the node last ceased to be up, as announced to this head

    def note_change(self, before: NodeState, after: NodeState, announced_at: int) -> None:
        """Note a change of the node's listed state."""
        if before is NodeState.UP and after is not NodeState.UP:
            self.left_service_at = announced_at

    def accepts_requests(self, state: NodeState, now: int, grace_us: int) -> bool:
        """Return whether the node in this state may get new requests.

        The second half of `grace_us` is for attempts that wait for a connection, and for a busy head.
        """
        if state is not NodeState.DRAINING or self.left_service_at is None:
            return state is NodeState.UP
        return now < self.left_service_at + grace_us // 2
