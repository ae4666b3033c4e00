"""Market calendars: `(calendar "tokyo" (zone "Asia/Tokyo") (close (at "15:30")) (markets "JP") (purge ...))`.

A calendar gives the times at which a market closes, by its local time and business days, and the data of
volumes that are purged then. This module reads and validates calendars and computes their closes as instants
with the installed time zone data; only the deciding head uses these (decisions/fleet/closing/schedule.py).

A close at a local time that a change of the clocks skips takes place as if the clocks had not changed. A
close at a local time that occurs twice takes place at the `second` (or `first`) of the two.
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

WEEKDAYS = ("mon", "tue", "wed", "thu", "fri", "sat", "sun")
_TIME = re.compile(r"([01]\d|2[0-3]):([0-5]\d)(?::([0-5]\d))?\Z")
ONE_DAY = timedelta(days=1)


class RepeatedTime(Enum):
    """Which of two equal local times a close uses."""

    FIRST = "first"
    SECOND = "second"


class CloseSettings(SettingsStruct, frozen=True, kw_only=True):
    """A close on the given weekdays other than holidays, at a local time HH:MM or HH:MM:SS."""

    at: str
    days: tuple[str, ...] = WEEKDAYS[:5]


class EarlyCloseSettings(SettingsStruct, frozen=True, kw_only=True):
    """The closes of one date, in place of the usual ones; none: the date is a holiday."""

    on: str
    at: tuple[str, ...] = ()


class PurgeSettings(SettingsStruct, frozen=True, kw_only=True):
    """What is purged of volumes that match a pattern: bytes from `start` to before `end` (0: the end)."""

    volume: Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
    start_bytes: NonNegativeInt = 0
    end_bytes: NonNegativeInt = 0


class CalendarSettings(SettingsStruct, frozen=True, kw_only=True):
    """One market's calendar."""

    name: Name
    zone: str
    markets: tuple[str, ...] = ()  # codes of exchanges and countries whose holidays are no business days
    closes: tuple[CloseSettings, ...] = ()
    holidays: tuple[str, ...] = ()  # further dates without closes
    earlys: tuple[EarlyCloseSettings, ...] = ()
    purges: tuple[PurgeSettings, ...] = ()
    late: Late = Late.PURGE
    twice: RepeatedTime = RepeatedTime.SECOND


def tz_data_version() -> str:
    """Return the version of the time zone data, such as `2026a`: the package's, never the machine's."""
    return tzdata.IANA_VERSION


@lru_cache(maxsize=64)
def _load_zone(name: str) -> ZoneInfo:
    parts = name.split("/")
    if not all(re.fullmatch(r"[A-Za-z0-9_+-]+", part) for part in parts):
        raise ValueError(name)
    with resources.files("tzdata.zoneinfo").joinpath(*parts).open("rb") as file:
        return ZoneInfo.from_file(file, key=name)


def _parse_time(text: str) -> time:
    match = _TIME.match(text)
    if match is None:
        raise ValueError(f"{text}: no time as 15:30")
    return time(int(match[1]), int(match[2]), int(match[3] or 0))


def _load_holidays(market: str, years: range) -> holidays.HolidayBase:
    sources = (holidays.financial_holidays, holidays.country_holidays)
    for source in sources:
        try:
            return source(market, years=years)
        except NotImplementedError:
            continue
    raise ValueError(f"{market}: no exchange or country of which holidays are known")


def parse_calendar(text: str, source: str) -> CalendarSettings:
    """Parse and validate a calendar. Raises SettingsError with source, line and field."""
    form = read_text(text, source)
    calendar = bind(form, CalendarSettings, source)
    where = f"{source}:{form.line}"

    def check(field: str, parse: object, *values: str) -> None:
        for value in values:
            try:
                parse(value)  # type: ignore[operator]
            except (ValueError, OSError) as error:
                reason = str(error) if value in str(error) else f"{value}: {error}"
                raise SettingsError(f"{where}: {field}: {reason}") from error

    try:
        _load_zone(calendar.zone)
    except (ValueError, OSError):
        raise SettingsError(f"{where}: zone: {calendar.zone}: no time zone of {tz_data_version()}") from None
    if not calendar.closes and not calendar.earlys:
        raise SettingsError(f"{where}: close: is needed")
    if not calendar.purges:
        raise SettingsError(f"{where}: purge: is needed")
    for close in calendar.closes:
        check("close: at", _parse_time, close.at)
        if unknown := [day for day in close.days if day not in WEEKDAYS]:
            raise SettingsError(f"{where}: close: days: {unknown[0]}: one of {', '.join(WEEKDAYS)}")
    for early in calendar.earlys:
        check("early: on", date.fromisoformat, early.on)
        check("early: at", _parse_time, *early.at)
    check("holidays", date.fromisoformat, *calendar.holidays)
    check("markets", lambda market: _load_holidays(market, range(2026, 2027)), *calendar.markets)
    for purge in calendar.purges:
        if purge.end_bytes and purge.end_bytes <= purge.start_bytes:
            raise SettingsError(f"{where}: purge: end: not after its start")
    return calendar


def _closes_on(
    calendar: CalendarSettings, day: date, market_holidays: list[holidays.HolidayBase]
) -> list[time]:
    early = next((one for one in calendar.earlys if one.on == day.isoformat()), None)
    if early is not None:
        return sorted(_parse_time(one) for one in early.at)
    if day.isoformat() in calendar.holidays or any(day in one for one in market_holidays):
        return []
    return sorted({_parse_time(one.at) for one in calendar.closes if WEEKDAYS[day.weekday()] in one.days})


def iter_closes(calendar: CalendarSettings, since_us: int, until_us: int) -> Iterator[tuple[int, str]]:
    """Yield the closes after `since_us` up to `until_us` (microseconds UTC), in order, with local names."""
    zone = _load_zone(calendar.zone)
    first = datetime.fromtimestamp(since_us / 1e6, UTC).date() - 2 * ONE_DAY
    last = datetime.fromtimestamp(until_us / 1e6, UTC).date() + 2 * ONE_DAY
    market_holidays = [_load_holidays(one, range(first.year, last.year + 1)) for one in calendar.markets]
    names: dict[int, str] = {}
    for index in range((last - first).days + 1):
        day = first + index * ONE_DAY
        for close_time in _closes_on(calendar, day, market_holidays):
            local = datetime.combine(day, close_time, zone)
            round_trip = local.astimezone(UTC).astimezone(zone)
            exists = round_trip.replace(tzinfo=None) == local.replace(tzinfo=None)
            fold = int(exists and calendar.twice is RepeatedTime.SECOND)
            instant = local.replace(fold=fold).astimezone(UTC)
            at_us = int(instant.timestamp()) * 1_000_000
            if since_us < at_us <= until_us:
                names.setdefault(at_us, f"{day.isoformat()} {close_time:%H:%M:%S} {calendar.zone}")
    yield from sorted(names.items())


def build_close_plan(calendar: CalendarSettings, version: int, since_us: int, until_us: int) -> Plan:
    """Return the closes and purges of a version of a calendar after `since_us` up to `until_us`."""
    purges = tuple(Purge(one.volume, one.start_bytes, one.end_bytes) for one in calendar.purges)
    return Plan(
        version, tz_data_version(), purges, tuple(iter_closes(calendar, since_us, until_us)), calendar.late
    )
