"""Calendars: `(calendar "tokyo" (zone "Asia/Tokyo") (close (at "15:30")) (markets "JP") (purge ...))`.

A calendar says by a market's own clock and days when it closes, and what of which volumes is purged then.
This reads and checks one, and works out its closes as instants with the time zone data at hand; only who
decides uses those (decisions/fleet/closing/schedule.py).

A close at a time that a change of clocks leaves out comes as if the clocks had not been changed. One at a
time that comes twice is at the `second` (or `first`) of the two.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from datetime import UTC, date, datetime, time, timedelta
from enum import Enum
from functools import lru_cache
from importlib import resources
from typing import Annotated
from zoneinfo import ZoneInfo

import holidays
import msgspec
import tzdata

from harriertrack.config.settings import Name, NonNegativeInt, SettingsStruct
from harriertrack.config.sexp import SettingsError, bind, read_text
from harriertrack.decisions.fleet.closing.schedule import Late, Plan, Purge

DAYS = ("mon", "tue", "wed", "thu", "fri", "sat", "sun")
AT = re.compile(r"([01]\d|2[0-3]):([0-5]\d)(?::([0-5]\d))?\Z")
DAY = timedelta(days=1)


class RepeatedTime(Enum):
    """Which of two equal local times is meant."""

    FIRST = "first"
    SECOND = "second"


class CloseSettings(SettingsStruct, frozen=True, kw_only=True):
    """A close on days of business, at a local time HH:MM or HH:MM:SS."""

    at: str
    days: tuple[str, ...] = DAYS[:5]


class EarlyCloseSettings(SettingsStruct, frozen=True, kw_only=True):
    """On one date, these closes in place of all others; none: as a holiday."""

    on: str
    at: tuple[str, ...] = ()


class PurgeSettings(SettingsStruct, frozen=True, kw_only=True):
    """What is purged: bytes from `start` to before `end` (0: to its end) of the volumes of a pattern."""

    volume: Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
    start_bytes: NonNegativeInt = 0
    end_bytes: NonNegativeInt = 0


class CalendarSettings(SettingsStruct, frozen=True, kw_only=True):
    """One market's calendar."""

    name: Name
    zone: str
    markets: tuple[str, ...] = ()  # exchanges and countries, by code, whose holidays are no days of business
    closes: tuple[CloseSettings, ...] = ()
    holidays: tuple[str, ...] = ()  # further dates without a close
    earlys: tuple[EarlyCloseSettings, ...] = ()
    purges: tuple[PurgeSettings, ...] = ()
    late: Late = Late.PURGE
    twice: RepeatedTime = RepeatedTime.SECOND


def tz_data_version() -> str:
    """Return which time zone data are at hand, as `2026a`: the package's, never the machine's."""
    return tzdata.IANA_VERSION


@lru_cache(maxsize=64)
def _zone(name: str) -> ZoneInfo:
    parts = name.split("/")
    if not all(re.fullmatch(r"[A-Za-z0-9_+-]+", part) for part in parts):
        raise ValueError(name)
    with resources.files("tzdata.zoneinfo").joinpath(*parts).open("rb") as file:
        return ZoneInfo.from_file(file, key=name)


def _time(text: str) -> time:
    match = AT.match(text)
    if match is None:
        raise ValueError(f"{text}: no time as 15:30")
    return time(int(match[1]), int(match[2]), int(match[3] or 0))


def _holidays_of(market: str, years: range) -> holidays.HolidayBase:
    kinds = (holidays.financial_holidays, holidays.country_holidays)
    for kind in kinds:
        try:
            return kind(market, years=years)
        except NotImplementedError:
            continue
    raise ValueError(f"{market}: no exchange or country of which holidays are known")


def parse_calendar(text: str, source: str) -> CalendarSettings:
    """Read and check a calendar. Raises SettingsError with source, line and field."""
    form = read_text(text, source)
    given = bind(form, CalendarSettings, source)
    where = f"{source}:{form.line}"

    def check(field: str, read: object, *values: str) -> None:
        for value in values:
            try:
                read(value)  # type: ignore[operator]
            except (ValueError, OSError) as error:
                said = str(error) if value in str(error) else f"{value}: {error}"
                raise SettingsError(f"{where}: {field}: {said}") from error

    try:
        _zone(given.zone)
    except (ValueError, OSError):
        raise SettingsError(f"{where}: zone: {given.zone}: no time zone of {tz_data_version()}") from None
    if not given.closes and not given.earlys:
        raise SettingsError(f"{where}: close: is needed")
    if not given.purges:
        raise SettingsError(f"{where}: purge: is needed")
    for close in given.closes:
        check("close: at", _time, close.at)
        if unknown := [day for day in close.days if day not in DAYS]:
            raise SettingsError(f"{where}: close: days: {unknown[0]}: one of {', '.join(DAYS)}")
    for early in given.earlys:
        check("early: on", date.fromisoformat, early.on)
        check("early: at", _time, *early.at)
    check("holidays", date.fromisoformat, *given.holidays)
    check("markets", lambda market: _holidays_of(market, range(2026, 2027)), *given.markets)
    for purge in given.purges:
        if purge.end_bytes and purge.end_bytes <= purge.start_bytes:
            raise SettingsError(f"{where}: purge: end: not after its start")
    return given


def _on(given: CalendarSettings, day: date, off: list[holidays.HolidayBase]) -> list[time]:
    early = next((one for one in given.earlys if one.on == day.isoformat()), None)
    if early is not None:
        return sorted(_time(one) for one in early.at)
    if day.isoformat() in given.holidays or any(day in one for one in off):
        return []
    return sorted({_time(one.at) for one in given.closes if DAYS[day.weekday()] in one.days})


def iter_closes(given: CalendarSettings, since_us: int, until_us: int) -> Iterator[tuple[int, str]]:
    """Yield a calendar's closes between two instants (microseconds UTC), in order, with their local names."""
    zone = _zone(given.zone)
    first = datetime.fromtimestamp(since_us / 1e6, UTC).date() - 2 * DAY
    last = datetime.fromtimestamp(until_us / 1e6, UTC).date() + 2 * DAY
    off = [_holidays_of(one, range(first.year, last.year + 1)) for one in given.markets]
    found: dict[int, str] = {}
    for number in range((last - first).days + 1):
        day = first + number * DAY
        for at in _on(given, day, off):
            local = datetime.combine(day, at, zone)
            there = local.astimezone(UTC).astimezone(zone)
            exists = there.replace(tzinfo=None) == local.replace(tzinfo=None)
            fold = int(exists and given.twice is RepeatedTime.SECOND)
            instant = local.replace(fold=fold).astimezone(UTC)
            at_us = int(instant.timestamp()) * 1_000_000
            if since_us < at_us <= until_us:
                found.setdefault(at_us, f"{day.isoformat()} {at:%H:%M:%S} {given.zone}")
    yield from sorted(found.items())


def build_close_plan(given: CalendarSettings, version: int, since_us: int, until_us: int) -> Plan:
    """Return what a version of a calendar says of the time between two instants."""
    purges = tuple(Purge(one.volume, one.start_bytes, one.end_bytes) for one in given.purges)
    return Plan(version, tz_data_version(), purges, tuple(iter_closes(given, since_us, until_us)), given.late)
