"""The node list as a head holds it, and the news that a new version of it makes.

A source (file or HTTP) hands in whole lists; what changed is told to the decision module as changes, with the
moment at which this head was told.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from harriertrack.decisions.interface import ListKind, NodeEntry, NodesChanged, NodeState


@dataclass(frozen=True, slots=True)
class Member:
    """A storage node of the list: what the module needs to know, and where the node listens."""

    entry: NodeEntry
    address: tuple[str, int]

    def with_local_start(self, wall_ahead_us: int) -> Member:
        """Return it with its start, told in Unix time, on a clock that Unix time is so far ahead of."""
        entry = self.entry
        started = max(1, entry.started_us - wall_ahead_us) if entry.started_us else 0
        return Member(replace(entry, started_us=started), self.address)


class NodeList:
    """The list in hand. It never forgets an address while attempts may be out: a node gone stays known."""

    def __init__(self) -> None:
        self._members: dict[str, Member] = {}
        self._told = False  # whether a list of this life's source came

    def __len__(self) -> int:
        return len(self._members)

    def find(self, node: str) -> Member | None:
        """Return a node by its name."""
        return self._members.get(node)

    def members(self) -> tuple[Member, ...]:
        """Return all nodes, the gone ones among them."""
        return tuple(self._members.values())

    def apply_changes(self, members: Iterable[Member]) -> NodesChanged:
        """Take the entries that changed; return the news for the module."""
        changed = list(members)
        self._members.update((member.entry.node, member) for member in changed)
        self._told = True
        return NodesChanged(ListKind.CHANGES, [member.entry for member in changed])

    def forget_gone(self) -> list[str]:
        """Forget the nodes that are gone, of whom no address is needed any more; return their names."""
        gone = [name for name, one in self._members.items() if one.entry.state is NodeState.GONE]
        for name in gone:
            del self._members[name]
        return gone

    def replace(self, members: Iterable[Member], restored: bool = False) -> NodesChanged | None:
        """Take a whole list; return the news for the module, None if nothing changed.

        The first list after a start is RESTORED if it is the last life's, and so may be stale; a first list
        from its source is FULL; later ones become CHANGES, in which a node that is not listed any more is
        GONE.
        """
        fresh = {member.entry.node: member for member in members}
        kind = ListKind.RESTORED if restored else ListKind.CHANGES if self._told else ListKind.FULL
        self._told = self._told or not restored
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
