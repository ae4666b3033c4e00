"""Markets of a fleet's day: volumes whose data are purged at a close, their calendars and block clients.

Each market has a volume that several heads serve, and one volume ("desk") for each head alone. Calendars
purge the first half of each volume; the second half must survive. A client writes and reads blocks that no
other client uses, through all heads that serve its volume, one operation at a time, and records the outcomes.
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
MAX_CLIENTS = 16  # clients of one market's shared volume
# Clients of a two-region volume: its writes take as long as the link's delay, so closes overlap some of them.
TWO_REGION_CLIENTS = 10
PAUSE_US = (40_000, 160_000)
RESUME_WAIT_US = 15_000_000  # the longest wait for a proposal to pause or to be in force
MAX_REPEATED_CLOSES = 60  # of a calendar with repeated closes


def volumes(markets: int, heads: int, hosts: int, nodes: int, extent_bytes: int,
            desks: bool, two_regions: bool = False) -> list[VolumeSettings]:  # fmt: skip
    """Return the markets' volumes. The day's other volumes come before them, a multiple of the heads' number.

    On a day of two regions each pair of heads has one desk in each market, and there are no other volumes.
    """
    size = EXTENTS * extent_bytes
    created = []
    for market in range(markets):
        if two_regions:
            for pair in range(regions.pairs(heads)):
                desk = VolumeSettings(name=f"desk{market}-{pair}", size_bytes=size, plan="standard")
                created.append(regions.across_regions(desk, pair))
            continue
        shards = tuple((market + step) % nodes for step in range(min(nodes, 3)))
        names = (f"desk{market}-{head}" for head in range(heads if desks else 0))
        created += [VolumeSettings(name=name, size_bytes=size, plan="standard") for name in names]
        created.append(
            VolumeSettings(name=f"market{market}", size_bytes=size, plan="standard", hosts=min(hosts, heads),
                           shards=shards)
        )  # fmt: skip
    return created


@dataclass(frozen=True, slots=True)
class Market:
    """Writes the calendar of one market for a step of a day."""

    number: int
    name: str
    zone: str

    def body(self, instants: Iterable[int], extent_bytes: int) -> str:
        """Return a calendar's text with closes at instants (microseconds UTC, whole seconds)."""
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
        """Return the record of a close that is due at `at`, by the recorder's clock."""
        names = [f"market{self.number}", *(f"desk{self.number}-{head}" for head in range(heads))]
        return rec.CloseDue(t=t, calendar=f"calendar/{self.name}", at=at, bound_us=bound_us, volumes=names,
                            end=EXTENTS // 2 * extent_bytes)  # fmt: skip


class BlockClient:
    """A client of a few blocks of one volume, over connections to all heads that serve the volume."""

    def __init__(self, hub: Hub, recorder: rec.Recorder, connections: list[Connection], number: int,
                 extent_bytes: int, seed: int) -> None:  # fmt: skip
        self._hub, self._recorder, self._connections = hub, recorder, connections
        self._random = random.Random(seed)
        half, base = EXTENTS // 2, number % (extent_bytes // SECTOR // BLOCK_SECTORS) * BLOCK_SECTORS
        extents = (number % half, (number + 3) % half, (number + 5) % half, half + number % half)
        self._blocks = [extent * extent_bytes // SECTOR + base for extent in extents]
        self._name = f"{connections[0].volume}#{number}"
        self._value = number * 10_000_000
        self.closed = False

    def run(self) -> None:
        """Read and write random blocks, one operation at a time, until `closed` is set (a task)."""
        while not self.closed:
            self._hub.sleep(self._random.randrange(*PAUSE_US))
            up = [connection for connection in self._connections if connection.up]
            if up:
                is_write = self._random.random() < 0.4
                self._operate(self._random.choice(up), self._random.choice(self._blocks), is_write)

    def read_all(self) -> None:
        """Read every block once through each head that is connected."""
        for connection in self._connections:
            for block in self._blocks if connection.up else ():
                self._operate(connection, block, False)

    def _operate(self, connection: Connection, block: int, is_write: bool) -> None:
        hub, began, ended = self._hub, self._hub.now(), Event(self._hub)
        self._value += is_write
        outcomes: list[tuple[str, int]] = []

        def handle_reply(reply: Reply | None) -> None:
            if reply is None:
                outcomes.append(("lost", 0))
            elif not reply.error:
                outcomes.append(("served", int.from_bytes(reply.data[:8]) if reply.data else 0))
            else:
                refused = reply.error in (REFUSED, Errno.ESHUTDOWN)
                outcomes.append(("refused" if refused else "failed", 0))
            ended.set()

        body = payload(self._value, BLOCK_SECTORS) if is_write else b""
        connection.start("write" if is_write else "read", block, BLOCK_SECTORS, body, handle_reply)
        ended.wait()
        outcome, value_read = outcomes[0]
        self._recorder.add(
            rec.BlockOperation(t=began, ended=hub.now(), client=self._name, head=connection.head,
                     volume=connection.volume, offset=block * SECTOR, is_write=is_write,
                     outcome=outcome, value=self._value if is_write else value_read)  # type: ignore[arg-type]
        )  # fmt: skip


class Markets:
    """All markets of one rig: true time, heads' clocks, calendars, clients, and closes that heads log."""

    def __init__(self, rig: FleetRig, seed: int) -> None:
        self._rig = rig
        day, hub = rig.fleet_day, rig.hub
        machine_wall = hub.clock.wall()
        start = datetime.fromisoformat(day.wall).replace(tzinfo=UTC).timestamp() if day.wall else 0
        self._shift = int(start * SECOND) - machine_wall if start else 0  # true time minus the machine's
        self._true_offset = machine_wall + self._shift - hub.now()  # true time minus the hub's
        self._random = random.Random(seed)
        self._ahead: dict[str, int] = {}  # each head's wall clock minus true time
        self._clients: list[BlockClient] = []
        self._tasks: list[Task] = []
        self._repeated_closes: dict[int, list[int]] = {}  # by market: closes that are not yet expected

    # -- clocks

    def set_clock(self, slot: HeadSlot, step: StepSettings) -> None:
        """Set how far a head's wall clock is ahead of true time, with a random skew, as a step says."""
        skew = self._random.randint(-step.skew_us, step.skew_us)
        if step.ahead_us or step.skew_us or slot.name not in self._ahead:
            self._ahead[slot.name] = step.ahead_us + skew

    def ahead_us(self, slot: HeadSlot) -> int:
        """Return how far a head's wall clock is ahead of the machine's."""
        return self._shift + self._ahead[slot.name]

    def wall_of(self, slot: HeadSlot) -> Callable[[], int]:
        """Return a head's wall clock."""
        return lambda: self._rig.hub.clock.wall() + self.ahead_us(slot)

    # -- clients, calendars and closes

    def open(self) -> None:
        """Start the clients."""
        rig = self._rig
        for volume in rig.volumes[rig.day.volumes :]:
            slots = [one for one in rig.heads if volume in one.settings.volumes]
            clients = len(slots) if volume.regions is None else TWO_REGION_CLIENTS
            for number in range(min(clients, MAX_CLIENTS)):
                connections = []
                for slot in slots:
                    connection = Connection(rig.hub, rig.network, rig.recorder, volume.name, slot.name)
                    connection.address = rig.client_address(slot)
                    slot.connections.append(connection)
                    connections.append(connection)
                    rig.scope.spawn(
                        f"connection {volume.name} {number}", connection.stay_connected, rig.scope
                    )
                client = BlockClient(rig.hub, rig.recorder, connections, number, rig.day.extent_bytes,
                                     self._random.getrandbits(32))  # fmt: skip
                self._clients.append(client)
                self._tasks.append(rig.scope.spawn(f"client {volume.name} {number}", client.run))

    def close(self) -> None:
        """Stop the clients, then let each read all its blocks once."""
        for client in self._clients:
            client.closed = True
        self._await(self._tasks)  # a block has at most one operation at a time
        self._await([self._rig.scope.spawn("last look", client.read_all) for client in self._clients])

    def _await(self, tasks: list[Task]) -> None:
        while not all(task.done for task in tasks):
            self._rig.hub.sleep(PAUSE_US[0])

    def step(self, step: StepSettings, who: list[HeadSlot]) -> None:
        """Run a step that sets clocks, waits for a close or gives a market a calendar."""
        if step.name is Verb.CLOCK:
            for slot in who:
                self._ahead[slot.name] = step.ahead_us
            return
        rig = self._rig
        if step.name is Verb.NEAR_CLOSE:
            rig.hub.sleep_until(self._next_close() + step.ahead_us)
            return
        if step.number in self._repeated_closes:
            self._await_replaceable(step.number)
        true_now = rig.hub.now() + self._true_offset
        market = Market(step.number, f"market{step.number}", step.local)
        delays = [*step.after_us]
        if step.again_us:
            delays += [delays[-1] + turn * step.again_us for turn in range(1, MAX_REPEATED_CLOSES)]
        expected_delays = step.after_us if step.expect_us == EXPECT_ALL else step.expect_us
        instants, expected = (
            [-(-(true_now + delay) // SECOND) * SECOND for delay in group]
            for group in (delays, expected_delays)
        )
        thing, body = f"calendar/{market.name}", market.body(instants, rig.day.extent_bytes)
        rig.change(StepSettings(name=Verb.PROPOSE, thing=thing, body=body))
        self._resume(thing)
        self._repeated_closes.pop(step.number, None)
        for at in expected:
            self._expect(market, at)
        if step.again_us:
            self._repeated_closes[step.number] = repeated = instants[len(step.after_us) :]
            rig.scope.spawn(f"closes of {market.name}", self._expect_repeated, market, repeated)

    def _next_close(self) -> int:
        """Return when the next close is due; the present time, if there is none."""
        now, records = self._rig.hub.now(), self._rig.recorder.records
        return min(
            (record.at for record in records if isinstance(record, rec.CloseDue) and record.at > now),
            default=now,
        )

    def _expect(self, market: Market, at: int) -> None:
        rig = self._rig
        due = market.due(rig.hub.now(), at - self._true_offset, rig.fleet_day.close_bound_us, rig.day.heads,
                         rig.day.extent_bytes)  # fmt: skip
        rig.recorder.add(due)

    def _expect_repeated(self, market: Market, closes: list[int]) -> None:
        """Record each repeated close as due once it can't be withdrawn any more (a task)."""
        closing = self._rig.fleet_day.closing
        assert closing is not None
        while closes:
            self._rig.hub.sleep_until(closes[0] - closing.notice_us - self._true_offset)
            if self._repeated_closes.get(market.number) is not closes:
                return
            self._expect(market, closes.pop(0))

    def _await_replaceable(self, number: int) -> None:
        """Wait until no close of a market is fixed or about to be: a new calendar then replaces all."""
        closing, hub = self._rig.fleet_day.closing, self._rig.hub
        assert closing is not None
        while (closes := self._repeated_closes[number]) and (
            closes[0] - self._true_offset - hub.now() < proposal_lead_us(closing)
        ):
            hub.sleep(PAUSE_US[0])

    def _resume(self, thing: str) -> None:
        """Resume a calendar that pauses for an operator because it purges more than any one before."""
        hub, deadline = self._rig.hub, self._rig.hub.now() + RESUME_WAIT_US
        witness = WitnessClient(hub, self._rig.network, self._rig.witness_address, SECOND, "operator")
        while hub.now() < deadline:
            hub.sleep(100_000)
            try:
                version = stored_record.read(witness).record.in_progress(thing)
            except FAILURES:
                continue
            if version is None:
                return
            if version.standing is VersionState.PAUSED:
                self._rig.change(StepSettings(name=Verb.CHANGE, thing=thing, to="going"))
                return

    def handle_log_event(self, slot: HeadSlot, event: str, fields: dict[str, object]) -> None:
        """Record a close that a head's log reports as done."""
        if event == "close done":
            at = int(str(fields["at_us"])) - self._true_offset
            self._rig.recorder.add(
                rec.CloseDone(t=self._rig.hub.now(), head=slot.name, calendar=str(fields["calendar"]),
                             number=int(str(fields["number"])), at=at)
            )  # fmt: skip
