"""A head's part in its fleet, on the hub: datagrams to and from the pure member, and a door for operators.

At the same host and port, over TCP, whoever connects is sent the view as one JSON document. Nothing is read
from such a connection.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from harriertrack.config.settings import FleetSettings, RolloutSettings
from harriertrack.gateway.fleet.beside import Beside
from harriertrack.gateway.fleet.figures import figures
from harriertrack.gateway.parts import HeadParts
from harriertrack.membership.fleet.messages import BUDGETS, Record, State
from harriertrack.membership.fleet.swim import Changed, Noted, Rules, Said, Send, Swim
from harriertrack.membership.fleet.telling import About, about_of, digest_name, document_of, state_name
from harriertrack.membership.fleet.view import Change
from harriertrack.runtime.alarm import Alarm
from harriertrack.runtime.datagrams import Address, SocketDatagrams
from harriertrack.runtime.hub import DeadlineExceeded, Event
from harriertrack.runtime.streams import Listener, Stream, StreamClosed

if TYPE_CHECKING:
    from harriertrack.gateway.fleet.budgets import Budgets
    from harriertrack.gateway.fleet.changes.carrier import Changes
    from harriertrack.gateway.fleet.closing.carrier import Closing
    from harriertrack.gateway.fleet.deciding import Deciding
    from harriertrack.gateway.fleet.rollout.carrier import Rollouts
    from harriertrack.gateway.fleet.scoring.carrier import Scoring
    from harriertrack.gateway.fleet.zones import Zones

DOOR_US = 2_000_000  # how long an operator's connection may take the document
MOST_AT_DOOR = 8  # such connections at a time; more are closed


def rules_of(settings: FleetSettings) -> Rules:
    """Return the protocol's figures."""
    return figures(Rules, settings)


class Fleet:
    """This head as a member."""

    def __init__(self, parts: HeadParts, settings: FleetSettings, beside: Beside) -> None:
        self._parts, self._settings, self._hub, self._beside = parts, settings, parts.hub, beside
        self._network = beside.datagrams or SocketDatagrams(parts.hub)
        self._alarm = Alarm(parts.hub, self._wake)
        self._at_door = 0
        self._closed = False
        self._taken = self._refused = 0
        self._about = About()
        self.scoring: Scoring | None = None
        self.zones: Zones | None = None
        self.budgets: Budgets | None = None
        self.deciding: Deciding | None = None
        self.changes: Changes | None = None
        self.closing: Closing | None = None
        self.rollouts: Rollouts | None = None
        self.swim: Swim

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
        scope = self._parts.scope
        scope.spawn("fleet", self._hold, door)
        scope.spawn("fleet's door", self._open, door)
        scope.spawn("fleet's note", self._tell)
        self._parts.note("fleet joins", member=settings.name, address=f"{host}:{port}",
                         instance=digest_name(me.instance))  # fmt: skip
        self.swim.start(hub.now())
        self._follow()
        if self._beside.scored is not None and settings.scoring is not None:
            from harriertrack.gateway.fleet.scoring.carrier import Scoring

            self.scoring = Scoring(self._parts, settings.scoring, self._beside.scored, self.swim)
            self.scoring.start()
        portions = self._parts.portions
        if portions is not None and settings.budgets is not None:
            from harriertrack.gateway.fleet.budgets import Budgets  # a fleet without does not even load it

            self.budgets = Budgets(self._parts, settings.budgets, portions, settings.fleet, self.swim,
                                   self._port.send, self._decides)  # fmt: skip
            self.budgets.start()
            if self._decides:
                self._start_deciding(self.budgets)

    @property
    def _decides(self) -> bool:
        return self._settings.zones is not None or self._settings.changes is not None

    def _start_deciding(self, budgets: Budgets) -> None:
        """Take part in what is decided for the whole fleet; only heads that have a part load it."""
        from harriertrack.gateway.fleet.deciding import Deciding

        settings, beside = self._settings, self._beside
        self.deciding = Deciding(self._hub, settings.name, budgets)
        if settings.zones is not None and beside.evidence is not None:
            from harriertrack.gateway.fleet.zones import Zones

            self.zones = Zones(self._parts, settings.zones, beside.evidence, beside.listing, self.swim,
                               self.deciding)  # fmt: skip
            self.zones.start()
        if settings.changes is not None:
            from harriertrack.gateway.fleet.changes.carrier import Changes

            self.changes = Changes(self._parts, settings.changes, self.swim, self.deciding, self._tell_now,
                                   beside.kept)  # fmt: skip
            self._start_users(self.deciding, self.changes, settings)
            self.changes.start()

    def _start_users(self, deciding: Deciding, changes: Changes, settings: FleetSettings) -> None:
        """Start what goes by the record of changes."""
        from harriertrack.decisions.fleet.changes.record import Kind
        from harriertrack.gateway.fleet.settings_user import SettingsUser

        beside = self._beside
        user = SettingsUser(self._parts.settings, beside.retell, self._parts.note)
        changes.use(Kind.SETTINGS, user)
        if settings.closing is not None:
            from harriertrack.gateway.fleet.closing.carrier import Closing

            self.closing = Closing(self._parts, settings.closing, self.swim, deciding, changes,
                                   beside.extents, beside.epochs)  # fmt: skip
            self.closing.start()
        if self.scoring is not None:
            self.scoring.follow(changes)
        if settings.changes is not None and settings.changes.rollout is not None:
            self._start_rollouts(deciding, changes, settings.changes.rollout)

    def _start_rollouts(self, deciding: Deciding, changes: Changes, settings: RolloutSettings) -> None:
        from harriertrack.decisions.fleet.changes.record import Kind
        from harriertrack.gateway.fleet.rollout.carrier import Rollouts, no_usage
        from harriertrack.gateway.fleet.rollout.program_user import ProgramUser

        handover, counting = self._beside.handover, self._parts.counting
        assert counting is not None, "a head whose settings have rollouts counts its answers"
        changes.use(Kind.PROGRAM, ProgramUser(handover))
        if handover is not None and handover.number:
            changes.took(Kind.PROGRAM.value, handover.number)
        self.rollouts = Rollouts(self._parts, settings, self.swim, deciding, changes, counting,
                                 self._beside.usage or no_usage)  # fmt: skip
        if self.scoring is not None:
            self.rollouts.failing = self.scoring.lost
        self.rollouts.start()

    def retell(self, settings: FleetSettings) -> None:
        """Go by other figures from now on; what is due already stays so."""
        self._settings = settings
        self.swim.retell(rules_of(settings))
        if self.zones is not None and settings.zones is not None:
            self.zones.retell(settings.zones)

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
            if self.scoring is not None:
                self.scoring.close()
            if self.budgets is not None:
                self.budgets.close()
            self._port.close()
            door.close()

    def leave(self) -> None:
        """Say goodbye."""
        self.swim.leave(self._hub.now())
        self._follow()
        if self.budgets is not None:
            self.budgets.leave()

    def wait_left(self) -> None:
        """Wait until the goodbye has been said often enough, for `leave` at most."""
        until = self._hub.now() + self._settings.leave_us
        while self._hub.now() < until:
            if self.swim.left and (self.budgets is None or self.budgets.released):
                return
            self._hub.sleep(self._settings.gossip_us // 4)

    # -- datagrams and time

    def _come(self, data: bytes, source: Address) -> None:
        if self._closed:
            return
        if self.budgets is not None and data[:1] == BUDGETS:
            self.budgets.receive(data, source)
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
                case Changed(change):
                    self._changed(change)
                case Noted(note):
                    if self.changes is not None and (about := about_of(note.about)) is not None:
                        self.changes.heard(about)
                case Said(event, fields):
                    self._parts.note(event, **dict(fields))
        self._alarm.wake_at(self.swim.wake_at())

    def _changed(self, change: Change) -> None:
        before, after, view = change.before, change.after, self.swim.view
        if before is not None and before.state is after.state and not change.another_life:
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
            taken, refused = core.counts.taken - self._taken, core.counts.refused - self._refused
            self._taken, self._refused = core.counts.taken, core.counts.refused
            self._about = About(
                volumes=len(self._parts.settings.volumes), open=core.open_requests,
                taken=round(taken * 1e6 / settings.note_us), refused=100 * refused // taken if taken else 0,
            )  # fmt: skip
            self._tell_now()
            self._hub.sleep(settings.note_us)

    def _tell_now(self) -> None:
        about = self._about
        told = self.changes.about(about) if self.changes is not None else msgspec.msgpack.encode(about)
        self.swim.note(self._hub.now(), told)
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
            document, now = document_of(self.swim, self._hub.now()), self._hub.now()
            if self.budgets is not None:
                document = msgspec.structs.replace(document, budgets=self.budgets.told(now))
            if self.zones is not None:
                document = msgspec.structs.replace(document, zones=self.zones.document(now))
            if self.changes is not None:
                document = msgspec.structs.replace(document, record=self.changes.document())
            if self.closing is not None:
                document = msgspec.structs.replace(document, closing=self.closing.document())
            if self.scoring is not None:
                document = msgspec.structs.replace(document, scores=self.scoring.document(now))
            if self.rollouts is not None:
                document = msgspec.structs.replace(document, rollouts=self.rollouts.told())
            stream.write(msgspec.json.encode(document))
            stream.push(sent.set)
            stream.watch_end(sent.set)
            sent.wait(self._hub.now() + DOOR_US)
        except (OSError, DeadlineExceeded):
            pass  # this connection alone suffers
        finally:
            self._at_door -= 1
            stream.close()
