import pytest

from harriertrack.decisions.fleet.changes.follower import Follower
from harriertrack.decisions.fleet.changes.record import ALL_HEADS, MAX_FINISHED_VERSIONS, Record
from harriertrack.decisions.fleet.changes.version_state import (
    TRANSITIONS,
    IllegalTransition,
    VersionState,
    check_transition,
)
from harriertrack.decisions.fleet.changes.operations import (
    ChangeConflict,
    OutdatedTerm,
    ChangeRefused,
    propose,
    raise_level,
    set_state,
    set_state_as_operator,
)
from harriertrack.membership.fleet.change_record import DamagedRecord, decode, digest_of, encode
from harriertrack.storage.changes import ChangesCache


def in_force(body: str = "a", thing: str = "settings") -> Record:
    record = propose(Record(), thing, 0, body, "ann", 1, "first")
    return set_state(record, 1, thing, 1, VersionState.IN_FORCE, 2, "all run it")


def test_the_second_of_two_changes_from_one_version_gets_the_difference():
    record = propose(in_force("limit 4\nburst 8"), "settings", 1, "limit 5\nburst 8", "ann", 3, "more")
    with pytest.raises(ChangeConflict) as conflict:
        propose(record, "settings", 1, "limit 6\nburst 8", "bob", 3, "more still")
    assert conflict.value.difference == ["@@ -1 +1 @@", "-limit 5", "+limit 6"]
    record = set_state(record, 1, "settings", 2, VersionState.IN_FORCE, 4, "")
    with pytest.raises(ChangeConflict, match="made from version 1, but 2 is in force"):
        propose(record, "settings", 1, "limit 6", "bob", 5, "more still")
    assert record.find("settings", 1).standing is VersionState.REPLACED  # type: ignore[union-attr]


def test_stopped_content_is_refused_unless_a_reason_is_given():
    record = propose(in_force(), "settings", 1, "b", "ann", 3, "try")
    record = set_state(record, 2, "settings", 2, VersionState.ADVANCING, 4, "", 1, ["h1"])
    record = set_state(record, 2, "settings", 2, VersionState.REVERTING, 5, "failures of class read")
    record = set_state(record, 2, "settings", 2, VersionState.STOPPED, 6, "failures of class read")
    with pytest.raises(ChangeRefused, match="failures of class read"):
        propose(record, "settings", 1, "b", "ann", 7, "again")
    again = propose(record, "settings", 1, "b", "ann", 7, "again", although="a node was ill")
    assert again.in_progress("settings").number == 3  # type: ignore[union-attr]


def test_an_earlier_term_changes_nothing_once_a_later_one_has():
    record = propose(in_force(), "settings", 1, "b", "ann", 3, "try")
    record = set_state(record, 5, "settings", 2, VersionState.ADVANCING, 4, "", 1, ["h1"])
    with pytest.raises(OutdatedTerm):
        set_state(record, 4, "settings", 2, VersionState.IN_FORCE, 5, "")
    with pytest.raises(OutdatedTerm):
        raise_level(record, 4, 1)
    assert raise_level(record, 5, 1).level == 1


def test_the_version_for_a_head_follows_the_stage_and_the_revert():
    record = propose(in_force(), "settings", 1, "b", "ann", 3, "try")
    assert record.version_for("settings", "h1").number == 1  # type: ignore[union-attr]
    record = set_state(record, 1, "settings", 2, VersionState.ADVANCING, 4, "", 1, ["h1"])
    assert [record.version_for("settings", head).number for head in ("h1", "h2")] == [2, 1]  # type: ignore[union-attr]
    record = set_state(record, 1, "settings", 2, VersionState.ADVANCING, 5, "", 2, [ALL_HEADS])
    assert record.version_for("settings", "h2").number == 2  # type: ignore[union-attr]
    record = set_state_as_operator(record, "settings", VersionState.ABORTED, "bob", 6, "not today")
    record = set_state(record, 1, "settings", 2, VersionState.REVERTING, 7, "", heads=["h2"])
    assert [record.version_for("settings", head).number for head in ("h1", "h2")] == [1, 2]  # type: ignore[union-attr]


def test_operators_pause_resume_and_abort_with_a_reason_and_nothing_else():
    record = propose(in_force(), "settings", 1, "b", "ann", 3, "try")
    with pytest.raises(ChangeRefused, match="not paused"):
        set_state_as_operator(record, "settings", VersionState.ADVANCING, "ann", 4, "go")
    with pytest.raises(ChangeRefused, match="why"):
        set_state_as_operator(record, "settings", VersionState.ABORTED, "ann", 4, " ")
    with pytest.raises(ChangeRefused, match="not for operators"):
        set_state_as_operator(record, "settings", VersionState.IN_FORCE, "ann", 4, "now")
    aborted = set_state_as_operator(record, "settings", VersionState.ABORTED, "ann", 4, "no")
    assert aborted.in_progress("settings") is None
    advancing = set_state(record, 1, "settings", 2, VersionState.ADVANCING, 4, "", 1, ["h1"])
    paused = set_state_as_operator(advancing, "settings", VersionState.PAUSED, "ann", 5, "lunch")
    assert set_state_as_operator(paused, "settings", VersionState.ADVANCING, "ann", 6, "back").in_progress(
        "settings"
    ).heads == ("h1",)  # type: ignore[union-attr]


def test_finished_states_have_no_transitions_and_illegal_ones_raise():
    for before in VersionState:
        for after in VersionState:
            if after not in TRANSITIONS[before]:
                with pytest.raises(IllegalTransition):
                    check_transition(before, after)
    assert all(
        not TRANSITIONS[one] for one in (VersionState.REPLACED, VersionState.STOPPED, VersionState.ABORTED)
    )


def test_history_is_bounded_and_numbers_are_never_reused():
    record, numbers = in_force(), [1]
    for turn in range(3 * MAX_FINISHED_VERSIONS):
        base = record.in_force("settings").number  # type: ignore[union-attr]
        record = propose(record, "settings", base, f"body {turn}", "ann", turn, "next")
        numbers.append(record.in_progress("settings").number)  # type: ignore[union-attr]
        record = set_state(record, 1, "settings", numbers[-1], VersionState.IN_FORCE, turn, "")
    assert numbers == list(range(1, 3 * MAX_FINISHED_VERSIONS + 2))
    assert len(record.versions) == MAX_FINISHED_VERSIONS + 1


def test_a_record_round_trips_and_damaged_bytes_are_detected():
    record = propose(in_force(), "calendar/tokyo", 0, "x", "ann", 3, "first")
    data = encode(record)
    assert decode(data) == record
    for at in (0, 10, 17, len(data) // 2, len(data) - 1):
        damaged = bytearray(data)
        damaged[at] ^= 1
        with pytest.raises(DamagedRecord):
            decode(bytes(damaged))
    with pytest.raises(DamagedRecord):
        decode(data[:-5])
    assert digest_of(data) != digest_of(encode(record.with_versions([])))


def test_a_reader_ignores_fields_of_a_later_program():
    import msgspec
    import xxhash

    body = msgspec.json.decode(encode(in_force())[17:])
    body["later"] = [1]
    body["versions"][0]["later"] = "x"
    fresh = msgspec.json.encode(body)
    assert decode(f"{xxhash.xxh64_hexdigest(fresh)}\n".encode() + fresh) == in_force()


def test_a_head_applies_or_rejects_a_version_completely_and_keeps_the_earlier_one():
    head = Follower("h1")
    head.observe_revision(0, 2)
    assert head.start_fetch(0) and not head.start_fetch(0)
    assert head.finish_fetch(1, in_force(), 7)
    assert [(thing, one.number) for thing, one in head.pending_changes()] == [("settings", 1)]  # type: ignore[union-attr]
    head.mark_applied("settings", 1)
    record = set_state(
        propose(in_force(), "settings", 1, "bad", "ann", 3, "try"),
        1,
        "settings",
        2,
        VersionState.ADVANCING,
        4,
        "",
        1,
        ["h1"],
    )
    head.observe_revision(10, record.revision)
    assert head.start_fetch(10) and head.finish_fetch(11, record, 8)
    assert head.pending_changes()[0][1].number == 2  # type: ignore[union-attr]
    head.mark_rejected("settings", 2, "no such plan")
    assert (
        head.pending_changes() == []
        and head.running_versions() == {"settings": 1}
        and head.applied["settings"].reason == "no such plan"
    )


def test_failed_fetches_back_off_and_an_older_record_is_not_followed():
    head = Follower("h1")
    head.observe_revision(0, 5)
    pauses = []
    now = 0
    for _ in range(8):
        assert head.start_fetch(now)
        head.finish_fetch(now, None)
        pauses.append(head.fetch_at - now)
        now = head.fetch_at
    assert pauses == sorted(pauses) and pauses[0] == 500_000 and pauses[-1] == 10_000_000
    newer = in_force()
    assert head.start_fetch(now) and head.finish_fetch(now, newer, 3)
    head.start_fetch(head.fetch_at)
    assert not head.finish_fetch(now, Record(1), 9) and head.witness_behind and head.record is newer


def test_heads_choose_the_same_one_of_two_records_with_one_revision():
    one, other = in_force("a"), in_force("b")
    heads = [Follower("h1"), Follower("h2")]
    for head, order in zip(heads, ([(one, 1), (other, 2)], [(other, 2), (one, 1)]), strict=True):
        for record, digest in order:
            head.finish_fetch(0, record, digest)
    assert heads[0].record == heads[1].record == other


def test_the_copy_on_disk_is_replaced_atomically(tmp_path):
    cache = ChangesCache(str(tmp_path / "state"))
    assert cache.read() is None
    cache.write(encode(in_force("a")))
    cache.write(encode(in_force("b")))
    assert decode(cache.read()).in_force("settings").body == "b"  # type: ignore[union-attr,arg-type]
    assert [one.name for one in (tmp_path / "state").iterdir()] == ["changes"]
