"""Links to storage nodes: one NBD connection for each node and volume, opened when it is needed.

A node's export has the name and the size of the volume, and each extent is at its own offset, so an ordinary
NBD server with such exports is a usable node. A broken link resets the attempts that were sent over it;
attempts that still waited for it to open are known not to have run.
"""

from __future__ import annotations

from harriertrack.decisions import interface as api
from harriertrack.decisions.epochs import Epochs
from harriertrack.decisions.link_lifecycle import LinkLifecycle
from harriertrack.decisions.requests import Attempt, ClientRequest
from harriertrack.decisions.splitting import Kind
from harriertrack.gateway.parts import HeadParts
from harriertrack.protocol.nbd.client import (
    ClientConnection,
    ClientState,
    GreetingReceived,
    OptionEnded,
    Reply,
)
from harriertrack.protocol.nbd.extension import context_of, cookie_of
from harriertrack.protocol.nbd.wire import Command, ProtocolViolation
from harriertrack.runtime.hub import Cancelled, DeadlineExceeded, Timer
from harriertrack.runtime.streams import Stream

COMMANDS = {
    Kind.READ: Command.READ,
    Kind.WRITE: Command.WRITE,
    Kind.TRIM: Command.TRIM,
    Kind.ZERO: Command.WRITE_ZEROES,
    Kind.FLUSH: Command.FLUSH,
    Kind.CACHE: Command.CACHE,
}

SHARE_POLL_US = 10_000  # between checks of a waiting link: the head's share of connections may grow


class LinkError(Exception):
    """The node does not support the NBD features that this head needs."""


class BaseLink:
    """One link to one node for one volume: does what its `LinkLifecycle` decides, over any transport."""

    def __init__(self, links: Links, node: str, volume: str, epoch: int) -> None:
        self.node, self.volume, self.epoch = node, volume, epoch
        self.counted = False  # it counts towards the fleet-wide limit of open connections
        self._links, self._hub = links, links.hub
        self.lifecycle = LinkLifecycle(links.settings.limits.orphans)

    def send(self, attempt: Attempt) -> None:
        """Send an attempt now, or once the link is open."""
        cookie = cookie_of(attempt.part.number, attempt.number)
        if self.lifecycle.add_attempt(cookie, attempt):
            self._request(cookie, attempt)

    def _send_waiting(self) -> None:
        """Once the link is open, send the attempts that waited for it and may still start."""
        core, now = self._links.core, self._hub.now()
        for cookie, attempt in self.lifecycle.complete_handshake():
            if core.may_begin(now, attempt):
                self._request(cookie, attempt)
            else:
                core.attempt_ended(now, self.lifecycle.match_reply(cookie), api.Result.MOOT)

    def call_off(self, attempt: Attempt) -> None:
        """Drop an attempt that waits for the link, or cancel it at a node that supports cancels."""
        cookie = cookie_of(attempt.part.number, attempt.number)
        if self.lifecycle.call_off(cookie):
            self._cancel(cookie)
        if self.lifecycle.retired:
            self.retire()

    def retire(self) -> None:
        """Accept no more attempts; close once no answer is awaited."""
        self._links.forget(self)
        self.lifecycle.retired = True
        self._close_or_check_again()

    def close_if_spent(self) -> None:
        """Close if the link was replaced, and no answer over it is needed, or none may be awaited."""
        if not self.lifecycle.closed:
            self._close_if_spent()

    def _close_or_check_again(self) -> None:
        self.close_if_spent()
        if not self.lifecycle.closed:  # links are not notified when a client leaves, so check again
            self._hub.at(self._hub.now() + self._links.settings.limits.idle_us, self._close_or_check_again)

    def _request(self, cookie: int, attempt: Attempt) -> None:
        """Send an attempt's request."""
        raise NotImplementedError

    def _cancel(self, cookie: int) -> None:
        """Tell the node that the answer to a request is no longer awaited."""
        raise NotImplementedError

    def _close_if_spent(self) -> None:
        """Close if the link was replaced and no answer is awaited."""
        raise NotImplementedError


class Link(BaseLink):
    """One NBD connection to one node for one volume."""

    def __init__(self, links: Links, node: str, address: tuple[str, int], volume: str, epoch: int) -> None:
        super().__init__(links, node, volume, epoch)
        self.address = address
        self._nbd = ClientConnection()
        self._stream: Stream | None = None
        self._idle: Timer | None = None

    def _request(self, cookie: int, attempt: Attempt) -> None:
        part = attempt.part
        kind = part.request.kind
        body = part.body() if kind is Kind.WRITE else b""
        flags = self._links.flags(part.request.flags, kind)
        offset = 0 if kind is Kind.FLUSH else part.offset
        self._nbd.request(COMMANDS[kind], cookie, offset, part.length, body, flags)
        self._push()
        self._links.core.attempt_sent(attempt)

    def _cancel(self, cookie: int) -> None:
        if self._nbd.has_extension:
            self._nbd.cancel(cookie)
            self._push()

    def _close_if_spent(self) -> None:
        if self.lifecycle.can_close and self._stream is not None:
            self._stream.abort()

    def _push(self) -> None:
        if self._stream is not None:
            for data in self._nbd.take_outgoing():
                self._stream.write(data)

    def run(self) -> None:
        """Connect, shake hands, and read replies until the link breaks (the link's task)."""
        try:
            self._dial()
            self._send_waiting()
            self._close_if_spent()
            self._start_idle_timer()
            while self._stream is not None and (data := self._stream.read()):
                self.lifecycle.note_received(self._hub.now())
                for event in self._nbd.receive(data):
                    if isinstance(event, Reply):
                        self._answered(event)
                self._push()
            why = "the node closed the connection"
        except (OSError, DeadlineExceeded, ProtocolViolation, LinkError) as error:
            why = str(error) or type(error).__name__
        except Cancelled:
            self._close()
            raise
        lost = self._close()
        self._links.link_closed(self, why)
        now = self._hub.now()
        for attempt, result in lost:
            self._links.core.attempt_ended(now, attempt, result)

    def _close(self) -> list[tuple[Attempt, api.Result]]:
        lost = self.lifecycle.close()
        if self._idle is not None:
            self._idle.cancel()
        if self._stream is not None:
            if self._nbd.state is ClientState.TRANSMISSION:
                self._nbd.disconnect()
                self._push()
            self._stream.close()
        return lost

    def _dial(self) -> None:
        deadline = self._hub.now() + self._links.settings.limits.dial_us
        self._links.await_connection(self, deadline)
        self._stream = self._links.network.connect(self.address, deadline, self._links.name)
        self._await(GreetingReceived, deadline)
        self._nbd.send_structured_reply()
        if not self._option(deadline).error:
            self._nbd.send_meta_contexts(self.volume, [context_of(self._links.head_id, self.epoch)])
            self._option(deadline)
        if not self._nbd.has_extension and not self._links.settings.plain_nodes:
            raise LinkError("the node drops no repeats (plain NBD), and (plain-nodes yes) is not set")
        self._nbd.send_go(self.volume)
        done = self._option(deadline)
        if done.error:
            raise LinkError(f"export {self.volume}: {done.message or hex(done.error)}")
        if done.size < self._links.sizes[self.volume]:
            raise LinkError(f"export {self.volume} has {done.size} bytes; the volume is larger")

    def _option(self, deadline: int) -> OptionEnded:
        return self._await(OptionEnded, deadline)

    def _await(self, kind: type, deadline: int) -> OptionEnded:
        self._push()
        stream = self._stream
        assert stream is not None
        while True:
            data = stream.read(deadline)
            if not data:
                raise LinkError("the node closed the connection during the handshake")
            for event in self._nbd.receive(data):
                if isinstance(event, kind):
                    self._push()
                    return event  # type: ignore[return-value]

    def _answered(self, reply: Reply) -> None:
        attempt = self.lifecycle.match_reply(reply.cookie)
        result = api.Result.FULL if reply.never_ran else api.Result.ERROR if reply.error else api.Result.OK
        self._links.core.attempt_ended(self._hub.now(), attempt, result, reply.data, reply.report)
        self._close_if_spent()
        if not self.lifecycle.busy:
            self._start_idle_timer()

    def _start_idle_timer(self) -> None:
        """Close the link after the configured idle time."""
        if self._idle is None:
            self._idle_since = self._hub.now()
            self._idle = self._hub.at(
                self._idle_since + self._links.settings.limits.idle_us, self._idle_expired
            )
        self._idle_since = self._hub.now()

    def _idle_expired(self) -> None:
        self._idle = None
        if self.lifecycle.busy:
            return
        until = self._idle_since + self._links.settings.limits.idle_us
        if self._hub.now() < until:
            self._idle = self._hub.at(until, self._idle_expired)
        elif self._stream is not None:
            self._links.forget(self)
            self._nbd.disconnect()
            self._push()
            self._stream.close()


class Links:
    """All links of a head."""

    def __init__(self, head: HeadParts) -> None:
        self.hub, self.network, self.settings = head.hub, head.network, head.settings
        self.core, self.nodes, self.head_id, self.name = head.core, head.nodes, head.head_id, head.name
        self.sizes = {volume.name: volume.size_bytes for volume in head.settings.volumes}
        self._scope, self._note, self._budget_shares = head.scope, head.note, head.budget_shares
        self._links: dict[tuple[str, str], BaseLink] = {}
        self._shed: list[BaseLink] = []  # retired to return connections to the fleet
        self.epochs = Epochs()

    def flags(self, requested: int, kind: Kind) -> int:
        """Return the client's flags that apply to a node: FUA and NO_HOLE; DF is between client and head."""
        return requested & (0b11 if kind is Kind.ZERO else 0b01)

    def send(self, attempt: Attempt) -> None:
        """Send an attempt over its node's link for its volume, opening one if there is none."""
        key = (attempt.member.entry.node, attempt.volume)
        link, epoch = self._links.get(key), self.epochs.epoch_of(key[1])
        if link is not None and link.epoch != epoch:
            link.retire()
            link = None
        if link is None or link.lifecycle.closed:
            link = self._links[key] = self.open(*key, epoch)
        attempt.carrier = link
        link.send(attempt)

    def open(self, node: str, volume: str, epoch: int) -> BaseLink:
        """Start to open a link."""
        member = self.nodes.find(node)
        assert member is not None  # the core found the node in the same list
        link = Link(self, node, member.address, volume, epoch)
        self._scope.spawn(f"link {node} {volume}", link.run)
        return link

    def await_connection(self, link: BaseLink, deadline: int) -> None:
        """Wait for one of the connections that the fleet divides, if it does. Raises LinkError."""
        shares, node, now = self._budget_shares, link.node, self.hub.now
        if shares is None:
            return
        shares.add_link_waiters(now(), node, 1)
        try:
            while not shares.acquire_link(now(), node):
                self._sleep(deadline)
        finally:
            shares.add_link_waiters(now(), node, -1)
        link.counted, again = True, False
        while shares.connection_wait(now(), node, again):
            self._sleep(deadline)
            again = True

    def _sleep(self, deadline: int) -> None:
        if self.hub.now() >= deadline:
            raise LinkError("the fleet's limit of open connections leaves none for this link")
        self.hub.sleep(SHARE_POLL_US)

    def shed(self, node: str, number: int) -> None:
        """Close `number` links to a node, each once its open attempts are done."""
        self._shed = [link for link in self._shed if link.counted]  # links not counted any more are closed
        number -= sum(link.node == node for link in self._shed)
        candidates = [link for link in self._links.values() if link.node == node and link.counted]
        for link in candidates[: max(0, number)]:
            self._shed.append(link)
            link.retire()

    def call_off(self, attempt: Attempt) -> None:
        """Pass a cancel on to the attempt's link, which may have been replaced since."""
        if isinstance(attempt.carrier, BaseLink):
            attempt.carrier.call_off(attempt)

    def request_over(self, request: ClientRequest) -> None:
        """Close the replaced links that might still deliver a change of a request that is over."""
        for part in request.parts:
            for attempt in part.attempts:
                link = attempt.carrier
                if isinstance(link, BaseLink) and link.lifecycle.retired:
                    link.close_if_spent()

    def forget(self, link: BaseLink) -> None:
        """Let the next attempt open a new link."""
        if self._links.get((link.node, link.volume)) is link:
            del self._links[link.node, link.volume]

    def link_closed(self, link: BaseLink, why: str) -> None:
        """Clean up after a closed link."""
        self.forget(link)
        if link.counted and self._budget_shares is not None:
            link.counted = False
            self._budget_shares.release_link(self.hub.now(), link.node)
        self._note("link closed", node=link.node, volume=link.volume, why=why)

    def __len__(self) -> int:
        return len(self._links)
