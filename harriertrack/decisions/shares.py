"""What cells share in a head, and what one may take of it: connections, open requests, bytes, processor.

Nodes, windows, limits and budgets are a cell's own (`decisions/cell_scheduler.py`); a head is not. Of what is
given back late (connections, open requests, the bytes of open writes) each cell has its even part, and all
together a common pool on top, which is empty unless the settings say `borrow`: a cell can never be kept from
its own part. The processor is given back at once, so it is divided only while it is short: then each cell's
requests are bounded by its even part of what the head was seen to get through, and what it asks beyond that
is turned away before the core hears of it. Turning away costs too: a cell whose refusals alone use its part
up is not read from for a while.

Pure: the time and the loop's busy time are handed in. Times in microseconds.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

from harriertrack.decisions.bucket import Bucket

REFUSAL_COST = 0.3  # what turning a request away costs, as a part of taking one
TIGHT, LOOSE = 0.8, 0.6  # parts of the time that the loop is busy: where dividing begins, and where it ends
TARGET_LOAD = 0.75  # how busy cells together may make the loop while it is divided
SEEN = 0.2  # below this the loop's cost of a request is not told from its own
GAIN = 0.3  # of a new reading of what the head gets through in a second
BURST_US = 100_000  # a cell may use so much of its part at once
READ_PAUSE_US = 100_000  # how long a cell is not read from


@dataclass(frozen=True, slots=True)
class ShareLimits:
    """What a head has to divide, and the part of it that goes into the common pool."""

    connections: int
    held: int  # open requests
    held_bytes: int  # of open writes
    borrow: float = 0.0


@dataclass(slots=True)
class ShareUsage:
    """What a cell, or a volume of one, has of a head at a time."""

    connections: int = 0
    held: int = 0
    held_bytes: int = 0

    def add(self, other: ShareUsage) -> None:
        """Count another one's too."""
        self.connections += other.connections
        self.held += other.held
        self.held_bytes += other.held_bytes


@dataclass(slots=True)
class _Cell:
    """A cell, as one head sees it."""

    used: ShareUsage = field(default_factory=ShareUsage)
    spent: float = 0.0  # requests since the last tick, those turned away at their part
    allowed: Bucket = field(default_factory=lambda: Bucket(0))


class Shares:
    """The shares of one head; where there are no cells, all volumes are of one."""

    def __init__(self, limits: ShareLimits, cells: Mapping[str, str]) -> None:
        """Begin with nothing in use; `cells` is each volume's cell."""
        self.limits = limits
        self.overloaded = False
        self.rate = 0.0  # requests that the loop would get through in a second of nothing else; 0: unseen
        self.refused: dict[str, int] = {}  # by cell, for those who look at it
        self._of: dict[str, str] = {}
        self._by_volume: dict[str, ShareUsage] = {}
        self._cells: dict[str, _Cell] = {}
        self._ticked_at: int | None = None
        self.update_cells(cells)

    def update_cells(self, cells: Mapping[str, str]) -> None:
        """Take a newer map: what a volume has in use counts for its new cell from now on."""
        self._of = dict(cells)
        self._neighbours = Counter(self._of.values())  # volumes of each cell
        known, self._cells = self._cells, {}
        for name in sorted(set(self._of.values())):
            cell = self._cells[name] = known.get(name, _Cell())
            cell.used = ShareUsage()
        for volume, used in self._by_volume.items():
            if volume in self._of:
                self._cells[self._of[volume]].used.add(used)

    def _count(self, volume: str, **more: int) -> None:
        change = ShareUsage(**more)
        self._by_volume.setdefault(volume, ShareUsage()).add(change)
        if volume in self._of:
            self._cells[self._of[volume]].used.add(change)

    def _fits(self, what: str, whole: int, volume: str, more: int) -> bool:
        """Whether a volume's cell may have so much more: within its part, or in the pool beyond that."""
        if volume not in self._of:
            return True
        pool = int(self.limits.borrow * whole)
        part = (whole - pool) // len(self._cells)
        mine = getattr(self._cells[self._of[volume]].used, what)
        if mine + more <= part or not mine:  # one request always fits, however large
            return True
        beyond = sum(max(0, getattr(cell.used, what) - part) for cell in self._cells.values())
        return beyond + mine + more - max(mine, part) <= pool

    # -- connections

    def try_connect(self, volume: str) -> bool:
        """Count a connection to a volume; return False if its cell has no room for it."""
        if not self._fits("connections", self.limits.connections, volume, 1):
            return False
        self._count(volume, connections=1)
        return True

    def disconnect(self, volume: str) -> None:
        """A counted connection ended."""
        self._count(volume, connections=-1)

    # -- requests

    def refusal_reason(self, volume: str, size: int, now: int) -> str:
        """Return why there is no room for a request that brings `size` bytes; "" if there is."""
        if not self._fits("held", self.limits.held, volume, 1):
            return "its cell has too much open here"
        if not self._fits("held_bytes", self.limits.held_bytes, volume, size):
            return "its cell has too many bytes open here"
        if (left := self._rationed(volume)) is not None and left.wait_us(now, 1.0) > 0:
            return "the head is busy with its cell"
        return ""

    def leaves_equal_room(self, volume: str, size: int) -> bool:
        """Whether a volume leaves as much room as it has itself, so that another one finds some at once.

        One flooding volume gets half, two get a third each (dynamic thresholds, Choudhury and Hahne 1998).
        For who can wait for room; who can't may use all that there is.
        """
        limits = self.limits
        return self._spares("held", limits.held, volume, 1) and (
            self._spares("held_bytes", limits.held_bytes, volume, size)
        )

    def _spares(self, what: str, whole: int, volume: str, more: int) -> bool:
        cell = self._of.get(volume)
        if cell is None or self._neighbours[cell] < 2:
            return True
        mine = getattr(self._by_volume.get(volume) or ShareUsage(), what)
        part = (whole - int(self.limits.borrow * whole)) // len(self._cells)
        room = part - getattr(self._cells[cell].used, what)
        return not mine or mine + more <= max(room, 0)

    def admit(self, volume: str, size: int, now: int) -> str:
        """Count a request that brings `size` bytes; return "", or why there is no room for it."""
        why = self.refusal_reason(volume, size, now)
        self._spend(volume, now, REFUSAL_COST if why else 1.0)
        if why:
            cell = self._of[volume]
            self.refused[cell] = self.refused.get(cell, 0) + 1
        else:
            self._count(volume, held=1, held_bytes=size)
        return why

    def release(self, volume: str, size: int) -> None:
        """A counted request has its answer, or nobody waits for it any more."""
        self._count(volume, held=-1, held_bytes=-size)

    # -- processor

    def _rationed(self, volume: str) -> Bucket | None:
        """Return what is left of a volume's cell's part of the processor, while that is divided."""
        if not self.overloaded or len(self._cells) < 2 or volume not in self._of:
            return None
        return self._cells[self._of[volume]].allowed

    def _spend(self, volume: str, now: int, cost: float) -> None:
        if volume in self._of:
            self._cells[self._of[volume]].spent += cost
        if (left := self._rationed(volume)) is not None:
            left.refill(now)
            left.level -= cost

    def read_pause_us(self, volume: str, now: int) -> int:
        """Return how long a volume's connections are not to be read from; 0: not at all."""
        left = self._rationed(volume)
        return READ_PAUSE_US if left is not None and left.refill(now) < -left.capacity else 0

    def update_load(self, now: int, busy: float) -> None:
        """Hear which part of the time since the last tick the loop was busy."""
        since, self._ticked_at = self._ticked_at, now
        done = sum(cell.spent for cell in self._cells.values())
        for cell in self._cells.values():
            cell.spent = 0.0
        if since is None or now <= since:
            return
        if busy >= SEEN and done:
            seen = done * 1e6 / (now - since) / busy
            self.rate += (GAIN if self.rate else 1.0) * (seen - self.rate)
        was, self.overloaded = self.overloaded, busy >= TIGHT or (self.overloaded and busy >= LOOSE)
        if not self.overloaded or not self._cells:
            return
        each = TARGET_LOAD * self.rate / len(self._cells)
        for cell in self._cells.values():
            cell.allowed.refill(now)
            cell.allowed.rate, cell.allowed.capacity = each, each * BURST_US / 1e6
            if not was:
                cell.allowed.level = cell.allowed.capacity
