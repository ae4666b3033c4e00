"""A head as a member of its fleet: carries the datagrams and timers of `Swim`, and serves its status.

Over TCP, at the same host and port, each connection is sent the view as one JSON document; nothing is read
from it.
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

STATUS_SEND_US = 2_000_000  # timeout for sending the status document
MAX_STATUS_CONNECTIONS = 8  # at a time; more are closed


def rules_of(settings: FleetSettings) -> Rules:
    """Return the parameters of the membership protocol."""
    return parameters_from(Rules, settings)


class FleetMember:
    """This head as a member of its fleet."""

    def __init__(self, parts: HeadParts, settings: FleetSettings, resources: HeadResources) -> None:
        self._parts, self._settings, self._hub, self._resources = parts, settings, parts.hub, resources
        self._network = resources.datagrams or SocketDatagrams(parts.hub)
        self._alarm = Alarm(parts.hub, self._wake)
        self._status_connections = 0
        self._closed = False
        self._accepted_before = self._refused_before = 0
        self._load_note = ActivityNote()
        self.swim: Swim
        self.services: FleetServices

    def start(self) -> None:
        """Bind, and join the fleet. Raises OSError if the address is in use."""
        hub, settings, head = self._hub, self._settings, self._parts.settings
        self._port = self._network.bind(settings.listen, self._receive, settings.name)
        try:
            listener = self._parts.network.listen(self._port.address)
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
        member = MemberContext(self._parts, self._resources, self.swim, self._port.send, self._publish_note)
        self.services = FleetServices(member, settings)
        scope = self._parts.scope
        scope.spawn("fleet", self._close_at_end, listener)
        scope.spawn("fleet's door", self._serve_status, listener)
        scope.spawn("fleet's note", self._publish_load)
        self._parts.note("fleet joins", member=settings.name, address=f"{host}:{port}",
                         instance=digest_name(me.instance))  # fmt: skip
        self.swim.start(hub.now())
        self._apply_actions()
        self.services.start()

    def reconfigure(self, settings: FleetSettings) -> None:
        """Apply other settings; timers that are already set stay."""
        self._settings = settings
        self.swim.update_rules(rules_of(settings))
        self.services.reconfigure(settings)

    @property
    def address(self) -> Address:
        """Return the address at which the head listens for its fleet."""
        return self._port.address

    def _close_at_end(self, listener: Listener) -> None:
        """Close the sockets when the head's scope ends (a task)."""
        try:
            Event(self._hub).wait()
        finally:
            self._closed = True
            self._alarm.cancel()
            self.services.close()
            self._port.close()
            listener.close()

    def leave(self) -> None:
        """Announce that this head leaves the fleet, and release its locks."""
        self.swim.leave(self._hub.now())
        self._apply_actions()
        self.services.leave()

    def wait_left(self) -> None:
        """Wait until the departure was announced often enough, for `leave_us` at most."""
        until = self._hub.now() + self._settings.leave_us
        while self._hub.now() < until:
            if self.swim.leave_complete and self.services.released:
                return
            self._hub.sleep(self._settings.gossip_us // 4)

    # -- datagrams and time

    def _receive(self, data: bytes, source: Address) -> None:
        if self._closed:
            return
        if data[:1] == TOPIC_MARK and (budgets := self.services.budgets) is not None:
            budgets.receive(data, source)
            return
        self.swim.receive(self._hub.now(), data, source)
        self._apply_actions()

    def _wake(self) -> None:
        if not self._closed:
            self.swim.wake(self._hub.now())
            self._apply_actions()

    def _apply_actions(self) -> None:
        for action in self.swim.take_actions():
            match action:
                case Send(address, data):
                    self._port.send(data, address)
                case MemberChanged(change):
                    self._handle_change(change)
                case NoteReceived(note):
                    if (changes := self.services.changes) is not None and (
                        member_note := parse_member_note(note.payload)
                    ):
                        changes.handle_member_note(member_note)
                case LogEvent(event, fields):
                    self._parts.note(event, **dict(fields))
        self._alarm.wake_at(self.swim.wake_at())

    def _handle_change(self, change: Change) -> None:
        before, after, view, zones = change.before, change.after, self.swim.view, self.services.zones
        if zones is not None and after.state is State.ALIVE and (before is None or change.process_changed):
            zones.send_decisions_to(after)
        if before is not None and before.state is after.state and not change.process_changed:
            return  # a suspect's refutation that arrived before the suspicion
        self._parts.note(
            "fleet member", member=after.name, state=state_name(after.state),
            was=state_name(before.state) if before is not None else "", life=after.started,
            incarnation=after.incarnation, by=after.by, there=len(view.present),
            digest=digest_name(view.digest),
        )  # fmt: skip

    # -- the note on this head

    def _publish_load(self) -> None:
        """Publish the head's load periodically (a task)."""
        settings, core = self._settings, self._parts.core
        while True:
            accepted = core.counts.accepted - self._accepted_before
            refused = core.counts.refused - self._refused_before
            self._accepted_before, self._refused_before = core.counts.accepted, core.counts.refused
            self._load_note = ActivityNote(
                volumes=len(self._parts.settings.volumes), open=core.open_requests,
                taken=round(accepted * 1e6 / settings.note_us),
                refused=100 * refused // accepted if accepted else 0,
            )  # fmt: skip
            self._publish_note()
            self._hub.sleep(settings.note_us)

    def _publish_note(self) -> None:
        activity, changes = self._load_note, self.services.changes
        note = changes.member_note(activity) if changes is not None else msgspec.msgpack.encode(activity)
        self.swim.set_note(self._hub.now(), note)
        self._apply_actions()

    # -- the operators' status

    def _serve_status(self, listener: Listener) -> None:
        while True:
            try:
                stream = listener.accept()
            except StreamClosed:
                return
            if self._status_connections >= MAX_STATUS_CONNECTIONS:
                stream.abort()
                continue
            self._status_connections += 1
            self._parts.scope.spawn("fleet's view", self._send_status, stream)

    def _send_status(self, stream: Stream) -> None:
        sent = Event(self._hub)
        try:
            now = self._hub.now()
            document = msgspec.structs.replace(build_document(self.swim, now), **self.services.documents(now))
            stream.write(msgspec.json.encode(document))
            stream.push(sent.set)
            stream.watch_end(sent.set)
            sent.wait(self._hub.now() + STATUS_SEND_US)
        except (OSError, DeadlineExceeded):
            pass  # affects this connection alone
        finally:
            self._status_connections -= 1
            stream.close()
