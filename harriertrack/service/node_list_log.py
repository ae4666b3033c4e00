"""Log lines of the node list: the saved list of a start, changes of nodes' states, sends to draining nodes.

They show since when a change counted for this process, and which requests its nodes still received.
"""

from __future__ import annotations

from collections.abc import Iterable

from harriertrack.decisions.interface import ListKind, NodeEntry, NodesChanged, NodeState
from harriertrack.decisions.requests import Attempt
from harriertrack.runtime.hub import Hub
from harriertrack.service.log import Log, LogInterval
from harriertrack.service.pending import PendingRequest

MAX_NAMED_NODES = 12  # in one line: a release may replace half of a fleet at once
SEND_INTERVAL_US = 20_000  # sends to draining nodes are logged at most once per interval


def format_states(entries: Iterable[NodeEntry], max_named: int = MAX_NAMED_NODES) -> str:
    """Return `node:state` of the entries, separated by commas; of many, the first ones and how many more."""
    states = [f"{entry.node}:{entry.state.value}" for entry in entries]
    more = len(states) - max_named
    return ",".join(states[:max_named]) + (f",+{more}" if more > 0 else "")


def format_not_up(entries: Iterable[NodeEntry]) -> str:
    """Return `node:state` of the entries that are not in service; `none` if all are."""
    return format_states(entry for entry in entries if entry.state is not NodeState.UP) or "none"


class NodeListLog:
    """Logs changes of the node list and their use."""

    def __init__(self, hub: Hub, log: Log) -> None:
        self._hub, self._log = hub, log
        self._of_sends = LogInterval(hub, SEND_INTERVAL_US)

    def log_changes(self, change: NodesChanged, version: int | None, effective_at: int) -> None:
        """Log the entries of an update, of a full list those not in service, and since when they count."""
        full = change.kind is not ListKind.CHANGES
        self._log(
            "nodes",
            version=version,
            kind=change.kind.value,
            states=format_not_up(change.entries) if full else format_states(change.entries) or "none",
            announced_us_ago=self._hub.now() - effective_at,
        )

    def log_send(self, attempt: Attempt) -> None:
        """Log an attempt to a node that is not in service, with its request's id."""
        entry, requester = attempt.member.entry, attempt.part.request.requester
        if entry.state is NodeState.UP or not self._of_sends.allow():
            return
        assert isinstance(requester, PendingRequest)
        trace_id = requester.parsed.trace_id.decode("latin-1")
        self._log("sent to a draining node", node=entry.node, trace=trace_id, attempt=attempt.number)
