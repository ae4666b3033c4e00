"""Markets of a fleet's day: volumes whose data live until a close, clients of single blocks, calendars.

Each market has a volume that several heads serve, and one of each head's own; calendars purge the first half
of both, and the second half must stay. A client writes and reads blocks that nobody else uses, through all
heads that serve their volume, one operation after another, and records what it saw.
"""

from __future__ import annotations

import random
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import UTC, datetime
from zoneinfo import ZoneInfo

from harriertrack.config.closing import Twice
from harriertrack.config.settings import VolumeSettings
from harriertrack.gateway.front import REFUSED
from harriertrack.lab.load import Connection
from harriertrack.lab.model import SECTOR, payload
from harriertrack.protocol.nbd.client import Reply
from harriertrack.protocol.nbd.wire import Errno
from harriertrack.rules import recording as rec
from harriertrack.runtime.hub import Event, Hub

SECOND = 1_000_000
EXTENTS = 16  # of a market's volume; the first half is purged
BLOCK_SECTORS = 8
MOST_SEATS = 16  # clients of one market's shared volume
PAUSE_US = (40_000, 160_000)


def volumes(markets: int, heads: int, hosts: int, nodes: int, extent_bytes: int) -> list[VolumeSettings]:
    """Return the markets' volumes. `before` them are as many others as a multiple of the heads."""
    size = EXTENTS * extent_bytes
    found = []
    for market in range(markets):
        spread = tuple((market + step) % nodes for step in range(min(nodes, 3)))
        desks = (f"desk{market}-{head}" for head in range(heads))
        found += [VolumeSettings(name=name, size_bytes=size, plan="standard") for name in desks]
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
    twice: Twice

    def body(self, instants: Iterable[int], extent_bytes: int) -> str:
        """Return a calendar with closes at instants (microseconds UTC, whole seconds)."""
        zone, days = ZoneInfo(self.zone), dict[str, list[str]]()
        for instant in sorted(instants):
            local = datetime.fromtimestamp(instant // SECOND, UTC).astimezone(zone)
            days.setdefault(local.date().isoformat(), []).append(f"{local:%H:%M:%S}")
        early = " ".join(
            f'(early (on "{day}") (at {" ".join(f"{chr(34)}{at}{chr(34)}" for at in times)}))'
            for day, times in days.items()
        )  # fmt: skip
        purges = " ".join(
            f'(purge (volume "{volume}") (end {EXTENTS // 2 * extent_bytes // 1024}KiB))'
            for volume in (f"market{self.number}", f"desk{self.number}-*")
        )  # fmt: skip
        return (
            f'(calendar "{self.name}" (zone "{self.zone}") (twice {self.twice.value})\n'
            f"  {early}\n  {purges})\n"
        )

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
            rec.Kept(t=began, ended=hub.now(), client=self._name, head=connection.head,
                     volume=connection.volume, offset=block * SECTOR, is_write=is_write,
                     outcome=outcome, value=self._value if is_write else read)  # type: ignore[arg-type]
        )  # fmt: skip
