"""What may be done to the record: operators propose, pause, resume and abort; who decides brings about.

Each function takes a record and returns the next one, or raises why it can't be. Two who change it at once:
whoever keeps it takes one of the two records; the other is made anew from that one, and `propose` then tells
how far the thing has moved on (`Conflict`).
"""

from __future__ import annotations

import difflib
from collections.abc import Iterable
from dataclasses import replace

from harriertrack.decisions.fleet.changes.record import Record, Version, kind_of
from harriertrack.decisions.fleet.changes.version_state import VersionState, check_transition

MAX_NAME_BYTES = 64  # bytes of a thing's name: it rides on notes
MAX_BODY_BYTES = 64 << 10  # bytes: eight things with a history stay below what a key of the witness holds
MAX_THINGS = 64


class ChangeRefused(Exception):
    """It can't be done, whoever asks; the message says why."""


class ChangeConflict(ChangeRefused):
    """The thing has moved on since what the change was made from."""

    def __init__(self, thing: str, base: int, now: Version | None, difference: list[str], why: str) -> None:
        super().__init__(why)
        self.thing, self.base, self.current, self.difference = thing, base, now, difference


class OutdatedTerm(ChangeRefused):
    """A later term has decided since."""


def difference(before: str, after: str) -> list[str]:
    """Return what lines differ, in unified form without heads."""
    lines = difflib.unified_diff(before.splitlines(), after.splitlines(), lineterm="", n=0)
    return [line for line in lines if not line.startswith(("---", "+++"))]


def propose(record: Record, thing: str, base: int, body: str, by: str, at_ms: int, why: str, plan: str = "",
            although: str = "") -> Record:  # fmt: skip
    """Ask for a new version of a thing, made from the one in force, number `base` (0: there is none).

    `although`: why content that was stopped before is tried again. Raises Conflict, Refused.
    """
    try:
        kind_of(thing)
    except ValueError:
        raise ChangeRefused(f"{thing}: nothing of that kind can change") from None
    if not thing.isprintable() or " " in thing or len(thing.encode()) > MAX_NAME_BYTES:
        raise ChangeRefused(f"{thing!r}: no name of at most {MAX_NAME_BYTES} bytes without blanks")
    if not why.strip():
        raise ChangeRefused(f"{thing}: why is needed")
    if len(body.encode()) > MAX_BODY_BYTES:
        raise ChangeRefused(f"{thing}: {len(body.encode())} bytes, more than {MAX_BODY_BYTES}")
    known, holds, going = record.versions_of(thing), record.in_force(thing), record.in_progress(thing)
    if not known and len(record.things()) >= MAX_THINGS:
        raise ChangeRefused(f"{thing}: {MAX_THINGS} things have versions already")
    if going is not None:
        said = f"{thing}: version {going.number} by {going.by} is {going.standing.value}"
        raise ChangeConflict(thing, base, going, difference(going.body, body), said)
    if base != (holds.number if holds is not None else 0):
        at = holds.number if holds is not None else 0
        said = f"{thing}: made from version {base}, but {at} is in force"
        raise ChangeConflict(
            thing, base, holds, difference(holds.body if holds is not None else "", body), said
        )
    if holds is not None and holds.body == body:
        raise ChangeRefused(f"{thing}: version {holds.number} in force says the same")
    stopped = next((one for one in known if one.standing is VersionState.STOPPED and one.body == body), None)
    if stopped is not None and not although.strip():
        raise ChangeRefused(f"{thing}: version {stopped.number} said the same and was stopped: "
                            f"{stopped.reason}; say why it is tried again")  # fmt: skip
    number = max((one.number for one in known), default=0) + 1
    told = f"{why} (although {stopped.number} was stopped: {although})" if stopped is not None else why
    return record.with_versions([Version(thing, number, base, body, by, at_ms, told, plan, since_ms=at_ms)])


def _held(record: Record, thing: str, number: int) -> Version:
    one = record.find(thing, number)
    if one is None:
        raise ChangeRefused(f"{thing}: no version {number}")
    return one


def set_state(record: Record, epoch: int, thing: str, number: int, standing: VersionState, at_ms: int,
              reason: str, stage: int | None = None,
              heads: Iterable[str] | None = None) -> Record:  # fmt: skip
    """Take a version one step further, as who decides in term `epoch`.

    A version that comes in force replaces the one that was. Raises Outdated, Refused, IllegalStep.
    """
    if epoch < record.epoch:
        raise OutdatedTerm(f"term {record.epoch} has decided since term {epoch}")
    one = _held(record, thing, number)
    check_transition(one.standing, standing)
    named = one.heads if heads is None else tuple(heads)
    if standing in (VersionState.IN_FORCE, VersionState.STOPPED, VersionState.ABORTED):
        named = ()
    stepped = replace(one, standing=standing, since_ms=at_ms, reason=reason, heads=named,
                      stage=one.stage if stage is None else stage)  # fmt: skip
    before = record.in_force(thing) if standing is VersionState.IN_FORCE else None
    fresh = [stepped]
    if before is not None:
        fresh.append(replace(before, standing=VersionState.REPLACED, since_ms=at_ms, reason=f"by {number}"))
    return record.with_versions(fresh, epoch)


def set_state_as_operator(
    record: Record, thing: str, standing: VersionState, by: str, at_ms: int, why: str
) -> Record:
    """Pause, resume or abort what is under way, as an operator; nobody else's term is touched by it.

    `standing`: PAUSED, GOING (resume) or ABORTED, which takes a version back first if heads run it. Raises
    Refused, IllegalStep.
    """
    one = record.in_progress(thing)
    if one is None:
        raise ChangeRefused(f"{thing}: nothing is under way")
    if not why.strip():
        raise ChangeRefused(f"{thing}: why is needed")
    if standing is VersionState.ABORTED and one.standing in (VersionState.ADVANCING, VersionState.PAUSED):
        standing = VersionState.REVERTING
    elif standing is VersionState.ADVANCING and one.standing is not VersionState.PAUSED:
        raise ChangeRefused(f"{thing}: version {one.number} is not paused")
    elif standing not in (VersionState.PAUSED, VersionState.ADVANCING, VersionState.ABORTED):
        raise ChangeRefused(f"{thing}: {standing.value} is not for operators to say")
    check_transition(one.standing, standing)
    return record.with_versions([replace(one, standing=standing, since_ms=at_ms, reason=f"{why} ({by})")])


def raise_level(record: Record, epoch: int, level: int) -> Record:
    """Let all use what a later program brought, as who decides; a level never falls.

    Raises Outdated, Refused.
    """
    if epoch < record.epoch:
        raise OutdatedTerm(f"term {record.epoch} has decided since term {epoch}")
    if level <= record.level:
        raise ChangeRefused(f"level {record.level} holds already")
    return record.with_versions([], epoch, level)
