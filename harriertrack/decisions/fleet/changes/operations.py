"""Operations on the record: operators propose, pause, resume and abort versions; the decider rolls them out.

Each function takes a record and returns the next one, or raises the reason for refusing. Of two concurrent
changes the witness accepts one; the other is made again from the new record, and `propose` then reports how
far the thing has changed (`ChangeConflict`).
"""

from __future__ import annotations

import difflib
from collections.abc import Iterable
from dataclasses import replace

from harriertrack.decisions.fleet.changes.record import Record, Version, kind_of
from harriertrack.decisions.fleet.changes.version_state import VersionState, check_transition

MAX_NAME_BYTES = 64  # a thing's name is carried in gossip notes
MAX_BODY_BYTES = 64 << 10  # eight things with a history stay below the limit of a witness key
MAX_THINGS = 64


class ChangeRefused(Exception):
    """The operation is not possible; the message gives the reason."""


class ChangeConflict(ChangeRefused):
    """The thing has changed since the version that the change was made from."""

    def __init__(self, thing: str, base: int, now: Version | None, difference: list[str], why: str) -> None:
        super().__init__(why)
        self.thing, self.base, self.current, self.difference = thing, base, now, difference


class OutdatedTerm(ChangeRefused):
    """A later term has changed the record since."""


def difference(before: str, after: str) -> list[str]:
    """Return the lines that differ, as a unified diff without headers."""
    lines = difflib.unified_diff(before.splitlines(), after.splitlines(), lineterm="", n=0)
    return [line for line in lines if not line.startswith(("---", "+++"))]


def propose(record: Record, thing: str, base: int, body: str, by: str, at_ms: int, why: str, plan: str = "",
            although: str = "") -> Record:  # fmt: skip
    """Add a proposed version of a thing, made from the version in force, number `base` (0: there is none).

    `although`: why content that was stopped before is tried again. Raises ChangeConflict, ChangeRefused.
    """
    try:
        kind_of(thing)
    except ValueError:
        raise ChangeRefused(f"{thing}: there is no such kind of thing") from None
    if not thing.isprintable() or " " in thing or len(thing.encode()) > MAX_NAME_BYTES:
        raise ChangeRefused(
            f"{thing!r}: not a printable name of at most {MAX_NAME_BYTES} bytes without spaces"
        )
    if not why.strip():
        raise ChangeRefused(f"{thing}: a reason (why) is required")
    if len(body.encode()) > MAX_BODY_BYTES:
        raise ChangeRefused(f"{thing}: {len(body.encode())} bytes, more than {MAX_BODY_BYTES}")
    known, in_force, current = record.versions_of(thing), record.in_force(thing), record.in_progress(thing)
    if not known and len(record.things()) >= MAX_THINGS:
        raise ChangeRefused(f"{thing}: the limit of {MAX_THINGS} things is reached")
    if current is not None:
        message = f"{thing}: version {current.number} by {current.by} is {current.standing.value}"
        raise ChangeConflict(thing, base, current, difference(current.body, body), message)
    if base != (in_force.number if in_force is not None else 0):
        latest = in_force.number if in_force is not None else 0
        message = f"{thing}: made from version {base}, but {latest} is in force"
        raise ChangeConflict(
            thing, base, in_force, difference(in_force.body if in_force is not None else "", body), message
        )
    if in_force is not None and in_force.body == body:
        raise ChangeRefused(f"{thing}: version {in_force.number} in force has the same content")
    stopped = next((one for one in known if one.standing is VersionState.STOPPED and one.body == body), None)
    if stopped is not None and not although.strip():
        raise ChangeRefused(f"{thing}: version {stopped.number} had the same content and was stopped: "
                            f"{stopped.reason}; say why it is tried again")  # fmt: skip
    number = max((one.number for one in known), default=0) + 1
    reason = f"{why} (although {stopped.number} was stopped: {although})" if stopped is not None else why
    return record.with_versions([Version(thing, number, base, body, by, at_ms, reason, plan, since_ms=at_ms)])


def _find_version(record: Record, thing: str, number: int) -> Version:
    one = record.find(thing, number)
    if one is None:
        raise ChangeRefused(f"{thing}: no version {number}")
    return one


def set_state(record: Record, epoch: int, thing: str, number: int, standing: VersionState, at_ms: int,
              reason: str, stage: int | None = None,
              heads: Iterable[str] | None = None) -> Record:  # fmt: skip
    """Change a version's state, as the decider of term `epoch`.

    A version that comes into force replaces the earlier one. Raises OutdatedTerm, ChangeRefused,
    IllegalTransition.
    """
    if epoch < record.epoch:
        raise OutdatedTerm(f"term {record.epoch} has changed the record since term {epoch}")
    one = _find_version(record, thing, number)
    check_transition(one.standing, standing)
    targets = one.heads if heads is None else tuple(heads)
    if standing in (VersionState.IN_FORCE, VersionState.STOPPED, VersionState.ABORTED):
        targets = ()
    changed = replace(one, standing=standing, since_ms=at_ms, reason=reason, heads=targets,
                      stage=one.stage if stage is None else stage)  # fmt: skip
    earlier = record.in_force(thing) if standing is VersionState.IN_FORCE else None
    fresh = [changed]
    if earlier is not None:
        fresh.append(replace(earlier, standing=VersionState.REPLACED, since_ms=at_ms, reason=f"by {number}"))
    return record.with_versions(fresh, epoch)


def set_state_as_operator(
    record: Record, thing: str, standing: VersionState, by: str, at_ms: int, why: str
) -> Record:
    """Pause, resume or abort the version in progress, as an operator; leaves the record's epoch as it is.

    `standing`: PAUSED, ADVANCING (resume) or ABORTED, which first reverts a version that heads run. Raises
    ChangeRefused, IllegalTransition.
    """
    one = record.in_progress(thing)
    if one is None:
        raise ChangeRefused(f"{thing}: no version is in progress")
    if not why.strip():
        raise ChangeRefused(f"{thing}: a reason (why) is required")
    if standing is VersionState.ABORTED and one.standing in (VersionState.ADVANCING, VersionState.PAUSED):
        standing = VersionState.REVERTING
    elif standing is VersionState.ADVANCING and one.standing is not VersionState.PAUSED:
        raise ChangeRefused(f"{thing}: version {one.number} is not paused")
    elif standing not in (VersionState.PAUSED, VersionState.ADVANCING, VersionState.ABORTED):
        raise ChangeRefused(f"{thing}: {standing.value} is not for operators to set")
    check_transition(one.standing, standing)
    return record.with_versions([replace(one, standing=standing, since_ms=at_ms, reason=f"{why} ({by})")])


def raise_level(record: Record, epoch: int, level: int) -> Record:
    """Enable the features of a later program for all heads, as the decider; a level never falls.

    Raises OutdatedTerm, ChangeRefused.
    """
    if epoch < record.epoch:
        raise OutdatedTerm(f"term {record.epoch} has changed the record since term {epoch}")
    if level <= record.level:
        raise ChangeRefused(f"level {record.level} is in force already")
    return record.with_versions([], epoch, level)
