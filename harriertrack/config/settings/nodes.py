"""Entries of node lists, the source of a head's node list, and stand-ins for list services."""

from __future__ import annotations

from harriertrack.config.settings.basis import Name, NonNegativeInt, Port, PositiveInt, SettingsStruct
from harriertrack.decisions import interface as api


class NodeSettings(SettingsStruct, frozen=True, kw_only=True):
    """A storage node in a node list file."""

    name: Name
    address: tuple[str, Port]
    shard: NonNegativeInt
    zone: str = ""
    state: api.NodeState = api.NodeState.UP
    started_us: NonNegativeInt = 0
    kind: str = ""  # of machine: a cold replacement of the same kind starts at its predecessor's rate


class ListEndpointSettings(SettingsStruct, frozen=True, kw_only=True):
    """An address of a list service stand-in, and the nodes that it lists to the clients of that address."""

    name: Name
    listen: tuple[str, Port]
    nodes: tuple[NodeSettings, ...] = ()


class ListServiceSettings(SettingsStruct, frozen=True, kw_only=True):
    """A list service stand-in."""

    entrances: tuple[ListEndpointSettings, ...]


class ConsulSettings(SettingsStruct, frozen=True, kw_only=True):
    """The HTTP source of the node list: a health endpoint of Consul's API."""

    address: tuple[str, Port]
    service: Name = "shelf"
    wait_us: PositiveInt = 10_000_000
    timeout_us: PositiveInt = 2_000_000


class NodeListSettings(SettingsStruct, frozen=True, kw_only=True):
    """The source of the node list: a file that is read again when it changes, or HTTP."""

    file: str = ""
    poll_us: PositiveInt = 500_000
    consul: ConsulSettings | None = None
