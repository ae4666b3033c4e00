"""Moving volumes into their cells, extent by extent, while in use: what to move next, and when to stop.

The cell map says where a volume belongs, the extent map where each extent lies; what differs is moved.
Both maps are on disk, so a move needs no record of its own: a head that was killed at any step finds the same
difference, and a move is reverted by a newer map. To move one extent, the head holds it (later requests wait,
earlier ones finish), reads it from its shard, writes it to the new cell as a new placement, and has that
placement on disk before any waiting request goes on. After a failure at any step the extent stays where it
was, and is released.

The bytes that remain at the old shard are trimmed when the volume's move is done. A trim that may still be
delayed must not reach an extent that has moved back there: the volume's next move waits for it.

A write whose outcome is unknown may still run at its node. Its extent is not tried again before `SETTLE_US`,
when it can't run any more: a late one would overwrite what clients wrote since.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import InitVar, dataclass, field
from enum import StrEnum

from harriertrack.decisions.splitting import Outcome

PACE_US = 5_000  # between two extents of a volume: clients' requests come first
RETRY_US, RETRY_MAX_US = 50_000, 2_000_000  # after a refusal, doubled each time
SETTLE_US = (
    3_000_000  # after an unknown outcome: longer than an attempt can be delayed, or a rack recalls keys
)
MAX_FAILURES = 12  # in a row, without one extent moved: then an operator must investigate


MAX_TRIM_TRIES = 4  # further tries only after the next start or map


class MoveState(StrEnum):
    """The states of a volume's move."""

    MOVING = "moving"
    SETTLING = "settling"  # nothing known remains, but writes from before the map may still be placed
    DONE = "done"
    STOPPED = "stopped"  # it can't continue by itself; a newer map starts again


def misplaced_extents(home: str, placed: Iterable[tuple[int, int]], shards: Mapping[int, str]) -> list[int]:
    """Return the extents of a volume, given as (extent, shard), that lie outside its cell."""
    return sorted(extent for extent, shard in placed if shards.get(shard) != home)


@dataclass(slots=True)
class Move:
    """The move of one volume."""

    volume: str
    remaining: list[int]  # extents to be moved, the next first
    settle_us: int  # the longest that a write accepted under an earlier map may still place an extent
    now: InitVar[int] = 0
    state: MoveState = MoveState.MOVING
    stop_reason: str = ""
    moved: int = 0
    current_extent: int = -1  # the extent being moved
    previous: Move | None = None  # the move under the previous map, while any of it is in progress
    trimming: bool = False  # a trim of remaining bytes is in progress
    trims_settled_at: int = 0  # from when on no trim can be delayed any more
    _next_at: int = 0
    _check_at: int = 0
    _failures: int = 0
    _retry_at: dict[int, int] = field(default_factory=dict)  # extents with a write of unknown outcome

    def __post_init__(self, now: int) -> None:
        self._check_at = now + self.settle_us
        self._settle_if_empty(now)

    def _settle_if_empty(self, now: int) -> None:
        """If nothing remains, check again once every write from before the map has ended."""
        if not self.remaining:
            self.state = MoveState.SETTLING
            self._next_at = max(now, self._check_at)

    def finish_check(self, found: Iterable[int]) -> None:
        """Accept the extents found outside the cell after `SETTLING`: move them, or end if there are none."""
        self.remaining = sorted(found)
        self.state = MoveState.MOVING if self.remaining else MoveState.DONE

    def next_extent(self, now: int) -> int | None:
        """Return the extent to start with now; None if it is not time, or a move is in progress."""
        if self.state is not MoveState.MOVING or self.current_extent >= 0 or now < self._next_at:
            return None
        extent = next((one for one in self.remaining if self._retry_at.get(one, 0) <= now), None)
        if extent is None:
            self._next_at = min(self._retry_at[one] for one in self.remaining)
            return None
        self.current_extent = extent
        return extent

    def wake_at(self) -> int | None:
        """Return when to call `next_extent`, or to check again; None during a move or at the end."""
        waits = self.state in (MoveState.MOVING, MoveState.SETTLING)
        return self._next_at if waits and self.current_extent < 0 else None

    def successor_may_start(self, now: int) -> bool:
        """Whether nothing of this move is in progress, so that another move of the volume may begin."""
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
        """Return the extent that this move or a previous one is moving; -1 for none."""
        return (
            self.current_extent
            if self.current_extent >= 0 or self.previous is None
            else self.previous.extent_in_progress
        )

    def leftover_trims(self, left: Iterable[tuple[int, int]], placed: Mapping[int, int]) -> LeftoverTrims:
        """Return the trims of the bytes that remain, as (extent, shard), now that the move is done."""
        return LeftoverTrims(self, [(extent, shard) for extent, shard in left if placed.get(extent) != shard])

    def finish_extent(self, now: int, outcome: Outcome) -> None:
        """Handle the outcome of the current extent."""
        extent, self.current_extent = self.current_extent, -1
        self.remaining.remove(extent)
        if outcome is Outcome.SERVED:
            self.moved += 1
            self._failures = 0
            self._next_at = now + PACE_US
            self._settle_if_empty(now)
            return
        self._failures += 1
        if outcome is Outcome.FAILED:
            self.remaining.append(extent)  # the others go first
            self._retry_at[extent] = now + SETTLE_US
            self._next_at = now + PACE_US
        else:
            self.remaining.append(extent)  # another extent's node may work
            self._next_at = now + min(RETRY_MAX_US, RETRY_US << min(self._failures, 10))
        if self._failures >= MAX_FAILURES:
            self.state = MoveState.STOPPED
            self.stop_reason = (
                f"{self._failures} attempts in a row failed; {len(self.remaining)} extents are left"
            )


@dataclass(slots=True)
class LeftoverTrims:
    """Trims the bytes that a finished move leaves behind, one extent after another."""

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
        """Handle the outcome of the current trim; return when to continue."""
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
