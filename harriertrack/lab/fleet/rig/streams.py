"""Relays of streams from heads to other parties: nodes, the list, the witness, a head of the other region."""

from __future__ import annotations

from collections.abc import Collection

from harriertrack.runtime.hub import Hub, Scope
from harriertrack.runtime.streams import Network
from harriertrack.standin.link import Direction, Link
from harriertrack.standin.relay import Weather

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

    def follow(self, weather: Weather) -> None:
        """Take what is cut or slow, or is not any more; TCP mends the rest."""
        for (head, party), link in self._links.items():
            for way, source, target in ((link.there, head, party), (link.back, party, head)):
                way.blocked = weather.cut(source, target)
                way.delay_us = weather.late_us(source, target)
            link.changed()

    def break_off(self, heads: Collection[str], parties: Collection[str]) -> None:
        """Break the connections between some heads and some parties; new ones may be made at once."""
        for (head, party), link in self._links.items():
            if head in heads and party in parties:
                link.set_cut(True)
                link.set_cut(False)
