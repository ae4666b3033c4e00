"""Copies between two regions, epochs of leases and closes, and what of them is on disk: unit tests."""

from types import SimpleNamespace

from harriertrack.config.settings import ClosingSettings, Kind, VolumeRegionSettings
from harriertrack.config.settings.checks import _check_closing
from harriertrack.decisions.catchup import CatchUp
from harriertrack.decisions.copies import Copies, CloseOverlap, WriteAction, CopyAction, close_overlap
from harriertrack.decisions.epochs import Epochs
from harriertrack.decisions.fleet.closing.clocks import Interval
from harriertrack.decisions.fleet.closing.fences import Fences
from harriertrack.decisions.fleet.closing.schedule import Close, Purge, Schedule
from harriertrack.decisions.regions import Bounds, Mode, RegionView
from harriertrack.protocol.nbd.extension import (
    COPY_CONTEXT,
    RELAY_CONTEXT,
    context_of,
    generation_of,
    identity_of,
)
from harriertrack.storage.extents import ExtentMap
from harriertrack.storage.missed import WHOLE, MissedLog

BOTH = frozenset("ab")


def copies(mode=Mode.BOTH, in_sync=BOTH, **bounds):
    log = MissedLog(None)
    view = RegionView("a", "b", "a", Bounds(mode, **bounds))
    view.set_in_sync(in_sync, 0)
    return Copies(view, CatchUp("v", 16, log)), log


def test_write_is_copied_before_acknowledgement_and_dropped_when_late():
    one, log = copies(copy_us=100)
    assert (
        one.add_write(0, 1, range(2)) is WriteAction.COPY_FIRST
        and one.add_write(5, 2, range(0)) is WriteAction.COPY_FIRST
    )
    assert one.next_action(50, 1, True) is CopyAction.SEND and one.due_at(1) == 100 and one.busy() == {0, 1}
    assert (
        one.next_action(100, 1, True) is CopyAction.DROP_REGION
        and one.next_action(101, 1, True) is CopyAction.WAIT
    )
    one.note_all_missed()
    assert log.missed("v") == {0, 1}
    assert one.next_action(102, 2, False) is CopyAction.LEASE_LOST
    assert one.region_dropped(True) == [1, 2] and not one.dropping
    one.finish(1)
    assert one.next_action(103, 1, True) is CopyAction.ENDED and list(one) == [2]


def test_write_is_missed_or_copied_behind_while_the_other_region_is_out_of_sync():
    one, log = copies(in_sync=frozenset("a"), copy_us=100)
    assert one.add_write(0, 1, range(1)) is WriteAction.ACKNOWLEDGE and log.missed("v") == {0}
    assert one.add_write(0, 2, range(0)) is WriteAction.ACKNOWLEDGE
    one.catch_up.start_joining()
    assert (
        one.add_write(0, 3, range(4, 5)) is WriteAction.ACKNOWLEDGE_AND_COPY
        and one.next_action(100, 3, True) is CopyAction.NOTED_MISSED
    )
    assert log.missed("v") == {0, 4} and not one.dropping


def test_mode_home_limits_copies_behind():
    one, _ = copies(Mode.HOME, behind_writes=1)
    assert (
        one.add_write(0, 1, range(1)) is WriteAction.ACKNOWLEDGE_AND_COPY
        and one.add_write(0, 2, range(1)) is WriteAction.COPY_FIRST
    )
    one.finish(1)
    assert one.add_write(0, 3, range(1)) is WriteAction.ACKNOWLEDGE_AND_COPY


def test_copy_timeout_begins_when_both_regions_are_past_a_close():
    one, _ = copies(copy_us=100)
    one.add_write(0, 1, range(1))
    assert one.next_action(90, 1, True, unsettled_us=50) is CopyAction.SEND and one.due_at(1) == 240
    assert (
        one.next_action(239, 1, True) is CopyAction.SEND
        and one.next_action(240, 1, True) is CopyAction.DROP_REGION
    )


def test_overlap_of_a_write_with_a_close():
    is_purged = {0, 1}.__contains__
    assert [close_overlap(one, is_purged) for one in (range(2), range(1, 3), range(2, 4), range(0))] == [
        CloseOverlap.FULL, CloseOverlap.PARTIAL, CloseOverlap.NONE, CloseOverlap.NONE]  # fmt: skip


def test_close_drops_extents_read_for_the_copy_and_missed_ones():
    one, log = copies(in_sync=frozenset("a"))
    one.catch_up.note_missed((0, 1, 2))
    one.catch_up.note_read((0, 2), "reader")
    log.begin_write("v", (1, 2))
    one.catch_up.note_purged({0, 1}.__contains__)
    assert log.missed("v") == {2} == log.open_extents("v")
    one.catch_up.note_missed((0,))  # written again
    one.catch_up.confirm_copied(0, "reader")
    assert log.missed("v") == {0, 2}, "an extent read before the close is not the one missed now"
    one.catch_up.confirm_copied(2, "reader")
    assert log.missed("v") == {0}


def test_log_drops_purged_extents_on_disk_and_retains_the_whole_volume_mark(tmp_path):
    log = MissedLog(str(tmp_path), most=3)
    log.miss("v", (0, 5))
    log.begin_write("v", (0, 6))
    log.miss("w", (0,))
    log.remove_purged("v", lambda extent: extent < 4)
    log.close()
    log = MissedLog(str(tmp_path), most=3)
    assert (log.missed("v"), log.open_extents("v"), log.missed("w")) == ({5}, {6}, {0})
    log.miss("v", range(9))
    log.remove_purged("v", lambda _extent: True)
    assert log.missed("v") == {WHOLE}
    log.close()


def test_epochs_grow_with_leases_and_closes_and_never_decrease():
    one = Epochs()
    seen = [one.epoch_of("v")]
    for step in (lambda: one.record_lease("v", 3), lambda: one.record_close("v", 1000), lambda: one.record_lease("v", 4),
                 lambda: one.record_close("v", 2000)):  # fmt: skip
        step()
        seen.append(one.epoch_of("v"))
    assert seen == sorted(set(seen)) and one.generation("v") == 2000
    one.record_lease("v", 2)
    assert not one.record_close("v", 1500) and one.epoch_of("v") == seen[-1]
    assert one.epoch_of("w") == 0 and not one.has_lease("w") and one.has_lease("v")
    one.record_close("w", 5)
    assert not one.has_lease("w"), "a close is not a lease: it moves nothing"


def test_raised_epoch_outlives_the_listed_closes(tmp_path):
    one = ExtentMap(str(tmp_path))
    one.raise_to("v", 7_000_000)
    one.raise_to("v", 9_000_001)
    one.close()
    again = ExtentMap(str(tmp_path))
    assert again.closing.raised == {"v": 9_000_001}
    again.close()


def test_generation_is_part_of_the_connection_context():
    plain, copy = context_of(7, 0, RELAY_CONTEXT), context_of(7, 3, COPY_CONTEXT, 1_796_193_000_000_000)
    assert identity_of(copy, COPY_CONTEXT) == (7, 3) and generation_of(copy) == 1_796_193_000_000_000
    pulls = context_of(7, 0, RELAY_CONTEXT, 255)
    assert identity_of(pulls, RELAY_CONTEXT) == (7, 0) and generation_of(pulls) == 255
    assert plain == f"{RELAY_CONTEXT}{7:016x}" and generation_of(plain) == 0
    assert generation_of(context_of(7, 3, COPY_CONTEXT)) == 0
    for bad in ("", "7", f"{7:016x}/x", f"{7:016x}/1/2/3", f"{7:016x}/1/x"):
        assert identity_of(COPY_CONTEXT + bad, COPY_CONTEXT) is None


def fences(*instants):
    one = Fences(("v",), {})
    one.fence("c").set_schedule(
        Schedule(1, "tz", tuple(Close(at, number, (Purge("v"),)) for at, number in instants))
    )
    one.confirm_until(10_000)
    return one


def test_bytes_of_another_generation_are_not_accepted():
    one = fences((1, 1000), (2, 2000))
    sure = Interval(1500, 1600)
    assert one.accepts_generation(sure, "v", 1000, 1000) and not one.accepts_generation(sure, "v", 1000, 0)
    assert not one.accepts_generation(sure, "v", 1000, 2000), "its close has not come yet"
    assert one.accepts_generation(sure, "v", 0, 1000), "a close that is no longer listed"
    assert not one.accepts_generation(None, "v", 0, 1000) and not one.accepts_generation(
        Interval(20_000, 20_001), "v", 0, 1000
    )
    assert one.accepts_generation(None, "v", 1000, 1000) and one.accepts_generation(None, "w", 0, 9)


def test_how_long_another_head_may_be_on_the_other_side_of_a_close():
    one = fences((1, 1000), (2, 2000))
    assert one.unsettled_us(Interval(900, 999), "v", 50) == 0
    assert one.unsettled_us(Interval(950, 1050), "v", 50) == 100
    assert one.unsettled_us(Interval(1020, 1120), "v", 50) == 30
    assert one.unsettled_us(Interval(1050, 1150), "v", 50) == 0
    assert one.unsettled_us(None, "v", 50) == 0 and one.unsettled_us(Interval(950, 1050), "w", 50) == 0


def test_settings_reject_two_region_volumes_only_where_sweeps_are_needed():
    kinds = [SimpleNamespace(kinds=(Kind.MOVE,))]
    closing = ClosingSettings(volumes=("desk*",))
    said = []
    for shards in ((), (0, 1)):
        volume = SimpleNamespace(name="desk1", regions=VolumeRegionSettings(home="a"), shards=shards)
        head = SimpleNamespace(classes=kinds, volumes=[volume], fleet=None)
        _check_closing(head, closing, lambda field, why: said.append((field, why)))
    assert said == [
        ("fleet: closing: volumes", "desk1 is of two regions, with extents allocated beforehand: not purged")
    ]
