"""Markets of a fleet's day: volumes whose data live until a close, clients of single blocks, calendars.

Each market has a volume that several heads serve, and one of each head's own; calendars purge the first half
of both, and the second half must stay. A client writes and reads blocks that nobody else uses, through all
heads that serve their volume, one operation after another, and records what it saw.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import UTC, datetime
from typing import TYPE_CHECKING
from zoneinfo import ZoneInfo

from harriertrack.config.closing import RepeatedTime
from harriertrack.config.settings import VolumeSettings
from harriertrack.decisions.fleet.changes.version_state import VersionState
from harriertrack.gateway.fleet.changes import stored_record
from harriertrack.gateway.front import REFUSED
from harriertrack.gateway.witness import FAILURES, WitnessClient
from harriertrack.lab.fleet import regions
from harriertrack.lab.fleet.scenario import EXPECT_ALL, SECOND, StepSettings, Verb, proposal_lead_us
from harriertrack.lab.load import Connection
from harriertrack.lab.model import SECTOR, payload
from harriertrack.protocol.nbd.client import Reply
from harriertrack.protocol.nbd.wire import Errno
from harriertrack.rules import recording as rec
from harriertrack.runtime.hub import Event, Hub, Task

if TYPE_CHECKING:
    from harriertrack.lab.fleet.rig import FleetRig
    from harriertrack.lab.rig import HeadSlot

EXTENTS = 16  # of a market's volume; the first half is purged
BLOCK_SECTORS = 8
MOST_SEATS = 16  # clients of one market's shared volume
SEATS_OF_TWO = 10  # of a volume of two regions: its writes take as long as the link, and closes meet some
PAUSE_US = (40_000, 160_000)
WORD_US = 15_000_000  # the longest that a proposal is waited for to be taken up
MOST_CLOSES = 60  # of a calendar whose closes come again and again


def volumes(markets: int, heads: int, hosts: int, nodes: int, extent_bytes: int,
            desks: bool, two_regions: bool = False) -> list[VolumeSettings]:  # fmt: skip
    """Return the markets' volumes. `before` them are as many others as a multiple of the heads.

    Where heads are in pairs of two regions, each pair has one of each market, and there are no others.
    """
    size = EXTENTS * extent_bytes
    found = []
    for market in range(markets):
        if two_regions:
            for pair in range(regions.pairs(heads)):
                desk = VolumeSettings(name=f"desk{market}-{pair}", size_bytes=size, plan="standard")
                found.append(regions.across_regions(desk, pair))
            continue
        spread = tuple((market + step) % nodes for step in range(min(nodes, 3)))
        names = (f"desk{market}-{head}" for head in range(heads if desks else 0))
        found += [VolumeSettings(name=name, size_bytes=size, plan="standard") for name in names]
        found.append(
            VolumeSettings(name=f"market{market}", size_bytes=size, plan="standard", hosts=min(hosts, heads),
                           shards=spread)
        )  # fmt: skip
    return found


@dataclass(frozen=True, slots=True)
class Market:
    """One market's calendar as a step of a day writes it."""

    number: int
    name: str
    zone: str

    def body(self, instants: Iterable[int], extent_bytes: int) -> str:
        """Return a calendar with closes at instants (microseconds UTC, whole seconds)."""
        zone, days, twice = ZoneInfo(self.zone), dict[str, list[str]](), RepeatedTime.FIRST
        for instant in sorted(instants):
            local = datetime.fromtimestamp(instant // SECOND, UTC).astimezone(zone)
            twice = RepeatedTime.SECOND if local.fold else twice
            days.setdefault(local.date().isoformat(), []).append(f"{local:%H:%M:%S}")
        early = " ".join(
            f'(early (on "{day}") (at {" ".join(f"{chr(34)}{at}{chr(34)}" for at in times)}))'
            for day, times in days.items()
        )  # fmt: skip
        purges = " ".join(
            f'(purge (volume "{volume}") (end {EXTENTS // 2 * extent_bytes // 1024}KiB))'
            for volume in (f"market{self.number}", f"desk{self.number}-*")
        )  # fmt: skip
        return f'(calendar "{self.name}" (zone "{self.zone}") (twice {twice.value})\n  {early}\n  {purges})\n'

    def due(self, t: int, at: int, bound_us: int, heads: int, extent_bytes: int) -> rec.CloseDue:
        """Return the record of a close, by the recorder's clock."""
        names = [f"market{self.number}", *(f"desk{self.number}-{head}" for head in range(heads))]
        return rec.CloseDue(t=t, calendar=f"calendar/{self.name}", at=at, bound_us=bound_us, volumes=names,
                            end=EXTENTS // 2 * extent_bytes)  # fmt: skip


class BlockClient:
    """A client of a few blocks of one volume, through connections to all heads that serve it."""

    def __init__(self, hub: Hub, recorder: rec.Recorder, connections: list[Connection], seat: int,
                 extent_bytes: int, seed: int) -> None:  # fmt: skip
        self._hub, self._recorder, self._connections = hub, recorder, connections
        self._random = random.Random(seed)
        half, base = EXTENTS // 2, seat % (extent_bytes // SECTOR // BLOCK_SECTORS) * BLOCK_SECTORS
        extents = (seat % half, (seat + 3) % half, (seat + 5) % half, half + seat % half)
        self._blocks = [extent * extent_bytes // SECTOR + base for extent in extents]
        self._name = f"{connections[0].volume}#{seat}"
        self._value = seat * 10_000_000
        self.closed = False

    def run(self) -> None:
        """Do one operation after another (the client's task)."""
        while not self.closed:
            self._hub.sleep(self._random.randrange(*PAUSE_US))
            up = [one for one in self._connections if one.up]
            if up:
                write = self._random.random() < 0.4
                self._operate(self._random.choice(up), self._random.choice(self._blocks), write)

    def last_look(self) -> None:
        """Read every block once more, through each head."""
        for connection in self._connections:
            for block in self._blocks if connection.up else ():
                self._operate(connection, block, False)

    def _operate(self, connection: Connection, block: int, is_write: bool) -> None:
        hub, began, ended = self._hub, self._hub.now(), Event(self._hub)
        self._value += is_write
        told: list[tuple[str, int]] = []

        def then(reply: Reply | None) -> None:
            if reply is None:
                told.append(("lost", 0))
            elif not reply.error:
                told.append(("served", int.from_bytes(reply.data[:8]) if reply.data else 0))
            else:
                refused = reply.error in (REFUSED, Errno.ESHUTDOWN)
                told.append(("refused" if refused else "failed", 0))
            ended.set()

        body = payload(self._value, BLOCK_SECTORS) if is_write else b""
        connection.start("write" if is_write else "read", block, BLOCK_SECTORS, body, then)
        ended.wait()
        outcome, read = told[0]
        self._recorder.add(
            rec.BlockOperation(t=began, ended=hub.now(), client=self._name, head=connection.head,
                     volume=connection.volume, offset=block * SECTOR, is_write=is_write,
                     outcome=outcome, value=self._value if is_write else read)  # type: ignore[arg-type]
        )  # fmt: skip


class Markets:
    """All markets of one rig: true time, heads' clocks, calendars, clients, and what heads tell."""

    def __init__(self, rig: FleetRig, seed: int) -> None:
        self._rig = rig
        day, hub = rig.fleet_day, rig.hub
        machine = hub.clock.wall()
        begins = datetime.fromisoformat(day.wall).replace(tzinfo=UTC).timestamp() if day.wall else 0
        self._shift = int(begins * SECOND) - machine if begins else 0  # of true time past the machine's
        self._true_ahead = machine + self._shift - hub.now()
        self._drawn = random.Random(seed)
        self._ahead: dict[str, int] = {}  # of true time, each head's wall clock
        self._clients: list[BlockClient] = []
        self._tasks: list[Task] = []
        self._again: dict[int, list[int]] = {}  # closes of markets that go on, that nobody waits for yet

    # -- clocks

    def set_clock(self, slot: HeadSlot, step: StepSettings) -> None:
        """Let a head's wall clock be off by what a step says."""
        drawn = self._drawn.randint(-step.skew_us, step.skew_us)
        if step.ahead_us or step.skew_us or slot.name not in self._ahead:
            self._ahead[slot.name] = step.ahead_us + drawn

    def ahead_us(self, slot: HeadSlot) -> int:
        """Return how far a head's wall clock is past the machine's."""
        return self._shift + self._ahead[slot.name]

    def wall_of(self, slot: HeadSlot) -> Callable[[], int]:
        """Return a head's wall clock."""
        return lambda: self._rig.hub.clock.wall() + self.ahead_us(slot)

    # -- what happens

    def open(self) -> None:
        """Start the clients."""
        rig = self._rig
        for volume in rig.volumes[rig.day.volumes :]:
            slots = [one for one in rig.heads if volume in one.settings.volumes]
            seats = len(slots) if volume.regions is None else SEATS_OF_TWO
            for seat in range(min(seats, MOST_SEATS)):
                connections = []
                for slot in slots:
                    connection = Connection(rig.hub, rig.network, rig.recorder, volume.name, slot.name)
                    connection.address = rig.client_address(slot)
                    slot.connections.append(connection)
                    connections.append(connection)
                    rig.scope.spawn(f"connection {volume.name} {seat}", connection.stay_connected, rig.scope)
                client = BlockClient(rig.hub, rig.recorder, connections, seat, rig.day.extent_bytes,
                                     self._drawn.getrandbits(32))  # fmt: skip
                self._clients.append(client)
                self._tasks.append(rig.scope.spawn(f"client {volume.name} {seat}", client.run))

    def close(self) -> None:
        """Let the clients look once more, and end."""
        for client in self._clients:
            client.closed = True
        self._await(self._tasks)  # one operation a block at a time
        self._await([self._rig.scope.spawn("last look", client.last_look) for client in self._clients])

    def _await(self, tasks: list[Task]) -> None:
        while not all(task.done for task in tasks):
            self._rig.hub.sleep(PAUSE_US[0])

    def step(self, step: StepSettings, who: list[HeadSlot]) -> None:
        """Do a step that is about markets or clocks."""
        if step.name is Verb.CLOCK:
            for slot in who:
                self._ahead[slot.name] = step.ahead_us
            return
        rig = self._rig
        if step.name is Verb.NEAR_CLOSE:
            rig.hub.sleep_until(self._next_close() + step.ahead_us)
            return
        if step.number in self._again:
            self._await_lull(step.number)
        true = rig.hub.now() + self._true_ahead
        market = Market(step.number, f"market{step.number}", step.local)
        afters = [*step.after_us]
        if step.again_us:
            afters += [afters[-1] + turn * step.again_us for turn in range(1, MOST_CLOSES)]
        expect = step.after_us if step.expect_us == EXPECT_ALL else step.expect_us
        instants, expected = (
            [-(-(true + after) // SECOND) * SECOND for after in one] for one in (afters, expect)
        )
        thing, body = f"calendar/{market.name}", market.body(instants, rig.day.extent_bytes)
        rig.change(StepSettings(name=Verb.PROPOSE, thing=thing, body=body))
        self._resume(thing)
        self._again.pop(step.number, None)
        for at in expected:
            self._expect(market, at)
        if step.again_us:
            self._again[step.number] = rest = instants[len(step.after_us) :]
            rig.scope.spawn(f"closes of {market.name}", self._go_on, market, rest)

    def _next_close(self) -> int:
        """Return when the next close is due; now, if none is."""
        now, records = self._rig.hub.now(), self._rig.recorder.records
        return min((one.at for one in records if isinstance(one, rec.CloseDue) and one.at > now), default=now)

    def _expect(self, market: Market, at: int) -> None:
        rig = self._rig
        due = market.due(rig.hub.now(), at - self._true_ahead, rig.fleet_day.close_bound_us, rig.day.heads,
                         rig.day.extent_bytes)  # fmt: skip
        rig.recorder.add(due)

    def _go_on(self, market: Market, rest: list[int]) -> None:
        """Expect one close after another, once it can't be taken back any more (a task)."""
        closing = self._rig.fleet_day.closing
        assert closing is not None
        while rest:
            self._rig.hub.sleep_until(rest[0] - closing.notice_us - self._true_ahead)
            if self._again.get(market.number) is not rest:
                return
            self._expect(market, rest.pop(0))

    def _await_lull(self, number: int) -> None:
        """Wait until no close of a market stands or is about to: a proposal now replaces all to come."""
        closing, hub = self._rig.fleet_day.closing, self._rig.hub
        assert closing is not None
        while (rest := self._again[number]) and rest[0] - self._true_ahead - hub.now() < proposal_lead_us(
            closing
        ):
            hub.sleep(PAUSE_US[0])

    def _resume(self, thing: str) -> None:
        """Give the word that a calendar waits for which purges more than any before, as soon as it does."""
        hub, until = self._rig.hub, self._rig.hub.now() + WORD_US
        witness = WitnessClient(hub, self._rig.network, self._rig.witness_address, SECOND, "operator")
        while hub.now() < until:
            hub.sleep(100_000)
            try:
                going = stored_record.read(witness).record.in_progress(thing)
            except FAILURES:
                continue
            if going is None:
                return
            if going.standing is VersionState.PAUSED:
                self._rig.change(StepSettings(name=Verb.CHANGE, thing=thing, to="going"))
                return

    def handle_log_event(self, slot: HeadSlot, event: str, fields: dict[str, object]) -> None:
        """Take a line of a head's log."""
        if event == "close done":
            at = int(str(fields["at_us"])) - self._true_ahead
            self._rig.recorder.add(
                rec.CloseDone(t=self._rig.hub.now(), head=slot.name, calendar=str(fields["calendar"]),
                             number=int(str(fields["number"])), at=at)
            )  # fmt: skip
