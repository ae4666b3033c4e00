"""Stream relays between heads and other parties: nodes, the list, the witness, a head of the other region."""

from __future__ import annotations

from collections.abc import Collection

from harriertrack.runtime.hub import Hub, Scope
from harriertrack.runtime.streams import Network
from harriertrack.standin.link import Direction, Link
from harriertrack.standin.relay import NetworkFaults

UNREACHABLE = ("127.0.0.1", 1)


class StreamRelays:
    """The relays of one rig, by head and other party."""

    def __init__(self, hub: Hub, network: Network) -> None:
        self._hub, self._network = hub, network
        self._links: dict[tuple[str, str], Link] = {}

    def link(self, head: str, party: str, scope: Scope) -> Link:
        """Return the relay from a head to a party; a new one has no reachable target yet."""
        link = self._links.get((head, party))
        if link is None:
            link = Link(self._hub, self._network, UNREACHABLE, Direction(delay_us=0), Direction(delay_us=0))
            link.start(scope)
            self._links[head, party] = link
        return link

    def route(self, head: str, party: str, address: tuple[str, int], scope: Scope) -> tuple[str, int]:
        """Point the relay from a head to a party at an address; return the address that the head uses."""
        link = self.link(head, party, scope)
        link.set_target(address)
        return link.address

    def apply(self, network_faults: NetworkFaults, nodes: Collection[str]) -> None:
        """Apply the active cuts and delays to all relays; TCP retransmits after a cut.

        Connections to nodes are closed when a cut ends: bytes buffered in them would arrive as late as the
        cut was long, and a recording could not distinguish them from bytes that were sent that late.
        """
        for (head, party), link in self._links.items():
            if party in nodes and self._was_cut(link) and not _is_cut(network_faults, head, party):
                link.set_cut(True)
                link.set_cut(False)
            for direction, source, target in ((link.forward, head, party), (link.backward, party, head)):
                direction.blocked = network_faults.is_cut(source, target)
                direction.delay_us = network_faults.added_delay_us(source, target)
            link.notify_changed()

    @staticmethod
    def _was_cut(link: Link) -> bool:
        return link.forward.blocked or link.backward.blocked


def _is_cut(network_faults: NetworkFaults, head: str, party: str) -> bool:
    return network_faults.is_cut(head, party) or network_faults.is_cut(party, head)
