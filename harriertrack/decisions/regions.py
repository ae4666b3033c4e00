"""Routing of requests on a volume of two regions, and when a write is acknowledged.

One head, the holder of the volume's lease, processes a volume's requests at a time; the other region's head
relays clients' requests to it and stores the copy. Inside a region the decision module decides as always;
nothing here sends to a node. Pure functions of state: the caller passes in the time and what it received.

What may be acknowledged depends on the witness's record of which regions are in sync:

- mode BOTH: a write is acknowledged once both regions hold it, or once the witness has recorded that the
  other is out of sync. So a region in sync holds all acknowledged writes, and only such a region may take
  over.
- mode HOME: a write is acknowledged once the home holds it, as long as the other region is behind by no more
  than the configured time and number of writes. This is the most that a failed home can lose.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import StrEnum
from typing import Protocol


class Mode(StrEnum):
    """When a write is acknowledged."""

    BOTH = "both"
    HOME = "home"


class Route(StrEnum):
    """Where a request goes."""

    HERE = "here"
    OTHER = "other"
    REFUSE = "refuse"


class CopyDecision(StrEnum):
    """What to do with a write that the home holds."""

    WAIT = "wait"  # copy it, and acknowledge it when the other region has it
    LATER = "later"  # acknowledge it, and copy it in the background
    NOTE = "note"  # acknowledge it, and note that the other region misses it


class Generations(Protocol):
    """The closes that a head has applied, as needed by the layer of two regions."""

    def generation(self, volume: str) -> int:
        """Return the generation of a volume's bytes here; 0: none was ever purged."""

    def admits(self, volume: str, theirs: int) -> bool:
        """Whether a copy from a holder at generation `theirs` may be stored here now."""

    def unsettled_us(self, volume: str) -> int:
        """Return for how long the other region's head may differ from this one about a volume's close."""


@dataclass(frozen=True, slots=True)
class Bounds:
    """The bounds of a volume of two regions; times in microseconds."""

    mode: Mode
    copy_us: int = 400_000  # a write waits this long for the other region before that counts as unreachable
    fresh_us: int = 1_000_000  # requests are relayed to the other head only if it answered within this time
    behind_us: int = 2_000_000  # mode HOME: the other region is behind by no more than this ...
    behind_writes: int = 1_000  # ... and this many writes
    takeover_us: int = 300_000  # a region waits this long to take a free volume whose home is the other
    settle_us: int = 2_000_000  # a volume returns home only after both were in sync for this long


@dataclass(slots=True)
class RegionView:
    """What one head knows of one volume of two regions, and the decisions that follow."""

    here: str
    other: str
    home: str  # the region where the volume belongs
    bounds: Bounds
    in_sync: frozenset[str] = frozenset()
    last_contact: int = -(1 << 60)  # when the latest call that the other head answered was begun
    free_since: int | None = None  # since when the witness has reported no holder; None: the volume is held
    in_sync_since: int | None = None
    behind: dict[int, int] = field(default_factory=dict)  # mode HOME: writes being copied, and since when

    # -- observations

    def set_in_sync(self, in_sync: frozenset[str], now: int) -> None:
        """Update the witness's record, as read or written."""
        if len(in_sync) == 2:
            self.in_sync_since = now if self.in_sync_since is None else self.in_sync_since
        else:
            self.in_sync_since = None
        self.in_sync = in_sync

    def note_contact(self, asked_at: int) -> None:
        """Note that the other head answered a call begun at that time."""
        self.last_contact = max(self.last_contact, asked_at)

    def set_free(self, is_free: bool, now: int) -> None:
        """Update whether the witness reports the volume as free."""
        if not is_free:
            self.free_since = None
        elif self.free_since is None:
            self.free_since = now

    # -- decisions

    def reachable(self, now: int) -> bool:
        """Whether the other head answered recently enough to be relayed requests."""
        return now - self.last_contact <= self.bounds.fresh_us

    def route(self, epoch: int, now: int) -> Route:
        """Return where a client's request goes.

        `epoch` is the epoch under which this head holds the volume, 0 if it does not.
        """
        if epoch:
            return Route.HERE
        return Route.OTHER if self.reachable(now) else Route.REFUSE

    def copy_decision(self, now: int) -> CopyDecision:
        """Return what to do with a write that the home holds."""
        if self.other not in self.in_sync:
            return CopyDecision.NOTE
        if self.bounds.mode is Mode.BOTH:
            return CopyDecision.WAIT
        if len(self.behind) >= self.bounds.behind_writes:
            return CopyDecision.WAIT
        oldest = next(iter(self.behind.values()), now)
        return CopyDecision.WAIT if now - oldest >= self.bounds.behind_us else CopyDecision.LATER

    def add_behind(self, number: int, now: int) -> None:
        """Mode HOME: add a write that was acknowledged before the other region holds it."""
        self.behind[number] = now

    def remove_behind(self, number: int) -> None:
        """Remove a write that the other region holds now, if it was behind."""
        self.behind.pop(number, None)

    def copy_overdue(self, since: int, now: int) -> bool:
        """Whether a copy begun at that time counts as failed."""
        return now - since >= self.bounds.copy_us

    def behind_overdue_at(self, now: int) -> int | None:
        """Mode HOME: return when the oldest write behind exceeds the bound, None if there is none.

        From then on the other region must be recorded as out of sync.
        """
        oldest = next(iter(self.behind.values()), None)
        return None if oldest is None else oldest + self.bounds.behind_us

    def may_acquire(self, now: int, preferred: str = "") -> bool:
        """Whether this region may acquire a volume that is free.

        Only a region in sync holds all that was acknowledged. The region requested by operators, else the
        home, goes first: the other waits a little.
        """
        if self.here not in self.in_sync or self.free_since is None:
            return False
        return self.here == (preferred or self.home) or now - self.free_since >= self.bounds.takeover_us

    def should_hand_over(self, preferred: str, now: int) -> bool:
        """Whether the holder hands the volume to the other region: on an operator's request, or as its home.

        Never to a region that is out of sync or unreachable, and only after both were in sync for a while: a
        flapping link must not make the volume change hands with it.
        """
        target = preferred or self.home
        if target != self.other or self.other not in self.in_sync or not self.reachable(now):
            return False
        return self.in_sync_since is not None and now - self.in_sync_since >= self.bounds.settle_us

    def may_join(self, now: int) -> bool:
        """Whether the witness may record that the other region, which misses nothing any more, is in sync."""
        return self.other not in self.in_sync and self.reachable(now)


TOKENS = 1 << 10  # tick tokens count up to this and wrap around
TICK_US = 50_000


@dataclass(slots=True)
class Expiry:
    """The maximum age of a message from the other region, by this head's own clock.

    This head sends a numbered tick with each answer to the other's heartbeat; a message carries the newest
    tick that its sender had received. It can't have been sent before that tick was, so it is at most that
    old. No other clock is read, and no estimate of the link's delay is relied on.
    """

    max_age_us: int
    _started_at: int = -1

    def tick(self, now: int) -> int:
        """Return the current tick."""
        if self._started_at < 0:
            self._started_at = now
        return (now - self._started_at) // TICK_US % TOKENS

    def age(self, token: int, now: int) -> int:
        """Return the maximum age of a message with this tick, in microseconds (modulo 51 s)."""
        return ((self.tick(now) - token) % TOKENS + 1) * TICK_US

    def fresh(self, token: int, now: int) -> bool:
        """Whether a message with this tick is recent enough to be acted on."""
        return self.age(token, now) <= self.max_age_us
