"""Schedules of closes: which are firm, which come next, and which calendars require confirmation."""

import itertools

import pytest

from harriertrack.decisions.fleet.changes.record import Record
from harriertrack.decisions.fleet.changes.version_state import VersionState
from harriertrack.decisions.fleet.changes.operations import propose, set_state_as_operator
from harriertrack.decisions.fleet.closing.calendars import (
    CLOSES_SUFFIX,
    InvalidCalendar,
    CalendarCodec,
    update_calendars,
    recorded_schedule,
)
from harriertrack.decisions.fleet.closing.schedule import (
    Close,
    Late,
    Plan,
    Purge,
    Schedule,
    uncovered_purges,
    needs_update,
    compute_schedule,
)
from harriertrack.decisions.fleet.closing.sweeps import SweepKey

NOTICE = 100
PURGES = (Purge("m*", 0, 8),)


def plan(*instants, version=1, zones="a", late=Late.PURGE, purges=PURGES):
    return Plan(version, zones, purges, tuple((at, str(at)) for at in instants), late)


def closes(schedule):
    return [(one.number, one.at_us) for one in schedule.closes]


def test_first_closes_leave_time_for_the_announcement():
    schedule = compute_schedule(Schedule(), plan(500, 900), latest=100, notice_us=NOTICE)
    assert closes(schedule) == [(1, 500), (2, 900)]


def test_change_just_before_a_close_takes_effect_after_it():
    before = compute_schedule(Schedule(), plan(500, 900), 100, NOTICE)
    after = compute_schedule(before, plan(700, version=2), 499, NOTICE)
    assert closes(after) == [(1, 500), (2, 700)]
    assert after.closes[0].purges == PURGES


def test_firm_close_keeps_its_purges():
    before = compute_schedule(Schedule(), plan(500, 900), 100, NOTICE)
    after = compute_schedule(before, plan(500, 900, version=2, purges=(Purge("other"),)), 450, NOTICE)
    assert [one.purges[0].volume for one in after.closes] == ["m*", "other"]


@pytest.mark.parametrize(("late", "expected"), [(Late.PURGE, [(1, 301), (2, 900)]), (Late.SKIP, [(1, 900)])])
def test_close_that_can_not_be_announced_in_time(late, expected):
    assert closes(compute_schedule(Schedule(), plan(250, 900, late=late), 200, NOTICE)) == expected


def test_time_zone_change_moves_only_closes_that_are_not_firm():
    before = compute_schedule(Schedule(), plan(500, 900, 1300), 100, NOTICE)
    moved = plan(500, 860, 1260, zones="b")
    assert needs_update(before, moved, 450) and not needs_update(before, plan(500, 900, 1300), 450)
    assert closes(compute_schedule(before, moved, 450, NOTICE)) == [(1, 500), (2, 860), (3, 1260)]


def test_numbers_are_unique_and_without_gaps_whatever_changes():
    """Four changes of the calendar at all combinations of moments: firm closes never change."""
    for moments in itertools.combinations(range(0, 1000, 130), 4):
        schedule, firm = Schedule(), {}
        for version, now in enumerate(moments, start=1):
            fresh = plan(*range(200 + 37 * version, 1500, 210 + 13 * version), version=version)
            schedule = compute_schedule(schedule, fresh, now, NOTICE)
            assert [one.number for one in schedule.closes] == list(
                range(schedule.closes[0].number, schedule.last_number + 1)
            )
            assert sorted({one.at_us for one in schedule.closes}) == [one.at_us for one in schedule.closes]
            for one in schedule.closes:
                if one.at_us <= now + NOTICE:
                    assert firm.setdefault(one.number, one.at_us) == one.at_us


def test_purges_not_covered_by_earlier_calendars():
    earlier = [Purge("m*", 0, 8), Purge("*", 16, 0)]
    assert uncovered_purges([Purge("m*", 2, 4), Purge("x", 20, 30)], earlier) == []
    assert uncovered_purges([Purge("m*", 0, 9), Purge("n", 0, 8)], earlier) == [
        Purge("m*", 0, 9),
        Purge("n", 0, 8),
    ]


# -- the record


def codec():
    """Return a codec of bodies that are lists of numbers: the end of the purge, then the closes."""

    def numbers(body):
        try:
            return [int(one) for one in body.split()]
        except ValueError as error:
            raise InvalidCalendar(str(error)) from error

    schedules = {}

    def written(schedule):
        schedules[str(schedule)] = schedule
        return str(schedule)

    return CalendarCodec(
        lambda body, version, _before: plan(
            *numbers(body)[1:], version=version, purges=(Purge("m", 0, numbers(body)[0]),)
        ),
        lambda body: (Purge("m", 0, numbers(body)[0]),),
        schedules.__getitem__,
        written,
    )


THING = "calendar/x"


def proposed(record, body, base):
    return propose(record, THING, base, body, "ann", 1, "why")


def test_calendar_that_purges_more_than_earlier_ones_waits_for_confirmation():
    read = codec()
    record = update_calendars(proposed(Record(), "8 500 900", 0), 1, 100, NOTICE, read)
    assert (
        record.in_progress(THING).standing is VersionState.PAUSED
        and record.in_force(THING + CLOSES_SUFFIX) is None
    )
    assert update_calendars(record, 1, 120, NOTICE, read) is record
    record = update_calendars(
        set_state_as_operator(record, THING, VersionState.ADVANCING, "ann", 2, "yes"), 1, 130, NOTICE, read
    )
    assert record.in_force(THING).number == 1 and closes(recorded_schedule(record, THING, read)) == [
        (1, 500),
        (2, 900),
    ]
    smaller = update_calendars(proposed(record, "4 700", 1), 1, 140, NOTICE, read)
    assert smaller.in_force(THING).number == 2, "purging less needs no confirmation"
    larger = update_calendars(proposed(smaller, "8 800", 2), 1, 150, NOTICE, read)
    assert larger.in_force(THING).number == 3, "nor does what an earlier calendar purged"


def test_invalid_calendar_is_withdrawn():
    record = update_calendars(proposed(Record(), "what", 0), 1, 100, NOTICE, codec())
    assert (
        record.versions_of(THING)[0].standing is VersionState.ABORTED
        and "what" in record.versions_of(THING)[0].reason
    )


def test_sweep_is_recorded_once_and_never_decreases():
    read = codec()
    record = update_calendars(proposed(Record(), "8 500 900", 0), 1, 100, NOTICE, read)
    record = update_calendars(
        set_state_as_operator(record, THING, VersionState.ADVANCING, "ann", 2, "yes"), 1, 130, NOTICE, read
    )
    key = SweepKey(THING, 2, "m")
    swept = update_calendars(record, 1, 901, NOTICE, read, [key])
    assert recorded_schedule(swept, THING, read).last_swept("m") == 2
    assert update_calendars(swept, 1, 902, NOTICE, read, [key, SweepKey(THING, 1, "m")]) is swept


def test_long_absent_head_purges_by_the_oldest_listed_close():
    from harriertrack.decisions.fleet.closing.schedule import pending_closes

    schedule = Schedule(closes=(Close(7, 10, PURGES, "x"), Close(8, 20, PURGES)))
    assert [one.number for one in pending_closes(schedule, 3)] == [7, 8] and "3" in pending_closes(
        schedule, 3
    )[0].name
