"""How the deciding head processes the calendars in the record of changes and keeps their schedules ahead.

A calendar `calendar/NAME` is proposed by operators. An invalid one is withdrawn with the reason; one that
would purge what no earlier calendar of that name purged waits for confirmation (paused until it is resumed).
Heads act on another thing, the schedule `calendar/NAME.closes`, which only the deciding head writes.
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

CLOSES_SUFFIX = ".closes"  # ends the name of the schedule of a calendar


def is_close_schedule(thing: str) -> bool:
    """Whether a thing is the schedule of a calendar."""
    return thing.endswith(CLOSES_SUFFIX)


def calendar_names(record: Record) -> list[str]:
    """Return the names of the calendars in the record."""
    return [
        thing for thing in record.things() if kind_of(thing) is Kind.CALENDAR and not is_close_schedule(thing)
    ]


class InvalidCalendar(ValueError):
    """A body that is not a valid calendar; the message says why."""


@dataclass(frozen=True, slots=True)
class CalendarCodec:
    """How bodies are read and written. `read_plan` (body, version, schedule) raises InvalidCalendar."""

    read_plan: Callable[[str, int, Schedule], Plan]
    read_purges: Callable[[str], tuple[Purge, ...]]  # of a calendar's body; raises InvalidCalendar
    read_schedule: Callable[[str], Schedule]
    write_schedule: Callable[[Schedule], str]


def recorded_schedule(record: Record, calendar: str, codec: CalendarCodec) -> Schedule:
    """Return a calendar's schedule as recorded."""
    current = record.in_force(calendar + CLOSES_SUFFIX)
    return codec.read_schedule(current.body) if current is not None else Schedule()


def _earlier_purges(record: Record, calendar: str, codec: CalendarCodec) -> list[Purge]:
    applied = (VersionState.IN_FORCE, VersionState.REPLACED)
    bodies = [one.body for one in record.versions_of(calendar) if one.standing in applied]
    return [purge for body in bodies for purge in codec.read_purges(body)]


def _process_version(record: Record, epoch: int, going: Version, at_ms: int, codec: CalendarCodec) -> Record:
    """Return the record with the next step of a proposed calendar, or as it is if there is none."""
    thing, number = going.thing, going.number

    def move(before: Record, standing: VersionState, why: str) -> Record:
        return set_state(before, epoch, thing, number, standing, at_ms, why)

    match going.standing:
        case VersionState.PROPOSED:
            try:
                purges = codec.read_purges(going.body)
            except InvalidCalendar as error:
                return move(record, VersionState.ABORTED, str(error))
            uncovered = uncovered_purges(purges, _earlier_purges(record, thing, codec))
            if not uncovered:
                return move(record, VersionState.IN_FORCE, "a calendar that can be")
            first = uncovered[0]
            until = str(first.end) if first.end else "the end"
            why = f"would purge {first.volume} from {first.start} to {until}, as none did before: resume it"
            return move(move(record, VersionState.ADVANCING, why), VersionState.PAUSED, why)
        case VersionState.ADVANCING:
            return move(record, VersionState.IN_FORCE, going.reason or "resumed")
        case VersionState.REVERTING:
            return move(record, VersionState.ABORTED, going.reason)
    return record


def update_calendars(record: Record, epoch: int, latest: int, notice_us: int, codec: CalendarCodec,
                     swept: Sequence[SweepKey] = ()) -> Record:  # fmt: skip
    """Return the record with all calendars processed and enough closes ahead; the same object if unchanged.

    `latest` is the latest instant that it may be now, `swept` the sweeps proven to be complete. Raises
    Outdated if a later term has written since.
    """
    at_ms = latest // 1000
    for thing in calendar_names(record):
        going = record.in_progress(thing)
        if going is not None:
            record = _process_version(record, epoch, going, at_ms, codec)
        current = record.in_force(thing)
        if current is None:
            continue
        before = recorded_schedule(record, thing, codec)
        try:
            plan = codec.read_plan(current.body, current.number, before)
        except InvalidCalendar:
            continue  # accepted by a later program version: its schedule stays as recorded
        after = (
            compute_schedule(before, plan, latest, notice_us)
            if needs_update(before, plan, latest)
            else before
        )
        for key in swept:
            if key.calendar == thing and key.number > after.last_swept(key.volume):
                after = after.with_swept(key.volume, key.number)
        if after is not before:
            record = _put_schedule(
                record, epoch, thing + CLOSES_SUFFIX, codec.write_schedule(after), at_ms, plan
            )
    return record


def _put_schedule(record: Record, epoch: int, thing: str, body: str, at_ms: int, plan: Plan) -> Record:
    current = record.in_force(thing)
    base = current.number if current is not None else 0
    if current is not None and current.body == body:
        return record
    why = f"closes of version {plan.version} by time zones {plan.zones}"
    record = propose(record, thing, base, body, "who decides", at_ms, why)
    going = record.in_progress(thing)
    assert going is not None
    return set_state(record, epoch, thing, going.number, VersionState.IN_FORCE, at_ms, why)
