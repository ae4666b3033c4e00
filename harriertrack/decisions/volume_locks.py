"""What a head does about the lock of a volume of two regions after reading it from the witness.

Pure: the answers are passed in.

Each read leads to at most one write at the witness; the answer to that write is evaluated here again. The
head never acts on an intended change, only on the latest answer of the witness.
"""

from __future__ import annotations

from enum import Enum, auto
from typing import Protocol

from harriertrack.decisions.regions import RegionView


class SyncRecord(Protocol):
    """The record that the witness stores for a volume."""

    @property
    def in_sync(self) -> tuple[str, ...]:
        """Return which regions hold all acknowledged writes."""


class LockSnapshot(Protocol):
    """A volume's key as read from the witness."""

    @property
    def record(self) -> SyncRecord:
        """Return the record stored in the key."""

    @property
    def session(self) -> str:
        """Return the session that holds the lock; "" if it is free."""


class LockAction(Enum):
    """What to do after reading a volume's key."""

    LEAVE = auto()
    CREATE = auto()  # there is no key, and this is the volume's home: create it, with both regions in sync
    ACQUIRE = auto()  # the lock is free, and this region may take it
    ACTIVATE = auto()  # this head has the lock, but does not act on the volume yet
    MAINTAIN = auto()  # this head has the lock and is active on the volume


class AcquiredAction(Enum):
    """What to do before a head acts on a volume whose lock it has acquired."""

    RELEASE = auto()  # this region does not hold all that was acknowledged
    RECORD_ALONE = auto()  # the regions may differ: first record only this one as in sync
    ACTIVATE = auto()


class HolderDuty(Enum):
    """What the holder of a volume has to do."""

    NOTHING = auto()
    DROP_OTHER = auto()  # the other region is behind for longer than configured
    ADD_OTHER = auto()  # the other region misses nothing any more
    HAND_OVER = auto()


def lock_action(
    view: RegionView, lock: LockSnapshot | None, session: str, active: bool, preferred: str, now: int
) -> LockAction:
    """Return what to do about a volume's key as just read, None if there is none.

    `session` is this head's session. `active`: this head holds the volume, by its own clock.
    `preferred`: the region requested by operators.
    """
    if lock is None:
        return LockAction.CREATE if view.here == view.home else LockAction.LEAVE
    view.set_free(not lock.session, now)
    if lock.session != session:
        view.set_in_sync(frozenset(lock.record.in_sync), now)
        return (
            LockAction.ACQUIRE if not lock.session and view.may_acquire(now, preferred) else LockAction.LEAVE
        )
    return LockAction.MAINTAIN if active else LockAction.ACTIVATE


def acquired_action(view: RegionView, in_sync: frozenset[str], writes_open: bool) -> AcquiredAction:
    """Return what to do before acting on a volume whose lock this head has acquired, given its record.

    `writes_open`: writes were in progress when it last held the volume, so that the regions may differ there.
    """
    if view.here not in in_sync:
        return AcquiredAction.RELEASE
    return AcquiredAction.RECORD_ALONE if writes_open and view.other in in_sync else AcquiredAction.ACTIVATE


def holder_duty(view: RegionView, caught_up: bool, copies: int, preferred: str, now: int) -> HolderDuty:
    """Return what the holder has to do first; `copies` is the number of open copies to the other region."""
    late = view.behind_overdue_at(now)
    if late is not None and late <= now and copies:
        return HolderDuty.DROP_OTHER
    if caught_up and view.may_join(now):
        return HolderDuty.ADD_OTHER
    return (
        HolderDuty.HAND_OVER if not copies and view.should_hand_over(preferred, now) else HolderDuty.NOTHING
    )
