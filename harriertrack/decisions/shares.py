"""Resources of a head that its cells share, and each cell's limits: connections, requests, bytes, processor.

Nodes, windows, limits and budgets belong to one cell (`decisions/cell_scheduler.py`); a head does not. Of the
resources that are returned late (connections, open requests, the bytes of open writes) each cell has an equal
share, and all cells have a common pool on top, which is empty unless the settings say `borrow`: a cell can
always use its own share. Processor time is returned at once, so it is divided only while it is short: then
each cell's requests are limited to its equal share of the measured throughput of the head, and requests
beyond that are refused before they reach the core. Refusals cost time too: a cell whose refusals alone use up
its share is not read from for a while.

Pure: the time and the loop's load are passed in. Times in microseconds.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field

from harriertrack.decisions.bucket import Bucket

REFUSAL_COST = 0.3  # cost of refusing a request, as a fraction of accepting one
OVERLOAD_BEGINS, OVERLOAD_ENDS = 0.8, 0.6  # loads of the loop at which dividing the processor begins and ends
TARGET_LOAD = 0.75  # load of the loop that all cells together may cause while the processor is divided
MIN_LOAD = 0.2  # below this the cost of requests can't be told from the loop's own
RATE_GAIN = 0.3  # weight of a new measurement of the throughput
BURST_US = 100_000  # a cell may use this much of its share at once
READ_PAUSE_US = 100_000  # how long a cell is not read from


@dataclass(frozen=True, slots=True)
class ShareLimits:
    """The amounts that a head divides, and the fraction of them that goes into the common pool."""

    connections: int
    held: int  # open requests
    held_bytes: int  # of open writes
    borrow: float = 0.0


@dataclass(slots=True)
class ShareUsage:
    """What a cell, or one of its volumes, uses of a head."""

    connections: int = 0
    held: int = 0
    held_bytes: int = 0

    def add(self, other: ShareUsage) -> None:
        """Add another usage to this one."""
        self.connections += other.connections
        self.held += other.held
        self.held_bytes += other.held_bytes


@dataclass(slots=True)
class _Cell:
    """The state of a cell in one head."""

    used: ShareUsage = field(default_factory=ShareUsage)
    spent: float = 0.0  # requests since the last tick, with refused ones at their cost
    allowed: Bucket = field(default_factory=lambda: Bucket(0))


class Shares:
    """The shares of one head; without cells, all volumes belong to one."""

    def __init__(self, limits: ShareLimits, cells: Mapping[str, str]) -> None:
        """Begin with nothing in use; `cells` is each volume's cell."""
        self.limits = limits
        self.overloaded = False
        self.rate = 0.0  # requests a second that the loop could handle at full load; 0: not measured yet
        self.refused: dict[str, int] = {}  # refusals by cell, for inspection
        self._cell_of: dict[str, str] = {}
        self._by_volume: dict[str, ShareUsage] = {}
        self._cells: dict[str, _Cell] = {}
        self._ticked_at: int | None = None
        self.update_cells(cells)

    def update_cells(self, cells: Mapping[str, str]) -> None:
        """Apply a newer map: what a volume uses counts for its new cell from now on."""
        self._cell_of = dict(cells)
        self._volume_counts = Counter(self._cell_of.values())  # volumes of each cell
        known, self._cells = self._cells, {}
        for name in sorted(set(self._cell_of.values())):
            cell = self._cells[name] = known.get(name, _Cell())
            cell.used = ShareUsage()
        for volume, used in self._by_volume.items():
            if volume in self._cell_of:
                self._cells[self._cell_of[volume]].used.add(used)

    def _count(self, volume: str, **more: int) -> None:
        change = ShareUsage(**more)
        self._by_volume.setdefault(volume, ShareUsage()).add(change)
        if volume in self._cell_of:
            self._cells[self._cell_of[volume]].used.add(change)

    def _fits(self, resource: str, total: int, volume: str, more: int) -> bool:
        """Whether a volume's cell may use `more`: within its own share, or beyond that from the pool."""
        if volume not in self._cell_of:
            return True
        pool = int(self.limits.borrow * total)
        share = (total - pool) // len(self._cells)
        used = getattr(self._cells[self._cell_of[volume]].used, resource)
        if used + more <= share or not used:  # one request always fits, however large
            return True
        beyond = sum(max(0, getattr(cell.used, resource) - share) for cell in self._cells.values())
        return beyond + used + more - max(used, share) <= pool

    # -- connections

    def try_connect(self, volume: str) -> bool:
        """Count a connection to a volume; return False if its cell has no capacity for it."""
        if not self._fits("connections", self.limits.connections, volume, 1):
            return False
        self._count(volume, connections=1)
        return True

    def disconnect(self, volume: str) -> None:
        """Uncount a connection that has ended."""
        self._count(volume, connections=-1)

    # -- requests

    def refusal_reason(self, volume: str, size: int, now: int) -> str:
        """Return why a request with `size` bytes can't be accepted; "" if it can."""
        if not self._fits("held", self.limits.held, volume, 1):
            return "its cell has too much open here"
        if not self._fits("held_bytes", self.limits.held_bytes, volume, size):
            return "its cell has too many bytes open here"
        if (left := self._rationed(volume)) is not None and left.wait_us(now, 1.0) > 0:
            return "the head is busy with its cell"
        return ""

    def leaves_equal_room(self, volume: str, size: int) -> bool:
        """Whether a volume leaves as much free capacity as it uses, so that another one can start at once.

        One flooding volume gets half, two get a third each (dynamic thresholds, Choudhury and Hahne 1998).
        For requests that can wait for capacity; others may use all that there is.
        """
        limits = self.limits
        return self._leaves_equal("held", limits.held, volume, 1) and (
            self._leaves_equal("held_bytes", limits.held_bytes, volume, size)
        )

    def _leaves_equal(self, resource: str, total: int, volume: str, more: int) -> bool:
        cell = self._cell_of.get(volume)
        if cell is None or self._volume_counts[cell] < 2:
            return True
        used = getattr(self._by_volume.get(volume) or ShareUsage(), resource)
        share = (total - int(self.limits.borrow * total)) // len(self._cells)
        free = share - getattr(self._cells[cell].used, resource)
        return not used or used + more <= max(free, 0)

    def admit(self, volume: str, size: int, now: int) -> str:
        """Count a request with `size` bytes; return "", or the reason why it is refused."""
        reason = self.refusal_reason(volume, size, now)
        self._spend(volume, now, REFUSAL_COST if reason else 1.0)
        if reason:
            cell = self._cell_of[volume]
            self.refused[cell] = self.refused.get(cell, 0) + 1
        else:
            self._count(volume, held=1, held_bytes=size)
        return reason

    def release(self, volume: str, size: int) -> None:
        """Uncount a request that has its answer, or whose client no longer waits for one."""
        self._count(volume, held=-1, held_bytes=-size)

    # -- processor

    def _rationed(self, volume: str) -> Bucket | None:
        """Return what is left of the processor share of a volume's cell, while the processor is divided."""
        if not self.overloaded or len(self._cells) < 2 or volume not in self._cell_of:
            return None
        return self._cells[self._cell_of[volume]].allowed

    def _spend(self, volume: str, now: int, cost: float) -> None:
        if volume in self._cell_of:
            self._cells[self._cell_of[volume]].spent += cost
        if (left := self._rationed(volume)) is not None:
            left.refill(now)
            left.level -= cost

    def read_pause_us(self, volume: str, now: int) -> int:
        """Return how long a volume's connections are not to be read from; 0 if they may be read."""
        left = self._rationed(volume)
        return READ_PAUSE_US if left is not None and left.refill(now) < -left.capacity else 0

    def update_load(self, now: int, busy: float) -> None:
        """Update the shares with the fraction of the time since the last tick that the loop was busy."""
        since, self._ticked_at = self._ticked_at, now
        done = sum(cell.spent for cell in self._cells.values())
        for cell in self._cells.values():
            cell.spent = 0.0
        if since is None or now <= since:
            return
        if busy >= MIN_LOAD and done:
            measured = done * 1e6 / (now - since) / busy
            self.rate += (RATE_GAIN if self.rate else 1.0) * (measured - self.rate)
        before = self.overloaded
        self.overloaded = busy >= OVERLOAD_BEGINS or (self.overloaded and busy >= OVERLOAD_ENDS)
        if not self.overloaded or not self._cells:
            return
        rate = TARGET_LOAD * self.rate / len(self._cells)
        for cell in self._cells.values():
            cell.allowed.refill(now)
            cell.allowed.rate, cell.allowed.capacity = rate, rate * BURST_US / 1e6
            if not before:
                cell.allowed.level = cell.allowed.capacity
