"""The properties of volumes, nodes and nodes' replies that the core reads."""

from __future__ import annotations

from typing import Protocol

from harriertrack.decisions import interface as api
from harriertrack.decisions.retry_queue import WaitMode


class VolumeFacts(Protocol):
    """The properties of a volume that the core needs."""

    @property
    def name(self) -> str:
        """Return the volume's name, which is also the name of its export."""

    @property
    def plan(self) -> str:
        """Return the name of the volume's service plan."""

    @property
    def hosts(self) -> int:
        """Return through how many heads the volume's requests arrive."""

    @property
    def waiting(self) -> WaitMode:
        """Return which clients' requests wait in the head when the module refuses them."""

    @property
    def patience_us(self) -> int:
        """Return the longest time that such a request waits."""

    @property
    def shards(self) -> tuple[int, ...]:
        """Return the shards to which the extents are statically allocated, in turn.

        Empty if extents are placed on their first write.
        """


class ListedNode(Protocol):
    """A node of the node list, with the address data that links need."""

    @property
    def entry(self) -> api.NodeEntry:
        """Return the entry that the module sees."""


class ReplyMetadata(Protocol):
    """What a node reports along with a reply."""

    @property
    def used_percent(self) -> int:
        """Return the usage meter of the volume, in percent."""

    @property
    def elsewhere(self) -> float:
        """Return how much of the volume's work the node served through other heads."""

    @property
    def load(self) -> tuple[float, ...]:
        """Return the node's load report."""
