"""The node list: changes between complete lists, and encoding and parsing of list responses."""

import json

import pytest

from harriertrack.decisions.interface import ListKind, NodeEntry, NodeState
from harriertrack.membership import consul, targets
from harriertrack.membership.nodes import Member, NodeList


def member(name, shard=0, state=NodeState.UP, started=0):
    return Member(NodeEntry(name, shard, state, "z", started), ("127.0.0.1", 1000 + shard))


def test_changes_between_complete_lists():
    nodes = NodeList()
    assert nodes.replace([], restored=True).kind is ListKind.RESTORED
    first = nodes.replace([member("a"), member("b", 1)])
    assert first.kind is ListKind.FULL and [entry.node for entry in first.entries] == ["a", "b"]
    assert nodes.replace([member("a"), member("b", 1)]) is None
    changes = nodes.replace([member("a", state=NodeState.DRAINING), member("c", 1)])
    assert changes.kind is ListKind.CHANGES
    assert {entry.node: entry.state for entry in changes.entries} == {
        "a": NodeState.DRAINING,
        "b": NodeState.GONE,
        "c": NodeState.UP,
    }
    assert nodes.find("b").address == ("127.0.0.1", 1001)  # attempts may still be in progress there
    assert nodes.replace([member("a", state=NodeState.DRAINING), member("c", 1)]) is None
    returned = nodes.replace([member("a"), member("b", 1, started=5), member("c", 1)])
    assert {entry.node for entry in returned.entries} == {"a", "b"}


def test_a_node_that_is_no_longer_listed_keeps_its_kind_and_size():
    nodes, entry = NodeList(), NodeEntry("a", 0, kind="large", size=3.0)
    nodes.replace([Member(entry, ("127.0.0.1", 1)).with_local_start(5)])
    (gone,) = nodes.replace([]).entries
    assert (gone.state, gone.kind, gone.size) == (NodeState.GONE, "large", 3.0)


@pytest.mark.parametrize(("kind", "weight", "expected"), [
    ("m2", 1.5, ("m2", 1.5)), ("m2", 2, ("m2", 2.0)), (None, None, ("", 0.0)), (7, "large", ("", 0.0)),
    ([], {}, ("", 0.0)), ("m2", 10**400, ("m2", 0.0)), ("m2", -1, ("m2", 0.0)),
])  # fmt: skip
def test_kinds_and_sizes_of_a_platform_list_are_read_where_valid(kind, weight, expected):
    server = {
        "id": "s",
        "addr": "10.0.0.1:80",
        "cell": 3,
        "state": "in_service",
        "kind": kind,
        "weight": weight,
    }
    body = json.dumps({"version": 1, "full": True, "servers": [server]}).encode()
    (member,) = targets.members_from_targets(targets.parse_targets(body))
    assert (member.entry.kind, member.entry.size) == expected


def test_a_consul_response_round_trips():
    large = Member(NodeEntry("d", 4, kind="large"), ("127.0.0.1", 1004))
    members = [
        large,
        member("a", 3, started=9),
        member("b", 1, NodeState.DRAINING),
        member("c", 2, NodeState.GONE),
    ]
    assert consul.parse_members(consul.encode_members(members)) == members


def test_a_consul_response_as_the_api_documents_it():
    body = b"""[{"Node": {"ID": "x", "Node": "foobar", "Address": "10.1.10.12", "Datacenter": "dc1"},
      "Service": {"ID": "shelf-1", "Service": "shelf", "Tags": [], "Address": "", "Port": 8000,
                  "Meta": {"shard": "4", "zone": "east"}, "Weights": {"Passing": 10, "Warning": 1}},
      "Checks": [{"Node": "foobar", "CheckID": "serfHealth", "Status": "passing"},
                 {"Node": "foobar", "CheckID": "_service_maintenance:shelf-1", "Status": "warning"}]}]"""
    (parsed,) = consul.parse_members(body)
    assert parsed == Member(NodeEntry("shelf-1", 4, NodeState.DRAINING, "east", 0), ("10.1.10.12", 8000))


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{}",
        b"[1]",
        b'[{"Service": {}}]',
        b'[{"Service": {"ID": "a", "Port": 99999}}]',
        b'[{"Service": {"ID": "a", "Meta": {}}}]',
        b'[{"Service": {"ID": "a", "Meta": {"shard": "x"}}}]',
        b'[{"Service": {"ID": "a", "Meta": {"shard": "1", "state": "odd"}}}]',
        b"[" * 5000,
    ],
)
def test_a_response_that_is_not_a_list_is_rejected(body):
    with pytest.raises(consul.ListAnswerError):
        consul.parse_members(body)


def test_indexes_and_query_targets():
    assert consul.query_target("shelf", 0, 5_000_000) == "/v1/health/service/shelf"
    assert consul.query_target("shelf", 7, 5_000_000) == "/v1/health/service/shelf?index=7&wait=5000ms"
    assert [consul.next_index(5, text) for text in ("6", "5", "4", "0", "-1")] == [6, 5, 0, 0, 0]
    for text in (None, "", "x"):
        with pytest.raises(consul.ListAnswerError):
            consul.next_index(1, text)
