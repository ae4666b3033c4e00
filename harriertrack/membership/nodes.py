"""A head's copy of the node list, and the changes between its versions.

A source (file or HTTP) supplies complete lists; the differences go to the decision module as changes, with
the time at which this head received them.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from harriertrack.decisions.interface import ListKind, NodeEntry, NodesChanged, NodeState


@dataclass(frozen=True, slots=True)
class Member:
    """A storage node of the list: its entry for the decision module, and the address it listens on."""

    entry: NodeEntry
    address: tuple[str, int]

    def with_local_start(self, wall_ahead_us: int) -> Member:
        """Return it with its start time moved from Unix time to a clock that is `wall_ahead_us` behind."""
        entry = self.entry
        started = max(1, entry.started_us - wall_ahead_us) if entry.started_us else 0
        return Member(replace(entry, started_us=started), self.address)


class NodeList:
    """The current list. A node that left stays in it, as attempts in progress may still need its address."""

    def __init__(self) -> None:
        self._members: dict[str, Member] = {}
        self._received = False  # whether the source has supplied a list since this process started

    def __len__(self) -> int:
        return len(self._members)

    def find(self, node: str) -> Member | None:
        """Return a node by its name."""
        return self._members.get(node)

    def members(self) -> tuple[Member, ...]:
        """Return all nodes, including those that left."""
        return tuple(self._members.values())

    def apply_changes(self, members: Iterable[Member]) -> NodesChanged:
        """Apply changed entries; return the event for the decision module."""
        changed = list(members)
        self._members.update((member.entry.node, member) for member in changed)
        self._received = True
        return NodesChanged(ListKind.CHANGES, [member.entry for member in changed])

    def forget_gone(self) -> list[str]:
        """Remove nodes that left and whose addresses are no longer needed; return their names."""
        gone = [name for name, one in self._members.items() if one.entry.state is NodeState.GONE]
        for name in gone:
            del self._members[name]
        return gone

    def replace(self, members: Iterable[Member], restored: bool = False) -> NodesChanged | None:
        """Apply a complete list; return the event for the decision module, None if nothing changed.

        The first list after a start is RESTORED if the previous process saved it, as it may be stale; the
        first list from the source is FULL; later lists become CHANGES, in which a node that is no longer
        listed is GONE.
        """
        fresh = {member.entry.node: member for member in members}
        kind = ListKind.RESTORED if restored else ListKind.CHANGES if self._received else ListKind.FULL
        self._received = self._received or not restored
        changes: list[NodeEntry] = []
        for name, before in list(self._members.items()):
            if name not in fresh and before.entry.state is not NodeState.GONE:
                gone = replace(before.entry, state=NodeState.GONE)
                self._members[name] = Member(gone, before.address)
                changes.append(gone)
        for name, member in fresh.items():
            known = self._members.get(name)
            if known is None or known.entry != member.entry:
                changes.append(member.entry)
            self._members[name] = member
        if kind is ListKind.CHANGES:
            return NodesChanged(kind, changes) if changes else None
        return NodesChanged(kind, [member.entry for member in fresh.values()])
