"""Consul's health endpoint as a source of the node list: blocking queries and their responses.

Source: Consul HTTP API, "List Service Instances for Service" (/v1/health/service/:service) and "Blocking
Queries": `index` is the version already known and `wait` the longest time for which the server may delay
the response; `X-Consul-Index` is the response's version. An index that goes backwards, or is not above zero,
means starting over from 0.

A node's shard, zone, state, start time and kind are in the service's `Meta` (`shard`, `zone`, `state`,
`started_us`, `kind`). A node with a `critical` check has left; one with `Meta.state` "draining" or a check in
maintenance is draining.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from harriertrack.decisions.interface import NodeEntry, NodeState
from harriertrack.membership.nodes import Member

_MAINTENANCE = ("_node_maintenance", "_service_maintenance")  # CheckIDs that maintenance mode registers


class _Check(msgspec.Struct, rename="pascal"):
    status: str = "passing"
    check_id: str = msgspec.field(default="", name="CheckID")


class _Service(msgspec.Struct, rename="pascal"):
    id: str = msgspec.field(name="ID")
    address: str = ""
    port: Annotated[int, msgspec.Meta(ge=0, le=65535)] = 0
    meta: dict[str, str] = {}


class _Node(msgspec.Struct, rename="pascal"):
    address: str = ""


class _Entry(msgspec.Struct, rename="pascal"):
    service: _Service
    node: _Node = msgspec.field(default_factory=_Node)
    checks: list[_Check] = []


class ListAnswerError(Exception):
    """A response that is not a list; the current list remains in use."""


def query_target(service: str, index: int, wait_us: int) -> str:
    """Return the request target of a query, which blocks if `index` is above 0."""
    path = f"/v1/health/service/{service}"
    return f"{path}?index={index}&wait={max(1, wait_us // 1000)}ms" if index > 0 else path


def next_index(known: int, header: str | None) -> int:
    """Return the index of the next query. Raises ListAnswerError if the header is not an integer."""
    try:
        index = int(header or "")
    except ValueError as error:
        raise ListAnswerError(f"X-Consul-Index is {header!r}") from error
    return 0 if index < known or index < 1 else index


def parse_members(body: bytes) -> list[Member]:
    """Parse the response's body. Raises ListAnswerError if it is not a list of services with shards."""
    try:
        entries = msgspec.json.decode(body, type=list[_Entry])
        return [_member(entry) for entry in entries]
    except (msgspec.MsgspecError, ValueError) as error:
        raise ListAnswerError(str(error)) from error


def _member(entry: _Entry) -> Member:
    service, meta = entry.service, entry.service.meta
    if "shard" not in meta:
        raise ValueError(f"service {service.id!r} has no Meta.shard")
    state = NodeState(meta.get("state", "up"))
    if any(check.status == "critical" for check in entry.checks):
        state = NodeState.GONE
    elif any(check.check_id.startswith(_MAINTENANCE) for check in entry.checks):
        state = NodeState.DRAINING
    started = int(meta.get("started_us", 0))
    listed = NodeEntry(
        service.id, int(meta["shard"]), state, meta.get("zone", ""), started, meta.get("kind", "")
    )
    return Member(listed, (service.address or entry.node.address, service.port))


def encode_members(members: list[Member]) -> bytes:
    """Encode a response's body as Consul does: used by stand-ins and their tests."""
    rows = []
    for member in members:
        entry = member.entry
        status = "critical" if entry.state is NodeState.GONE else "passing"
        meta = {"shard": str(entry.shard), "zone": entry.zone, "started_us": str(entry.started_us)}
        if entry.kind:
            meta["kind"] = entry.kind
        if entry.state is NodeState.DRAINING:
            meta["state"] = "draining"
        service = {"ID": entry.node, "Address": member.address[0], "Port": member.address[1], "Meta": meta}
        check = {"Status": status, "CheckID": f"service:{entry.node}"}
        rows.append({"Node": {"Address": member.address[0]}, "Service": service, "Checks": [check]})
    return msgspec.json.encode(rows)
