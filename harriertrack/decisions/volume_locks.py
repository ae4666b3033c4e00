"""What a head does about a volume of two regions after a look at the witness.

Pure: the answers are handed in.

Each look ends in at most one act at the witness; what follows from that act's answer is asked here again. The
head never acts on what it wished to happen, only on what the witness said last.
"""

from __future__ import annotations

from enum import Enum, auto
from typing import Protocol

from harriertrack.decisions.regions import RegionView


class SyncRecord(Protocol):
    """What the witness keeps for a volume."""

    @property
    def in_sync(self) -> tuple[str, ...]:
        """Return which regions hold all acknowledged writes."""


class LockSnapshot(Protocol):
    """A volume's key as the witness told it."""

    @property
    def standing(self) -> SyncRecord:
        """Return what it keeps."""

    @property
    def session(self) -> str:
        """Return who holds it; "" while nobody does."""


class LockAction(Enum):
    """What a look at a volume's key asks for."""

    LEAVE = auto()
    CREATE = auto()  # there is no key, and this is the volume's home: make it, with both regions in sync
    ACQUIRE = auto()  # nobody holds it, and this region may
    ACTIVATE = auto()  # it is ours, and we do not act on it yet
    MAINTAIN = auto()  # we hold it and act on it


class AcquiredAction(Enum):
    """What has to happen before a head acts on a volume whose lock it has."""

    RELEASE = auto()  # this region does not hold all that was acknowledged
    RECORD_ALONE = auto()  # the regions may differ: record this one alone first
    ACTIVATE = auto()


class HolderDuty(Enum):
    """What a holder looks after."""

    NOTHING = auto()
    DROP_OTHER = auto()  # the other region is behind for longer than stated
    ADD_OTHER = auto()  # the other region misses nothing any more
    HAND_OVER = auto()


def lock_action(
    view: RegionView, lock: LockSnapshot | None, mine: str, acts: bool, wish: str, now: int
) -> LockAction:
    """Take a volume's key as just read, None if there is none; `mine` is this head's session.

    `acts`: this head holds the volume, by its own clock. `wish`: the region operators want it in.
    """
    if lock is None:
        return LockAction.CREATE if view.here == view.home else LockAction.LEAVE
    view.set_free(not lock.session, now)
    if lock.session != mine:
        view.set_in_sync(frozenset(lock.standing.in_sync), now)
        return LockAction.ACQUIRE if not lock.session and view.may_acquire(now, wish) else LockAction.LEAVE
    return LockAction.MAINTAIN if acts else LockAction.ACTIVATE


def acquired_action(view: RegionView, in_sync: frozenset[str], writes_open: bool) -> AcquiredAction:
    """Take the record of a volume whose lock this head has got.

    `writes_open`: writes were under way when it last held the volume, so that the regions may differ there.
    """
    if view.here not in in_sync:
        return AcquiredAction.RELEASE
    return AcquiredAction.RECORD_ALONE if writes_open and view.other in in_sync else AcquiredAction.ACTIVATE


def holder_duty(view: RegionView, caught_up: bool, copies: int, wish: str, now: int) -> HolderDuty:
    """Return what a holder has to do first; `copies` are under way to the other region."""
    late = view.behind_overdue_at(now)
    if late is not None and late <= now and copies:
        return HolderDuty.DROP_OTHER
    if caught_up and view.may_join(now):
        return HolderDuty.ADD_OTHER
    return HolderDuty.HAND_OVER if not copies and view.should_hand_over(wish, now) else HolderDuty.NOTHING
