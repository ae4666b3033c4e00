"""Links to the other region's head: heartbeats with ticks, and requests that carry the newest tick.

One NBD connection per volume and purpose (`relay`: clients' requests to the holder; `copy`: the holder's
writes to the copy), opened when needed. A call ends with a reply, or with None when the connection is lost or
its deadline passes; then its effect is unknown.
"""

from __future__ import annotations

from collections.abc import Callable

from harriertrack.config.settings import RegionSettings
from harriertrack.gateway.client import NbdClient, NbdClientError
from harriertrack.protocol.nbd.client import Reply
from harriertrack.protocol.nbd.extension import COPY_CONTEXT, RELAY_CONTEXT, TICK_SHIFT, context_of
from harriertrack.protocol.nbd.wire import Command, ProtocolViolation
from harriertrack.runtime.hub import Cancelled, DeadlineExceeded, Hub, Scope
from harriertrack.runtime.streams import Network

DIAL_US = 500_000
Then = Callable[[Reply | None], None]


class PeerLink:
    """One connection to the other head for one volume and purpose."""

    def __init__(
        self,
        hub: Hub,
        network: Network,
        scope: Scope,
        settings: RegionSettings,
        volume: str,
        context: str,
        name: str,
    ) -> None:
        self._hub, self._network, self._scope, self._settings = hub, network, scope, settings
        self._volume, self._context, self._name = volume, context, name
        self._client: NbdClient | None = None
        self._dialing = self.closed = False
        self._waiting: list[Callable[[], None]] = []

    def call(
        self,
        command: Command,
        offset: int,
        length: int,
        data: bytes,
        flags: int,
        tick: int,
        until: int,
        then: Then,
    ) -> None:
        """Send a request once the link is open; `then` gets its reply, or None by `until` (microseconds)."""
        done = False

        def once(reply: Reply | None) -> None:
            nonlocal done
            if not done:
                done = True
                timer.cancel()
                then(reply)

        def send() -> None:
            if done:
                return
            if self._client is None:
                once(None)
            else:
                self._client.start(command, offset, length, data, once, flags | tick << TICK_SHIFT)

        timer = self._hub.at(until, lambda: once(None))
        if self._client is not None:
            send()
            return
        self._waiting.append(send)
        self.open()

    def open(self) -> None:
        """Open the connection if it is not open, ahead of the first call."""
        if self._client is None and not self._dialing and not self.closed:
            self._dialing = True
            self._scope.spawn(f"peer {self._volume}", self._dial)

    def _dial(self) -> None:
        client = NbdClient(self._hub, self._network, self._name)
        deadline = self._hub.now() + DIAL_US
        try:
            client.open(self._settings.peer, deadline)
            client.go(self._scope, self._volume, deadline, contexts=(self._context,))
            if not client.contexts:
                raise NbdClientError("the other head does not support this context")
        except (OSError, DeadlineExceeded, ProtocolViolation, NbdClientError):
            client.abort()
        except Cancelled:
            client.abort()
            raise
        else:
            client.on_lost = self._lost
            self._client = client
        self._dialing = False
        waiting, self._waiting = self._waiting, []
        for send in waiting:
            send()

    def _lost(self) -> None:
        self._client = None

    def drop(self) -> None:
        """Break the connection.

        Its open calls end without a reply, and what is still in transit is lost.
        """
        if self._client is not None:
            client, self._client = self._client, None
            client.abort()

    def close(self) -> None:
        """Drop the connection for good."""
        self.closed = True
        self.drop()


class Peer:
    """All links to the other head."""

    def __init__(
        self, hub: Hub, network: Network, scope: Scope, settings: RegionSettings, head_id: int, name: str
    ) -> None:
        self._hub, self._network, self._scope, self._settings = hub, network, scope, settings
        self._head_id, self._name = head_id, name
        self._relays: dict[str, PeerLink] = {}
        self._catch_up_links: dict[str, tuple[int, PeerLink]] = {}
        self._copies: dict[str, tuple[tuple[int, int], PeerLink]] = {}
        self.newest_tick = 0  # received from the other head

    def relay(self, volume: str, generation: int = 0) -> PeerLink:
        """Return the link that relays requests on a volume to its holder.

        Requests of the catch-up state the generation of the copy's bytes, if any were purged. They use a link
        of their own, so that clients' requests carry no generation.
        """
        if generation:
            known = self._catch_up_links.get(volume)
            if known is None or known[0] != generation:
                if known is not None:
                    known[1].close()
                context = context_of(self._head_id, 0, RELAY_CONTEXT, generation)
                known = self._catch_up_links[volume] = (generation, self._link(volume, context))
            return known[1]
        link = self._relays.get(volume)
        if link is None:
            link = self._relays[volume] = self._link(volume, context_of(self._head_id, 0, RELAY_CONTEXT))
        return link

    def copy(self, volume: str, epoch: int, generation: int = 0) -> PeerLink:
        """Return the link for a holder's writes to the copy; each epoch and generation has its own."""
        known, wanted = self._copies.get(volume), (epoch, generation)
        if known is not None and known[0] == wanted:
            return known[1]
        if known is not None:
            known[1].close()
        link = self._link(volume, context_of(self._head_id, epoch, COPY_CONTEXT, generation))
        self._copies[volume] = (wanted, link)
        return link

    def _link(self, volume: str, context: str) -> PeerLink:
        return PeerLink(self._hub, self._network, self._scope, self._settings, volume, context, self._name)
