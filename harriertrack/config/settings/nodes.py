"""Storage nodes as lists name them, where a head finds its list, and stand-ins for list services."""

from __future__ import annotations

from harriertrack.config.settings.basis import Checked, Name, Port, Positive, Whole
from harriertrack.decisions import interface as api


class NodeSettings(Checked, frozen=True, kw_only=True):
    """A storage node of a list in a file."""

    name: Name
    address: tuple[str, Port]
    shard: Whole
    zone: str = ""
    state: api.NodeState = api.NodeState.UP
    started_us: Whole = 0
    kind: str = ""  # of machine: a cold replacement of the same kind gets its predecessor's rate


class EntranceSettings(Checked, frozen=True, kw_only=True):
    """An address of a list service stand-in, and the nodes it names there: each asker may have its own."""

    name: Name
    listen: tuple[str, Port]
    nodes: tuple[NodeSettings, ...] = ()


class ListServiceSettings(Checked, frozen=True, kw_only=True):
    """A list service stand-in."""

    entrances: tuple[EntranceSettings, ...]


class ConsulSettings(Checked, frozen=True, kw_only=True):
    """Where the node list is asked: a health endpoint as Consul's HTTP API has it."""

    address: tuple[str, Port]
    service: Name = "shelf"
    wait_us: Positive = 10_000_000
    timeout_us: Positive = 2_000_000


class NodeListSettings(Checked, frozen=True, kw_only=True):
    """The node list's source: a file that is read again when it changes, or HTTP."""

    file: str = ""
    poll_us: Positive = 500_000
    consul: ConsulSettings | None = None
