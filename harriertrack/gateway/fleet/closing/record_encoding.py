"""The encoding in the record of calendars, written by operators, and of closes, by the deciding head."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from functools import lru_cache
from zlib import crc32

import msgspec

from harriertrack.config.closing import build_close_plan, parse_calendar, tz_data_version
from harriertrack.config.sexp import SettingsError
from harriertrack.decisions.fleet.closing.calendars import CalendarCodec, InvalidCalendar
from harriertrack.decisions.fleet.closing.schedule import Plan, Purge, Schedule

BACK_US = 2 * 86_400_000_000  # older missed closes are not carried out
AHEAD_US = 60 * 86_400_000_000
STEP_US = 3_600_000_000  # between recomputations of the closes ahead


class MalformedSchedule(ValueError):
    """A body that is not a close schedule."""


def decode_schedule(body: str) -> Schedule:
    """Decode a close schedule. Raises MalformedSchedule."""
    try:
        return msgspec.json.decode(body, type=Schedule)
    except msgspec.MsgspecError as error:
        raise MalformedSchedule(str(error)) from error


def encode_schedule(schedule: Schedule) -> str:
    """Return the encoded form of closes in the record."""
    return msgspec.json.encode(schedule).decode()


def digest_of(bodies: Mapping[str, str]) -> int:
    """Return the digest of all close schedules."""
    return crc32("\0".join(f"{name}\0{body}" for name, body in sorted(bodies.items())).encode())


@lru_cache(maxsize=256)
def _plan(body: str, version: int, _zones: str, since: int, until: int) -> Plan:
    return build_close_plan(parse_calendar(body, "calendar"), version, since, until)


def codec_for(latest: Callable[[], int], check: Callable[[Purge], str]) -> CalendarCodec:
    """Return the codec of record bodies; `latest`: the current time; `check`: why a purge is invalid."""

    def purges(body: str) -> tuple[Purge, ...]:
        try:
            given = parse_calendar(body, "calendar")
        except SettingsError as error:
            raise InvalidCalendar(str(error)) from error
        found = tuple(Purge(one.volume, one.start_bytes, one.end_bytes) for one in given.purges)
        if bad := next((why for one in found if (why := check(one))), ""):
            raise InvalidCalendar(bad)
        return found

    def plan(body: str, version: int, _before: Schedule) -> Plan:
        now = latest() // STEP_US * STEP_US
        try:
            return _plan(body, version, tz_data_version(), now - BACK_US, now + AHEAD_US)
        except SettingsError as error:
            raise InvalidCalendar(str(error)) from error

    return CalendarCodec(plan, purges, decode_schedule, encode_schedule)
