"""Where a request on a volume of two regions goes, and when a write is acknowledged.

One head, the holder of the volume's lease, acts on a volume at a time; the other region's head passes
clients' requests on to it and keeps the copy. Inside a region the decision module decides as always; nothing
here sends to a node. Pure: the time is handed in, and the caller tells what it heard and when.

What may be acknowledged rests on the witness's record of which regions are in sync:

- mode BOTH: a write is acknowledged once both regions hold it, or once the witness has recorded that the
  other is out of sync. So whoever is in sync holds all that was acknowledged, and only such a region may take
  over.
- mode HOME: a write is acknowledged once the home holds it, as long as the other region is behind by no more
  than the stated time and number of writes. That is what a dark home can lose.
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
    """What is to be done with a write that the home holds."""

    WAIT = "wait"  # copy it, and acknowledge it when the other region has it
    LATER = "later"  # acknowledge it, and copy it behind
    NOTE = "note"  # acknowledge it, and note that the other region misses it


class Generations(Protocol):
    """Which closes a head has stepped over, as the layer of two regions asks for it."""

    def generation(self, volume: str) -> int:
        """Return of which generation a volume's bytes are here; 0: none was ever purged."""

    def admits(self, volume: str, theirs: int) -> bool:
        """Whether a copy by a holder that has this generation may be stored here now."""

    def unsettled_us(self, volume: str) -> int:
        """Return for how long the other region's head may stand on another side of a volume's close."""


@dataclass(frozen=True, slots=True)
class Bounds:
    """The figures of a volume of two regions; times in microseconds."""

    mode: Mode
    copy_us: int = 400_000  # the longest that a write waits for the other region before that counts as gone
    fresh_us: int = 1_000_000  # the other head is passed requests only if heard from more lately than this
    behind_us: int = 2_000_000  # mode HOME: the other region is behind by no more than this ...
    behind_writes: int = 1_000  # ... and this many writes
    takeover_us: int = (
        300_000  # how long a region waits before it takes a free volume whose home is the other
    )
    settle_us: int = 2_000_000  # a volume goes home only after both were in sync for so long


@dataclass(slots=True)
class RegionView:
    """What one head knows of one volume of two regions, and what follows from it."""

    here: str
    other: str
    home: str  # where the volume belongs
    bounds: Bounds
    in_sync: frozenset[str] = frozenset()
    last_contact: int = -(1 << 60)  # when the newest word of the other head was asked for
    free_since: int | None = None  # nobody holds the volume, as far as the witness said
    in_sync_since: int | None = None
    behind: dict[int, int] = field(default_factory=dict)  # mode HOME: writes on their way, and since when

    # -- what is heard

    def set_in_sync(self, in_sync: frozenset[str], now: int) -> None:
        """The witness's record was read or written."""
        if len(in_sync) == 2:
            self.in_sync_since = now if self.in_sync_since is None else self.in_sync_since
        else:
            self.in_sync_since = None
        self.in_sync = in_sync

    def note_contact(self, asked_at: int) -> None:
        """The other head answered a call that began then."""
        self.last_contact = max(self.last_contact, asked_at)

    def set_free(self, is_free: bool, now: int) -> None:
        """The witness told whether somebody holds the volume."""
        if not is_free:
            self.free_since = None
        elif self.free_since is None:
            self.free_since = now

    # -- what follows

    def reachable(self, now: int) -> bool:
        """Whether the other head was heard from lately enough to be passed work."""
        return now - self.last_contact <= self.bounds.fresh_us

    def route(self, epoch: int, now: int) -> Route:
        """Return where a client's request goes.

        `epoch` is what this head holds the volume under, 0 if it does not.
        """
        if epoch:
            return Route.HERE
        return Route.OTHER if self.reachable(now) else Route.REFUSE

    def copy_decision(self, now: int) -> CopyDecision:
        """Return what a write that the home holds has to wait for."""
        if self.other not in self.in_sync:
            return CopyDecision.NOTE
        if self.bounds.mode is Mode.BOTH:
            return CopyDecision.WAIT
        if len(self.behind) >= self.bounds.behind_writes:
            return CopyDecision.WAIT
        oldest = next(iter(self.behind.values()), now)
        return CopyDecision.WAIT if now - oldest >= self.bounds.behind_us else CopyDecision.LATER

    def add_behind(self, number: int, now: int) -> None:
        """Mode HOME: a write was acknowledged that the other region does not hold yet."""
        self.behind[number] = now

    def remove_behind(self, number: int) -> None:
        """The other region holds that write now."""
        self.behind.pop(number, None)

    def copy_overdue(self, since: int, now: int) -> bool:
        """Whether a copy that began then counts as failed."""
        return now - since >= self.bounds.copy_us

    def behind_overdue_at(self, now: int) -> int | None:
        """Mode HOME.

        When the oldest write behind passes the bound, after which the other region must be dropped.
        """
        oldest = next(iter(self.behind.values()), None)
        return None if oldest is None else oldest + self.bounds.behind_us

    def may_acquire(self, now: int, wish: str = "") -> bool:
        """Whether this region may ask for a volume that nobody holds.

        Only a region in sync holds all that was acknowledged. The region that operators wish it in, else its
        home, goes first: the other waits a little.
        """
        if self.here not in self.in_sync or self.free_since is None:
            return False
        return self.here == (wish or self.home) or now - self.free_since >= self.bounds.takeover_us

    def should_hand_over(self, wish: str, now: int) -> bool:
        """Whether the holder gives the volume to the other region: by an operator's wish, or since it belongs
        there.

        Never to a region out of sync or out of reach, and not before both were in sync for a while: a
        flapping link must not make the volume change hands with it.
        """
        target = wish or self.home
        if target != self.other or self.other not in self.in_sync or not self.reachable(now):
            return False
        return self.in_sync_since is not None and now - self.in_sync_since >= self.bounds.settle_us

    def may_join(self, now: int) -> bool:
        """Whether the witness may record that the other region, which misses nothing any more, is in sync."""
        return self.other not in self.in_sync and self.reachable(now)


TOKENS = 1 << 10  # tick tokens count up to this and begin again
TICK_US = 50_000


@dataclass(slots=True)
class Expiry:
    """How old a message from the other region can be at most, by this head's own clock.

    This head hands out a numbered tick with each answer to the other's heartbeat; a message names the newest
    tick that its sender had. It can't have been sent before that tick was handed out, so it is at most that
    old. No clock but this one is read, and no estimate of the link's delay is relied on.
    """

    max_age_us: int
    _born: int = -1

    def tick(self, now: int) -> int:
        """Return the present tick."""
        if self._born < 0:
            self._born = now
        return (now - self._born) // TICK_US % TOKENS

    def age(self, token: int, now: int) -> int:
        """Return how old a message that names this tick can be, in microseconds (modulo 51 s)."""
        return ((self.tick(now) - token) % TOKENS + 1) * TICK_US

    def fresh(self, token: int, now: int) -> bool:
        """Whether a message that names this tick is young enough to be acted on."""
        return self.age(token, now) <= self.max_age_us
