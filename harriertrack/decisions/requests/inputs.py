"""What the core reads of volumes, nodes and nodes' answers."""

from __future__ import annotations

from typing import Protocol

from harriertrack.decisions import interface as api
from harriertrack.decisions.retry_queue import WaitMode


class VolumeFacts(Protocol):
    """What the core needs to know of a volume."""

    @property
    def name(self) -> str:
        """Return its name, which is also its export's."""

    @property
    def plan(self) -> str:
        """Return its plan's name."""

    @property
    def hosts(self) -> int:
        """Return through how many heads its requests come."""

    @property
    def waiting(self) -> WaitMode:
        """Return whose requests wait when the module refuses them."""

    @property
    def patience_us(self) -> int:
        """Return how long such a request is kept at most."""

    @property
    def shards(self) -> tuple[int, ...]:
        """Return the shards that its extents were allocated to beforehand, in turn.

        Empty if they are placed.
        """


class ListedNode(Protocol):
    """A node of the list, with whatever links need to reach it."""

    @property
    def entry(self) -> api.NodeEntry:
        """Return what the module knows of it."""


class ReplyMetadata(Protocol):
    """What a node told beside an answer."""

    @property
    def used_percent(self) -> int:
        """Return the volume's meter."""

    @property
    def elsewhere(self) -> float:
        """Return what the node served the volume through other heads."""

    @property
    def load(self) -> tuple[float, ...]:
        """Return its load report."""
