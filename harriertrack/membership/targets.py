"""Discovery's list of shelfs: what is asked for, and what comes back, checked."""

from __future__ import annotations

import ipaddress
from typing import Annotated

import msgspec

from harriertrack.decisions.interface import NodeEntry, NodeState
from harriertrack.membership.nodes import Member

MAX_LIST_BYTES = 4 << 20  # bytes of a list
MAX_NODE_SIZE = 1e18  # no machine's registered size comes near it; above it a whole number may be no float
STATES = {
    "in_service": NodeState.UP, "terminating": NodeState.DRAINING, "terminated": NodeState.GONE,
}  # fmt: skip
PATH = "/api/targets"

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
Whole = Annotated[int, msgspec.Meta(ge=0, lt=1 << 53)]


class TargetsError(Exception):
    """A list that can't be read."""


class Target(msgspec.Struct, frozen=True):
    """One shelf, as discovery words it."""

    id: Name
    addr: str
    cell: Whole
    state: str
    zone: str | None = None
    started_ms: Whole | None = None
    kind: object = None  # these two help where they can be read, and hurt no list where they can't
    weight: object = None


class Targets(msgspec.Struct, frozen=True):
    """A whole list, or the entries that changed."""

    version: Whole
    full: bool
    servers: list[Target]


def request_target(since: int | None, wait_us: int) -> bytes:
    """Return what to GET: the whole list, or what is newer than a version, waiting for it so long."""
    if since is None:
        return PATH.encode()
    return f"{PATH}?since={since}&timeout_ms={wait_us // 1000}".encode()


def parse_address(text: str) -> tuple[str, int]:
    """Read an address and port, without names. Raises ValueError."""
    host, _, port = text.rpartition(":")
    ipaddress.ip_address(host.strip("[]"))
    if not port.isascii() or not port.isdigit() or not 0 < int(port) < 65536:
        raise ValueError(f"{text!r} has no port")
    return host.strip("[]"), int(port)


def parse_targets(body: bytes) -> Targets:
    """Read a list. Raises TargetsError."""
    try:
        return msgspec.json.decode(body, type=Targets)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise TargetsError(str(error)) from error


def members_from_targets(targets: Targets) -> list[Member]:
    """Turn a list into members, their starts in Unix time (microseconds).

    Raises TargetsError: a list with one entry that can't be read is not taken at all.
    """
    members = []
    for one in targets.servers:
        state = STATES.get(one.state)
        if state is None:
            raise TargetsError(f"{one.id}: unknown state {one.state[:40]!r}")
        try:
            address = parse_address(one.addr)
        except ValueError as error:
            raise TargetsError(f"{one.id}: {error}") from error
        started_us = (one.started_ms or 0) * 1000
        kind = one.kind if isinstance(one.kind, str) else ""
        size = one.weight if isinstance(one.weight, int | float) and 0 < one.weight < MAX_NODE_SIZE else 0.0
        entry = NodeEntry(one.id, one.cell, state, one.zone or "", started_us, kind, float(size))
        members.append(Member(entry, address))
    return members
