"""What who decides does to the record of changes for calendars: takes them up, and keeps their closes ahead.

A calendar `calendar/NAME` is proposed by operators. One that can't be is taken back with the reason; one that
would purge what no calendar of the name purged before waits for a word (paused until it is resumed). What
heads act on is another thing, `calendar/NAME.closes`, which only who decides writes.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from harriertrack.decisions.fleet.changes.operations import propose, set_state
from harriertrack.decisions.fleet.changes.record import Kind, Record, Version, kind_of
from harriertrack.decisions.fleet.changes.version_state import VersionState
from harriertrack.decisions.fleet.closing.schedule import (
    Plan,
    Purge,
    Schedule,
    compute_schedule,
    needs_update,
    uncovered_purges,
)
from harriertrack.decisions.fleet.closing.sweeps import SweepKey

CLOSES_SUFFIX = ".closes"  # ends the name of what heads act on


def is_close_schedule(thing: str) -> bool:
    """Whether a thing is what heads act on."""
    return thing.endswith(CLOSES_SUFFIX)


def calendar_names(record: Record) -> list[str]:
    """Return the things that are calendars."""
    return [one for one in record.things() if kind_of(one) is Kind.CALENDAR and not is_close_schedule(one)]


class InvalidCalendar(ValueError):
    """A body that is no calendar; the message says why."""


@dataclass(frozen=True, slots=True)
class CalendarCodec:
    """How bodies are read and written. `plan` (body, version, schedule) raises BadCalendar."""

    read_plan: Callable[[str, int, Schedule], Plan]
    read_purges: Callable[[str], tuple[Purge, ...]]  # of a calendar's body; raises BadCalendar
    read_schedule: Callable[[str], Schedule]
    write_schedule: Callable[[Schedule], str]


def recorded_schedule(record: Record, calendar: str, reader: CalendarCodec) -> Schedule:
    """Return a calendar's closes as they stand on record."""
    holds = record.in_force(calendar + CLOSES_SUFFIX)
    return reader.read_schedule(holds.body) if holds is not None else Schedule()


def _ever(record: Record, calendar: str, reader: CalendarCodec) -> list[Purge]:
    done = (VersionState.IN_FORCE, VersionState.REPLACED)
    bodies = [one.body for one in record.versions_of(calendar) if one.standing in done]
    return [purge for body in bodies for purge in reader.read_purges(body)]


def _taken_up(record: Record, epoch: int, going: Version, at_ms: int, reader: CalendarCodec) -> Record:
    """Take a proposed calendar a step further, or leave it."""
    thing, number = going.thing, going.number

    def to(before: Record, standing: VersionState, why: str) -> Record:
        return set_state(before, epoch, thing, number, standing, at_ms, why)

    match going.standing:
        case VersionState.PROPOSED:
            try:
                purges = reader.read_purges(going.body)
            except InvalidCalendar as error:
                return to(record, VersionState.ABORTED, str(error))
            beyond = uncovered_purges(purges, _ever(record, thing, reader))
            if not beyond:
                return to(record, VersionState.IN_FORCE, "a calendar that can be")
            first = beyond[0]
            until = str(first.end) if first.end else "the end"
            why = f"would purge {first.volume} from {first.start} to {until}, as none did before: resume it"
            return to(to(record, VersionState.ADVANCING, why), VersionState.PAUSED, why)
        case VersionState.ADVANCING:
            return to(record, VersionState.IN_FORCE, going.reason or "resumed")
        case VersionState.REVERTING:
            return to(record, VersionState.ABORTED, going.reason)
    return record


def update_calendars(record: Record, epoch: int, latest: int, notice_us: int, reader: CalendarCodec,
             swept: Sequence[SweepKey] = ()) -> Record:  # fmt: skip
    """Return the record with all calendars taken up and their closes ahead; the same one if nothing is due.

    `latest` is the latest instant that it may be now, `swept` what is proven to be swept. Raises Outdated if
    a later term has decided since.
    """
    at_ms = latest // 1000
    for thing in calendar_names(record):
        going = record.in_progress(thing)
        if going is not None:
            record = _taken_up(record, epoch, going, at_ms, reader)
        holds = record.in_force(thing)
        if holds is None:
            continue
        before = recorded_schedule(record, thing, reader)
        try:
            plan = reader.read_plan(holds.body, holds.number, before)
        except InvalidCalendar:
            continue  # it was taken up by a later program: what stands goes on
        after = (
            compute_schedule(before, plan, latest, notice_us)
            if needs_update(before, plan, latest)
            else before
        )
        for key in swept:
            if key.calendar == thing and key.number > after.last_swept(key.volume):
                after = after.with_swept(key.volume, key.number)
        if after is not before:
            record = _put(record, epoch, thing + CLOSES_SUFFIX, reader.write_schedule(after), at_ms, plan)
    return record


def _put(record: Record, epoch: int, thing: str, body: str, at_ms: int, plan: Plan) -> Record:
    holds = record.in_force(thing)
    base = holds.number if holds is not None else 0
    if holds is not None and holds.body == body:
        return record
    why = f"closes of version {plan.version} by time zones {plan.zones}"
    record = propose(record, thing, base, body, "who decides", at_ms, why)
    going = record.in_progress(thing)
    assert going is not None
    return set_state(record, epoch, thing, going.number, VersionState.IN_FORCE, at_ms, why)
