"""A head's part in its fleet, on the hub: datagrams to and from the pure member, and a door for operators.

At the same host and port, over TCP, whoever connects is sent the view as one JSON document. Nothing is read
from such a connection.
"""

from __future__ import annotations

import msgspec

from harriertrack.config.settings import FleetSettings
from harriertrack.gateway.fleet.parameters import parameters_from
from harriertrack.gateway.fleet.resources import HeadResources
from harriertrack.gateway.fleet.startup import FleetServices, MemberContext
from harriertrack.gateway.parts import HeadParts
from harriertrack.membership.fleet.messages import TOPIC_MARK, Record, State
from harriertrack.membership.fleet.status_document import (
    ActivityNote,
    build_document,
    digest_name,
    parse_member_note,
    state_name,
)
from harriertrack.membership.fleet.swim import LogEvent, MemberChanged, NoteReceived, Rules, Send, Swim
from harriertrack.membership.fleet.view import Change
from harriertrack.runtime.alarm import Alarm
from harriertrack.runtime.datagrams import Address, SocketDatagrams
from harriertrack.runtime.hub import DeadlineExceeded, Event
from harriertrack.runtime.streams import Listener, Stream, StreamClosed

DOOR_US = 2_000_000  # how long an operator's connection may take the document
MOST_AT_DOOR = 8  # such connections at a time; more are closed


def rules_of(settings: FleetSettings) -> Rules:
    """Return the protocol's figures."""
    return parameters_from(Rules, settings)


class FleetMember:
    """This head as a member."""

    def __init__(self, parts: HeadParts, settings: FleetSettings, beside: HeadResources) -> None:
        self._parts, self._settings, self._hub, self._beside = parts, settings, parts.hub, beside
        self._network = beside.datagrams or SocketDatagrams(parts.hub)
        self._alarm = Alarm(parts.hub, self._wake)
        self._at_door = 0
        self._closed = False
        self._taken = self._refused = 0
        self._about = ActivityNote()
        self.swim: Swim
        self.services: FleetServices

    def start(self) -> None:
        """Bind, and take part from now on. Raises OSError if the address is taken."""
        hub, settings, head = self._hub, self._settings, self._parts.settings
        self._port = self._network.bind(settings.listen, self._come, settings.name)
        try:
            door = self._parts.network.listen(self._port.address)
        except OSError:
            self._port.close()
            raise
        host, port = settings.advertise if settings.advertise[0] else self._port.address
        me = Record(
            settings.name, max(1, hub.clock.wall() // 1000), hub.random.getrandbits(63), 0, State.ALIVE,
            host, port, head.region.name if head.region is not None else "", head.zone, settings.cell,
        )  # fmt: skip
        seeds = [seed.address for seed in settings.seeds]
        self.swim = Swim(rules_of(settings), me, seeds, hub.random.getrandbits(63))
        member = MemberContext(self._parts, self._beside, self.swim, self._port.send, self._tell_now)
        self.services = FleetServices(member, settings)
        scope = self._parts.scope
        scope.spawn("fleet", self._hold, door)
        scope.spawn("fleet's door", self._open, door)
        scope.spawn("fleet's note", self._tell)
        self._parts.note("fleet joins", member=settings.name, address=f"{host}:{port}",
                         instance=digest_name(me.instance))  # fmt: skip
        self.swim.start(hub.now())
        self._follow()
        self.services.start()

    def reconfigure(self, settings: FleetSettings) -> None:
        """Go by other figures from now on; what is due already stays so."""
        self._settings = settings
        self.swim.update_rules(rules_of(settings))
        self.services.reconfigure(settings)

    @property
    def address(self) -> Address:
        """Return where the head listens for its fleet."""
        return self._port.address

    def _hold(self, door: Listener) -> None:
        """Give back what was bound, whenever the head ends (a task)."""
        try:
            Event(self._hub).wait()
        finally:
            self._closed = True
            self._alarm.cancel()
            self.services.close()
            self._port.close()
            door.close()

    def leave(self) -> None:
        """Say goodbye."""
        self.swim.leave(self._hub.now())
        self._follow()
        self.services.leave()

    def wait_left(self) -> None:
        """Wait until the goodbye has been said often enough, for `leave` at most."""
        until = self._hub.now() + self._settings.leave_us
        while self._hub.now() < until:
            if self.swim.leave_complete and self.services.released:
                return
            self._hub.sleep(self._settings.gossip_us // 4)

    # -- datagrams and time

    def _come(self, data: bytes, source: Address) -> None:
        if self._closed:
            return
        if data[:1] == TOPIC_MARK and (budgets := self.services.budgets) is not None:
            budgets.receive(data, source)
            return
        self.swim.receive(self._hub.now(), data, source)
        self._follow()

    def _wake(self) -> None:
        if not self._closed:
            self.swim.wake(self._hub.now())
            self._follow()

    def _follow(self) -> None:
        for action in self.swim.take_actions():
            match action:
                case Send(address, data):
                    self._port.send(data, address)
                case MemberChanged(change):
                    self._changed(change)
                case NoteReceived(note):
                    if (changes := self.services.changes) is not None and (
                        about := parse_member_note(note.payload)
                    ):
                        changes.heard(about)
                case LogEvent(event, fields):
                    self._parts.note(event, **dict(fields))
        self._alarm.wake_at(self.swim.wake_at())

    def _changed(self, change: Change) -> None:
        before, after, view, zones = change.before, change.after, self.swim.view, self.services.zones
        if zones is not None and after.state is State.ALIVE and (before is None or change.process_changed):
            zones.send_decisions_to(after)
        if before is not None and before.state is after.state and not change.process_changed:
            return  # a suspect's objection, known before the suspicion was
        self._parts.note(
            "fleet member", member=after.name, state=state_name(after.state),
            was=state_name(before.state) if before is not None else "", life=after.started,
            incarnation=after.incarnation, by=after.by, there=len(view.present),
            digest=digest_name(view.digest),
        )  # fmt: skip

    # -- what it says of itself

    def _tell(self) -> None:
        """Note from time to time how busy the head is (a task)."""
        settings, core = self._settings, self._parts.core
        while True:
            taken, refused = core.counts.accepted - self._taken, core.counts.refused - self._refused
            self._taken, self._refused = core.counts.accepted, core.counts.refused
            self._about = ActivityNote(
                volumes=len(self._parts.settings.volumes), open=core.open_requests,
                taken=round(taken * 1e6 / settings.note_us), refused=100 * refused // taken if taken else 0,
            )  # fmt: skip
            self._tell_now()
            self._hub.sleep(settings.note_us)

    def _tell_now(self) -> None:
        about, changes = self._about, self.services.changes
        told = changes.about(about) if changes is not None else msgspec.msgpack.encode(about)
        self.swim.set_note(self._hub.now(), told)
        self._follow()

    # -- the door

    def _open(self, door: Listener) -> None:
        while True:
            try:
                stream = door.accept()
            except StreamClosed:
                return
            if self._at_door >= MOST_AT_DOOR:
                stream.abort()
                continue
            self._at_door += 1
            self._parts.scope.spawn("fleet's view", self._show, stream)

    def _show(self, stream: Stream) -> None:
        sent = Event(self._hub)
        try:
            now = self._hub.now()
            document = msgspec.structs.replace(build_document(self.swim, now), **self.services.documents(now))
            stream.write(msgspec.json.encode(document))
            stream.push(sent.set)
            stream.watch_end(sent.set)
            sent.wait(self._hub.now() + DOOR_US)
        except (OSError, DeadlineExceeded):
            pass  # this connection alone suffers
        finally:
            self._at_door -= 1
            stream.close()
