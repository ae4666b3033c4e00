"""Moving volumes into their cells, extent by extent, while they work: what to move next, and when to stop.

The map says where a volume belongs, the extent map where each extent lies; what differs is to be moved. Both
are on disk, so a move needs no record of its own: a head that was killed at any step finds the same
difference, and taking a move back is a newer map. One extent moves so: hold it (later requests wait, earlier
ones end), read it where it lies, write it in the new cell as one that is placed anew, and its new place is on
disk before anyone goes on. Whatever fails on the way leaves it where it was, and frees it.

What an extent leaves behind is trimmed when its volume's move is done. A trim that may still be on its way
must not find the extent back there: the volume's next move waits for it.

A write whose outcome is unknown may still run at the node it was sent to. Its extent is not tried again
before `SETTLE_US`, when nothing of it can be on its way any more: a late one would overwrite what clients
wrote since.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import InitVar, dataclass, field
from enum import StrEnum

from harriertrack.decisions.splitting import Outcome

PACE_US = 5_000  # between two extents of a volume: clients' requests come first
RETRY_US, RETRY_MAX_US = 50_000, 2_000_000  # after a refusal, doubled each time
SETTLE_US = 3_000_000  # after an unknown outcome: longer than an attempt is on its way, or a rack remembers
MAX_FAILURES = 12  # in a row, without one extent moved: then somebody must look


MAX_TRIM_TRIES = 4  # times that a trim is tried before the next start or map tries again


class MoveState(StrEnum):
    """Where a volume's move is."""

    MOVING = "moving"
    SETTLING = "settling"  # nothing is known to be left, but writes from before the map may still land
    DONE = "done"
    STOPPED = "stopped"  # it can't go on by itself; a newer map begins anew


def misplaced_extents(home: str, placed: Iterable[tuple[int, int]], shards: Mapping[int, str]) -> list[int]:
    """Return the extents of a volume, given as (extent, shard), that lie outside its cell."""
    return sorted(extent for extent, shard in placed if shards.get(shard) != home)


@dataclass(slots=True)
class Move:
    """One volume's move."""

    volume: str
    remaining: list[int]  # extents to be moved, the next first
    settle_us: int  # the longest that a write taken under an earlier map may still place an extent
    now: InitVar[int] = 0
    state: MoveState = MoveState.MOVING
    stop_reason: str = ""  # it stopped
    moved: int = 0
    current_extent: int = -1  # the extent that is being moved
    previous: Move | None = None  # the volume's move by the map before, until nothing of it is under way
    trimming: bool = False  # a trim of what was left behind is under way
    trims_settled_at: int = 0  # when none of them can land any more
    _next_at: int = 0
    _check_at: int = 0
    _failures: int = 0
    _settles: dict[int, int] = field(default_factory=dict)  # extents with an unknown write: when again

    def __post_init__(self, now: int) -> None:
        self._check_at = now + self.settle_us
        self._look(now)

    def _look(self, now: int) -> None:
        """Nothing is left: look again once every write from before the map is over."""
        if not self.remaining:
            self.state = MoveState.SETTLING
            self._next_at = max(now, self._check_at)

    def finish_check(self, found: Iterable[int]) -> None:
        """Take what still lies outside when `SETTLING` is over: more to move, or the end."""
        self.remaining = sorted(found)
        self.state = MoveState.MOVING if self.remaining else MoveState.DONE

    def next_extent(self, now: int) -> int | None:
        """Return the extent to begin with now; None if it is not time, or one is under way."""
        if self.state is not MoveState.MOVING or self.current_extent >= 0 or now < self._next_at:
            return None
        extent = next((one for one in self.remaining if self._settles.get(one, 0) <= now), None)
        if extent is None:
            self._next_at = min(self._settles[one] for one in self.remaining)
            return None
        self.current_extent = extent
        return extent

    def wake_at(self) -> int | None:
        """Return when to ask `next`, or to look again; None while one is under way or all is over."""
        waits = self.state in (MoveState.MOVING, MoveState.SETTLING)
        return self._next_at if waits and self.current_extent < 0 else None

    def successor_may_start(self, now: int) -> bool:
        """Whether nothing of this move is under way, so that another move of the volume may begin."""
        if self.previous is not None and self.previous.successor_may_start(now):
            self.previous = None
        return (
            self.previous is None
            and self.current_extent < 0
            and not self.trimming
            and now >= self.trims_settled_at
        )

    @property
    def extent_in_progress(self) -> int:
        """Return the extent that this move or one before it is at; -1 for none."""
        return (
            self.current_extent
            if self.current_extent >= 0 or self.previous is None
            else self.previous.extent_in_progress
        )

    def leftover_trims(self, left: Iterable[tuple[int, int]], placed: Mapping[int, int]) -> LeftoverTrims:
        """Return how what was left behind, as (extent, shard), is trimmed now that the move is done."""
        return LeftoverTrims(self, [(extent, shard) for extent, shard in left if placed.get(extent) != shard])

    def finish_extent(self, now: int, outcome: Outcome) -> None:
        """Take what came of the extent under way."""
        extent, self.current_extent = self.current_extent, -1
        self.remaining.remove(extent)
        if outcome is Outcome.SERVED:
            self.moved += 1
            self._failures = 0
            self._next_at = now + PACE_US
            self._look(now)
            return
        self._failures += 1
        if outcome is Outcome.FAILED:
            self.remaining.append(extent)  # the others first
            self._settles[extent] = now + SETTLE_US
            self._next_at = now + PACE_US
        else:
            self.remaining.append(extent)  # another's node may be well
            self._next_at = now + min(RETRY_MAX_US, RETRY_US << min(self._failures, 10))
        if self._failures >= MAX_FAILURES:
            self.state = MoveState.STOPPED
            self.stop_reason = (
                f"{self._failures} tries in a row came to nothing; {len(self.remaining)} extents are left"
            )


@dataclass(slots=True)
class LeftoverTrims:
    """Trims what a done move left behind, one after another."""

    move: Move
    remaining: list[tuple[int, int]]
    given_up: int = 0
    _tries: int = 0

    def next_trim(self) -> tuple[int, int] | None:
        """Return the (extent, shard) to trim now; None at the end."""
        if not self.remaining:
            return None
        self.move.trimming = True
        return self.remaining[0]

    def finish_trim(self, now: int, outcome: Outcome) -> int:
        """Take what came of it; return when to go on."""
        self.move.trimming = False
        self._tries += 1
        if outcome is Outcome.SERVED or self._tries >= MAX_TRIM_TRIES:
            self.given_up += outcome is not Outcome.SERVED
            self.remaining.pop(0)
            self._tries = 0
        if outcome is Outcome.SERVED:
            return now + PACE_US
        if outcome is Outcome.FAILED:
            self.move.trims_settled_at = now + SETTLE_US
            return now + SETTLE_US
        return now + min(RETRY_MAX_US, RETRY_US << self._tries)
