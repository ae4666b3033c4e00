"""The interfaces that the core requires of its surroundings."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Protocol

from harriertrack.decisions import interface as api
from harriertrack.decisions.requests.inputs import ListedNode
from harriertrack.decisions.requests.model import Attempt, ClientRequest


class DecisionModule(Protocol):
    """The decision maker: the scheduler, or one for each cell."""

    def handle(self, now: int, events: list[api.Event]) -> list[api.Action]:
        """Handle the events of one moment and return the actions, in order."""


class NodeDirectory(Protocol):
    """The current node list."""

    def find(self, node: str) -> ListedNode | None:
        """Return a node that some version of the list has named."""


class PlacementStore(Protocol):
    """The shard of each placed extent, on disk."""

    def shard_of(self, volume: str, extent: int) -> int | None:
        """Return the shard that holds an extent; None if it was never placed."""

    def placements_of(self, volume: str) -> Iterator[tuple[int, int]]:
        """Yield (extent, shard) of a volume."""

    def place(self, placements: Iterable[tuple[str, int, int]]) -> None:
        """Record (volume, extent, shard); on disk when this returns."""

    def leftovers(self, volume: str) -> list[tuple[int, int]]:
        """Return (extent, shard) where bytes of a volume remain after a move."""

    def remove_leftover(self, volume: str, extent: int, shard: int) -> None:
        """Record that the bytes remaining there were trimmed; on disk when this returns."""


class HoldOwner(Protocol):
    """The party for which an extent is held exclusively."""

    def held(self) -> None:
        """Handle that no earlier request for the extent is open any more."""


class CloseGuard(Protocol):
    """Guards ranges that are purged at closes."""

    def refusal_hint_us(self, request: ClientRequest) -> int | None:
        """Return the retry hint with which a request is refused now; None: it is allowed."""

    def record_placement(self, volume: str, extent: int, shard: int) -> None:
        """Note that a first write to an extent is about to be sent to a shard."""

    def record_running(self, volume: str, extent: int) -> None:
        """Note that an attempt for an extent may still run at its node, though its outcome is not awaited."""

    def prioritize_trim(self, volume: str, extent: int) -> None:
        """Note that a request waits until an extent is trimmed."""


class Port(Protocol):
    """The core's outgoing interface; none of these methods may call back into the core synchronously."""

    def send(self, attempt: Attempt) -> None:
        """Start an attempt; `Core.attempt_sent` is called when its bytes leave, `attempt_ended` at its end.

        If it has to wait for a connection, `Core.may_begin` is called before any byte of it is sent.
        """

    def call_off(self, attempt: Attempt) -> None:
        """Cancel an attempt at its node, as far as the node's protocol allows."""

    def answer(self, request: ClientRequest) -> None:
        """Give the client its one final answer."""

    def subscribe(self, on: bool) -> None:
        """Follow the node list from now on; each failure is reported through `Core.list_failed`."""

    def ask_list(self) -> None:
        """Fetch the node list now, whatever call is in progress; `Core.list_call_ended` follows."""

    def wake_at(self, when: int) -> None:
        """Call `Core.flush` at or before this time; each flush that leaves timers requests this again."""

    def soon(self) -> None:
        """Call `Core.flush` at the end of this round of the event loop."""

    def note(self, text: str) -> None:
        """Log a line of the module."""
