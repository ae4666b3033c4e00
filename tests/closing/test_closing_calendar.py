"""Calendars: their syntax, and the times of closes across changes of a market's local time."""

from datetime import UTC, datetime

import pytest

from harriertrack.config.closing import iter_closes, parse_calendar, build_close_plan, tz_data_version
from harriertrack.config.sexp import SettingsError

PURGE = '(purge (volume "m*"))'


def utc_us(text):
    return int(datetime.fromisoformat(text).replace(tzinfo=UTC).timestamp()) * 1_000_000


def closes_in(body, since, until):
    calendar = parse_calendar(f'(calendar "x" {body} {PURGE})', "x")
    return [
        datetime.fromtimestamp(at / 1e6, UTC).strftime("%m-%d %H:%M")
        for at, _ in iter_closes(calendar, utc_us(since), utc_us(until))
    ]


def test_business_days_holidays_and_early_closes():
    body = """(zone "America/New_York") (markets "XNYS") (close (at "16:00")) (early (on "2026-11-27") (at "13:00"))
              (holidays "2026-11-30")"""
    assert closes_in(body, "2026-11-25", "2026-12-02") == [
        "11-25 21:00",
        "11-27 18:00",
        "12-01 21:00",
    ]  # 26th: Thanksgiving


def test_two_closes_a_day_with_their_own_days():
    body = '(zone "Asia/Tokyo") (close (at "11:30")) (close (at "15:30") (days "mon"))'
    assert closes_in(body, "2026-12-06", "2026-12-09") == ["12-07 02:30", "12-07 06:30", "12-08 02:30"]


@pytest.mark.parametrize(("twice", "at"), [("first", "10-25 00:30"), ("second", "10-25 01:30")])
def test_repeated_local_time(twice, at):
    body = f'(zone "Europe/Lisbon") (twice {twice}) (close (at "01:30") (days "sun"))'
    assert closes_in(body, "2026-10-24", "2026-10-26") == [at]


@pytest.mark.parametrize("twice", ["first", "second"])
def test_skipped_local_time_uses_the_offset_before_the_change(twice):
    body = f'(zone "Europe/Lisbon") (twice {twice}) (close (at "01:30") (days "sun"))'
    assert closes_in(body, "2026-03-28", "2026-03-30") == ["03-29 01:30"]


def test_leap_days():
    body = '(zone "UTC") (close (at "12:00") (days "mon" "tue" "wed" "thu" "fri" "sat" "sun"))'
    assert closes_in(body, "2028-02-28", "2028-03-02") == ["02-28 12:00", "02-29 12:00", "03-01 12:00"]


def test_plan_names_its_time_zone_data():
    plan = build_close_plan(
        parse_calendar(f'(calendar "x" (zone "UTC") (close (at "12:00")) {PURGE})', "x"),
        7,
        0,
        86_400_000_000 * 2,
    )
    assert (plan.version, plan.zones, len(plan.instants)) == (7, tz_data_version(), 2)


@pytest.mark.parametrize(
    ("body", "expected"),
    [
        ('(zone "Mars/Base") (close (at "12:00"))', "zone: Mars/Base"),
        ('(zone "../../etc/passwd") (close (at "12:00"))', "zone: ../../etc"),
        ('(zone "UTC")', "close: is needed"),
        ('(zone "UTC") (close (at "24:00"))', "close: at: 24:00"),
        ('(zone "UTC") (close (at "12:00") (days "noday"))', "close: days: noday"),
        ('(zone "UTC") (early (on "2027-02-29"))', "early: on: 2027-02-29"),
        ('(zone "UTC") (markets "XX") (close (at "12:00"))', "markets: XX"),
        ('(zone "UTC") (close (at "12:00")) (purge (volume "v") (start 8MiB) (end 4MiB))', "purge: end"),
    ],
)
def test_invalid_calendar_is_reported_with_its_field(body, expected):
    with pytest.raises(SettingsError, match="c.sexp:1") as error:
        parse_calendar(f'(calendar "x" {body} {PURGE})', "c.sexp")
    assert expected in str(error.value)
