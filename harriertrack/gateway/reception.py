"""What all fronts of a head share: who is let in, which requests are taken, and what becomes of those whose
client leaves.

A front is codec and mapping; it asks here before it takes a request, and hears of the answer through the
request's token.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass
from functools import partial
from typing import Protocol

from harriertrack.config.settings import HeadSettings
from harriertrack.decisions.requests import ClientRequest, Core, Origin
from harriertrack.decisions.shares import ShareLimits, Shares
from harriertrack.gateway.regional import Regional
from harriertrack.runtime.hub import Hub, Scope
from harriertrack.runtime.streams import Listener, Stream, StreamClosed

TICK_US = 100_000  # how often the shares hear how busy the loop is


class Guest(Protocol):
    """A client's connection, whatever it speaks."""

    origin: Origin
    volume: str  # "" until it has chosen one, or if it uses several
    chosen: bool
    counted: bool  # among its cell's connections

    def run(self) -> None:
        """Serve the connection until it ends (its task)."""


@dataclass(frozen=True, slots=True)
class TurnedAway:
    """A request that is not taken: nothing was done, and unless the head stops trying again is harmless."""

    why: str
    closing: bool = False


class Reception:
    """One head's."""

    def __init__(self, hub: Hub, settings: HeadSettings, core: Core, scope: Scope, note: Callable[..., None],
                 regional: Regional | None, cells: Mapping[str, str] | None) -> None:  # fmt: skip
        self.hub, self.settings, self.core, self.note = hub, settings, core, note
        self.regional = regional
        self.sessions = 0
        self._choosing = 0  # of these, so many have not chosen their volume
        limits, cells = settings.limits, cells or {volume.name: "" for volume in settings.volumes}
        divided = len(set(cells.values())) > 1
        # Who has not chosen yet is of no cell: cells' parts are safe from them.
        self._may_choose = max(1, limits.connections // 4) if divided else limits.connections
        connections = max(1, limits.connections - self._may_choose) if divided else limits.connections
        self.shares = Shares(ShareLimits(connections, limits.held, limits.held_bytes, limits.borrow), cells)
        self._counted: dict[ClientRequest, int] = {}  # clients' requests, and the bytes they brought
        self.closing = False
        self.scope = scope

    # -- connections

    def serve(self, listener: Listener, make: Callable[[Stream], Guest]) -> None:
        """Accept clients until the listener is closed (a front's task)."""
        while True:
            try:
                stream = listener.accept()
            except StreamClosed:
                return
            if self.sessions >= self.settings.limits.connections or self._choosing >= self._may_choose:
                self.note("client turned away", peer=stream.peer, why="too many connections")
                stream.close()
                continue
            self.sessions += 1
            self._choosing += 1
            guest = make(stream)
            task = self.scope.spawn(f"client {stream.peer}", guest.run)
            task.on_done.append(partial(self._left, guest))

    def _left(self, guest: Guest, _task: object) -> None:
        self.sessions -= 1
        self._choosing -= not guest.chosen
        if guest.counted:
            self.shares.left(guest.volume)

    def chose(self, guest: Guest) -> bool:
        """A connection has chosen its volume; False: its cell has no room for it."""
        self._choosing -= 1
        guest.chosen = True
        # The other head's connections are few, and what they carry is bounded there.
        guest.counted = guest.origin is Origin.CLIENT and self.shares.connects(guest.volume)
        return guest.counted or guest.origin is not Origin.CLIENT

    def watch(self) -> None:
        """Tell the shares how busy the loop is (a task)."""
        hub = self.hub
        while True:
            began, idle = hub.now(), hub.idle_us
            hub.sleep(TICK_US)
            now = hub.now()
            self.shares.ticked(now, max(0.0, 1 - (hub.idle_us - idle) / max(1, now - began)))

    # -- requests

    def turns_away(self, request: ClientRequest, open_requests: int) -> TurnedAway | None:
        """Return why a request is not taken; None: it is to be taken now.

        `open_requests` is how many its connection has open.
        """
        if self.closing:
            return TurnedAway("shutting down", closing=True)
        if open_requests >= self.settings.limits.in_flight or self.core.full():
            # Not reading on would let requests grow old in the socket, past what their clients wait for.
            return TurnedAway("refused: not done; too much is open")
        if request.origin is Origin.CLIENT:  # the other head's work is bounded there
            name, size = request.volume.settings.name, len(request.data)
            if why := self.shares.takes(name, size, self.hub.now()):
                return TurnedAway(f"refused: not done; {why}")
            self._counted[request] = size
        return None

    def take(self, request: ClientRequest) -> None:
        """Hand a request to the core, or to the layer of volumes of two regions."""
        if self.regional is not None and request.volume.settings.name in self.regional.volumes:
            self.regional.take(request)
        else:
            self.core.take(self.hub.now(), request)

    def ended(self, request: ClientRequest) -> None:
        """A request has its answer, or nobody waits for it any more: its room is free again."""
        size = self._counted.pop(request, None)
        if size is not None:
            self.shares.ended(request.volume.settings.name, size)

    def client_gone(self, request: ClientRequest) -> None:
        """The request's client left."""
        self.ended(request)
        if self.regional is not None and request.volume.settings.name in self.regional.volumes:
            self.regional.client_gone(request)
        else:
            self.core.client_gone(request)
