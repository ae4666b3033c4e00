"""Relays of streams from heads to other parties: nodes, the list, the witness, a head of the other region."""

from __future__ import annotations

from collections.abc import Collection

from harriertrack.runtime.hub import Hub, Scope
from harriertrack.runtime.streams import Network
from harriertrack.standin.link import Direction, Link
from harriertrack.standin.relay import NetworkFaults

NOWHERE = ("127.0.0.1", 1)


class Streams:
    """Those of one rig, by head and other party."""

    def __init__(self, hub: Hub, network: Network) -> None:
        self._hub, self._network = hub, network
        self._links: dict[tuple[str, str], Link] = {}

    def link(self, head: str, party: str, scope: Scope) -> Link:
        """Return the relay from a head to a party; one that is new leads nowhere yet."""
        link = self._links.get((head, party))
        if link is None:
            link = Link(self._hub, self._network, NOWHERE, Direction(delay_us=0), Direction(delay_us=0))
            link.start(scope)
            self._links[head, party] = link
        return link

    def between(self, head: str, party: str, address: tuple[str, int], scope: Scope) -> tuple[str, int]:
        """Let the relay from a head to a party lead to an address; return where the head finds it."""
        link = self.link(head, party, scope)
        link.set_target(address)
        return link.address

    def follow(self, weather: NetworkFaults, nodes: Collection[str]) -> None:
        """Take what is cut or slow, or is not any more; TCP mends the rest.

        Connections to nodes break where a cut ends: what lay in them would arrive as late as it was long, and
        no recording could tell it from what was sent so late.
        """
        for (head, party), link in self._links.items():
            if party in nodes and self._was_cut(link) and not _cut(weather, head, party):
                link.set_cut(True)
                link.set_cut(False)
            for way, source, target in ((link.forward, head, party), (link.backward, party, head)):
                way.blocked = weather.is_cut(source, target)
                way.delay_us = weather.added_delay_us(source, target)
            link.notify_changed()

    @staticmethod
    def _was_cut(link: Link) -> bool:
        return link.forward.blocked or link.backward.blocked


def _cut(weather: NetworkFaults, head: str, party: str) -> bool:
    return weather.is_cut(head, party) or weather.is_cut(party, head)
