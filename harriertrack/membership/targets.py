"""The list of storage nodes (shelves) from discovery: request targets, and validation of the responses."""

from __future__ import annotations

import ipaddress
from typing import Annotated

import msgspec

from harriertrack.decisions.interface import NodeEntry, NodeState
from harriertrack.membership.nodes import Member

MAX_NODE_SIZE = 1e18  # far above any registered machine size; a larger integer may not convert to float
STATES = {
    "in_service": NodeState.UP, "terminating": NodeState.DRAINING, "terminated": NodeState.GONE,
}  # fmt: skip
PATH = "/api/targets"

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
WholeNumber = Annotated[int, msgspec.Meta(ge=0, lt=1 << 53)]


class TargetsError(Exception):
    """A list that can not be parsed."""


class Target(msgspec.Struct, frozen=True):
    """One storage node (shelf) as discovery describes it."""

    id: Name
    addr: str
    cell: WholeNumber
    state: str
    zone: str | None = None
    started_ms: WholeNumber | None = None
    kind: object = None  # kind and weight are optional: invalid values are ignored
    weight: object = None


class Targets(msgspec.Struct, frozen=True):
    """A complete list, or the entries that changed."""

    version: WholeNumber
    full: bool
    servers: list[Target]


def request_target(since: int | None, wait_us: int) -> bytes:
    """Return the request target for the complete list, or for changes since a version, waiting `wait_us`."""
    if since is None:
        return PATH.encode()
    return f"{PATH}?since={since}&timeout_ms={wait_us // 1000}".encode()


def parse_address(text: str) -> tuple[str, int]:
    """Parse an IP address and port; host names are rejected. Raises ValueError."""
    host, _, port = text.rpartition(":")
    ipaddress.ip_address(host.strip("[]"))
    if not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{text!r} has no port")
    return host.strip("[]"), int(port)


def parse_targets(body: bytes) -> Targets:
    """Parse a list. Raises TargetsError."""
    try:
        return msgspec.json.decode(body, type=Targets)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise TargetsError(str(error)) from error


def members_from_targets(targets: Targets) -> list[Member]:
    """Convert a list to members, with start times in Unix time (microseconds).

    Raises TargetsError: a list with any invalid entry is rejected as a whole.
    """
    members = []
    for target in targets.servers:
        state = STATES.get(target.state)
        if state is None:
            raise TargetsError(f"{target.id}: unknown state {target.state[:40]!r}")
        try:
            address = parse_address(target.addr)
        except ValueError as error:
            raise TargetsError(f"{target.id}: {error}") from error
        started_us = (target.started_ms or 0) * 1000
        kind = target.kind if isinstance(target.kind, str) else ""
        weight = target.weight
        size = weight if isinstance(weight, int | float) and 0 < weight < MAX_NODE_SIZE else 0.0
        entry = NodeEntry(target.id, target.cell, state, target.zone or "", started_us, kind, float(size))
        members.append(Member(entry, address))
    return members
