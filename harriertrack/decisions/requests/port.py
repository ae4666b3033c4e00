"""What the core asks of its surroundings."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import Protocol

from harriertrack.decisions import interface as api
from harriertrack.decisions.requests.inputs import ListedNode
from harriertrack.decisions.requests.model import Attempt, ClientRequest


class DecisionModule(Protocol):
    """What decides: the scheduler, or one for each cell."""

    def handle(self, now: int, events: list[api.Event]) -> list[api.Action]:
        """Take the events of one moment and return the actions, in order."""


class NodeDirectory(Protocol):
    """The node list in hand."""

    def find(self, node: str) -> ListedNode | None:
        """Return a node that a list has named."""


class PlacementStore(Protocol):
    """Where extents were placed, on disk."""

    def shard_of(self, volume: str, extent: int) -> int | None:
        """Return the shard that holds an extent; None if it was never placed."""

    def placed(self, volume: str) -> Iterator[tuple[int, int]]:
        """Yield (extent, shard) of a volume."""

    def place(self, placements: Iterable[tuple[str, int, int]]) -> None:
        """Record (volume, extent, shard); on disk when this returns."""

    def left(self, volume: str) -> list[tuple[int, int]]:
        """Return (extent, shard) where a volume's bytes were left behind."""

    def forgot(self, volume: str, extent: int, shard: int) -> None:
        """The bytes left there are gone; on disk when this returns."""


class HoldOwner(Protocol):
    """Who keeps an extent to itself for a while."""

    def held(self) -> None:
        """Take note that no earlier request for the extent is open any more."""


class CloseGuard(Protocol):
    """What guards ranges that are purged at closes."""

    def refuses(self, request: ClientRequest) -> int | None:
        """Return the hint with which a request is refused now; None: it passes."""

    def placing(self, volume: str, extent: int, shard: int) -> None:
        """A first write to an extent is about to be sent to a shard."""

    def may_run(self, volume: str, extent: int) -> None:
        """What was sent for an extent may still run at its node, though nobody waits for it."""

    def awaited(self, volume: str, extent: int) -> None:
        """Somebody waits until an extent is trimmed."""


class Port(Protocol):
    """What the core asks of its surroundings; none of these may call back into the core at once."""

    def send(self, attempt: Attempt) -> None:
        """Start an attempt; `Core.sent` follows when its bytes leave, and `Core.ended` when it is over.

        Where it has to wait for a connection, `Core.may_begin` is asked before anything of it is sent.
        """

    def call_off(self, attempt: Attempt) -> None:
        """Tell the node that nobody waits for this attempt any more, as far as it understands that."""

    def answer(self, request: ClientRequest) -> None:
        """Give the client its one final answer."""

    def subscribe(self, on: bool) -> None:
        """Follow the node list from now on; each failure is told by `Core.list_failed`."""

    def ask_list(self) -> None:
        """Ask for the node list now, whatever call is under way; `Core.list_heard` follows when that ends."""

    def wake_at(self, when: int) -> None:
        """Call `Core.flush` at a time or before; each flush that leaves something due asks again."""

    def soon(self) -> None:
        """Call `Core.flush` at the end of this round."""

    def note(self, text: str) -> None:
        """Log a line of the module."""
