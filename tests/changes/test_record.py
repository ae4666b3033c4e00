import pytest

from harriertrack.decisions.fleet.changes.following import Follower
from harriertrack.decisions.fleet.changes.record import ALL, REMEMBERED, Record
from harriertrack.decisions.fleet.changes.standing import STEPS, IllegalStep, Standing, check_step
from harriertrack.decisions.fleet.changes.writing import (
    Conflict,
    Outdated,
    Refused,
    propose,
    raise_level,
    step,
    wish,
)
from harriertrack.membership.fleet.changing import DamagedRecord, decode, digest_of, encode
from harriertrack.storage.changes import ChangesCache


def in_force(body: str = "a", thing: str = "settings") -> Record:
    record = propose(Record(), thing, 0, body, "ann", 1, "first")
    return step(record, 1, thing, 1, Standing.IN_FORCE, 2, "all run it")


def test_of_two_changes_made_from_one_version_the_second_is_told_the_difference():
    record = propose(in_force("limit 4\nburst 8"), "settings", 1, "limit 5\nburst 8", "ann", 3, "more")
    with pytest.raises(Conflict) as told:
        propose(record, "settings", 1, "limit 6\nburst 8", "bob", 3, "more still")
    assert told.value.difference == ["@@ -1 +1 @@", "-limit 5", "+limit 6"]
    record = step(record, 1, "settings", 2, Standing.IN_FORCE, 4, "")
    with pytest.raises(Conflict, match="made from version 1, but 2 is in force"):
        propose(record, "settings", 1, "limit 6", "bob", 5, "more still")
    assert record.find("settings", 1).standing is Standing.REPLACED  # type: ignore[union-attr]


def test_what_was_stopped_is_refused_until_somebody_says_why():
    record = propose(in_force(), "settings", 1, "b", "ann", 3, "try")
    record = step(record, 2, "settings", 2, Standing.GOING, 4, "", 1, ["h1"])
    record = step(record, 2, "settings", 2, Standing.BACK, 5, "failures of class read")
    record = step(record, 2, "settings", 2, Standing.STOPPED, 6, "failures of class read")
    with pytest.raises(Refused, match="failures of class read"):
        propose(record, "settings", 1, "b", "ann", 7, "again")
    again = propose(record, "settings", 1, "b", "ann", 7, "again", although="a node was ill")
    assert again.under_way("settings").number == 3  # type: ignore[union-attr]


def test_an_earlier_term_decides_nothing_once_a_later_one_has():
    record = propose(in_force(), "settings", 1, "b", "ann", 3, "try")
    record = step(record, 5, "settings", 2, Standing.GOING, 4, "", 1, ["h1"])
    with pytest.raises(Outdated):
        step(record, 4, "settings", 2, Standing.IN_FORCE, 5, "")
    with pytest.raises(Outdated):
        raise_level(record, 4, 1)
    assert raise_level(record, 5, 1).level == 1


def test_who_is_to_run_what_follows_stage_and_way_back():
    record = propose(in_force(), "settings", 1, "b", "ann", 3, "try")
    assert record.wanted("settings", "h1").number == 1  # type: ignore[union-attr]
    record = step(record, 1, "settings", 2, Standing.GOING, 4, "", 1, ["h1"])
    assert [record.wanted("settings", head).number for head in ("h1", "h2")] == [2, 1]  # type: ignore[union-attr]
    record = step(record, 1, "settings", 2, Standing.GOING, 5, "", 2, [ALL])
    assert record.wanted("settings", "h2").number == 2  # type: ignore[union-attr]
    record = wish(record, "settings", Standing.ABORTED, "bob", 6, "not today")
    record = step(record, 1, "settings", 2, Standing.BACK, 7, "", heads=["h2"])
    assert [record.wanted("settings", head).number for head in ("h1", "h2")] == [1, 2]  # type: ignore[union-attr]


def test_operators_pause_resume_and_abort_with_a_reason_and_nothing_else():
    record = propose(in_force(), "settings", 1, "b", "ann", 3, "try")
    with pytest.raises(Refused, match="not paused"):
        wish(record, "settings", Standing.GOING, "ann", 4, "go")
    with pytest.raises(Refused, match="why"):
        wish(record, "settings", Standing.ABORTED, "ann", 4, " ")
    with pytest.raises(Refused, match="not for operators"):
        wish(record, "settings", Standing.IN_FORCE, "ann", 4, "now")
    aborted = wish(record, "settings", Standing.ABORTED, "ann", 4, "no")
    assert aborted.under_way("settings") is None
    going = step(record, 1, "settings", 2, Standing.GOING, 4, "", 1, ["h1"])
    paused = wish(going, "settings", Standing.PAUSED, "ann", 5, "lunch")
    assert wish(paused, "settings", Standing.GOING, "ann", 6, "back").under_way("settings").heads == ("h1",)  # type: ignore[union-attr]


def test_no_step_leads_out_of_what_is_over_and_illegal_ones_raise():
    for before in Standing:
        for after in Standing:
            if after not in STEPS[before]:
                with pytest.raises(IllegalStep):
                    check_step(before, after)
    assert all(not STEPS[one] for one in (Standing.REPLACED, Standing.STOPPED, Standing.ABORTED))


def test_history_is_bounded_and_numbers_are_never_used_twice():
    record, numbers = in_force(), [1]
    for turn in range(3 * REMEMBERED):
        base = record.in_force("settings").number  # type: ignore[union-attr]
        record = propose(record, "settings", base, f"body {turn}", "ann", turn, "next")
        numbers.append(record.under_way("settings").number)  # type: ignore[union-attr]
        record = step(record, 1, "settings", numbers[-1], Standing.IN_FORCE, turn, "")
    assert numbers == list(range(1, 3 * REMEMBERED + 2))
    assert len(record.versions) == REMEMBERED + 1


def test_a_record_survives_its_bytes_and_spoilt_bytes_are_found():
    record = propose(in_force(), "calendar/tokyo", 0, "x", "ann", 3, "first")
    data = encode(record)
    assert decode(data) == record
    for at in (0, 10, 17, len(data) // 2, len(data) - 1):
        spoilt = bytearray(data)
        spoilt[at] ^= 1
        with pytest.raises(DamagedRecord):
            decode(bytes(spoilt))
    with pytest.raises(DamagedRecord):
        decode(data[:-5])
    assert digest_of(data) != digest_of(encode(record.replaced([])))


def test_a_reader_passes_over_what_a_later_program_appends():
    import msgspec
    import xxhash

    body = msgspec.json.decode(encode(in_force())[17:])
    body["later"] = [1]
    body["versions"][0]["later"] = "x"
    fresh = msgspec.json.encode(body)
    assert decode(f"{xxhash.xxh64_hexdigest(fresh)}\n".encode() + fresh) == in_force()


def test_a_head_takes_whole_or_turns_down_whole_and_keeps_what_ran():
    head = Follower("h1")
    head.hear(0, 2)
    assert head.fetch(0) and not head.fetch(0)
    assert head.fetched(1, in_force(), 7)
    assert [(thing, one.number) for thing, one in head.due()] == [("settings", 1)]  # type: ignore[union-attr]
    head.took("settings", 1)
    record = step(
        propose(in_force(), "settings", 1, "bad", "ann", 3, "try"),
        1,
        "settings",
        2,
        Standing.GOING,
        4,
        "",
        1,
        ["h1"],
    )
    head.hear(10, record.revision)
    assert head.fetch(10) and head.fetched(11, record, 8)
    assert head.due()[0][1].number == 2  # type: ignore[union-attr]
    head.turned_down("settings", 2, "no such plan")
    assert (
        head.due() == [] and head.runs() == {"settings": 1} and head.taken["settings"].why == "no such plan"
    )


def test_a_fetch_that_brings_nothing_is_tried_again_ever_later_and_an_older_record_is_not_followed():
    head = Follower("h1")
    head.hear(0, 5)
    pauses = []
    now = 0
    for _ in range(8):
        assert head.fetch(now)
        head.fetched(now, None)
        pauses.append(head.fetch_at - now)
        now = head.fetch_at
    assert pauses == sorted(pauses) and pauses[0] == 500_000 and pauses[-1] == 10_000_000
    newer = in_force()
    assert head.fetch(now) and head.fetched(now, newer, 3)
    head.fetch(head.fetch_at)
    assert not head.fetched(now, Record(1), 9) and head.lost and head.record is newer


def test_heads_that_hear_of_two_records_of_one_revision_keep_the_same_one():
    one, other = in_force("a"), in_force("b")
    heads = [Follower("h1"), Follower("h2")]
    for head, order in zip(heads, ([(one, 1), (other, 2)], [(other, 2), (one, 1)]), strict=True):
        for record, digest in order:
            head.fetched(0, record, digest)
    assert heads[0].record == heads[1].record == other


def test_the_copy_on_disk_is_replaced_whole(tmp_path):
    cache = ChangesCache(str(tmp_path / "state"))
    assert cache.read() is None
    cache.write(encode(in_force("a")))
    cache.write(encode(in_force("b")))
    assert decode(cache.read()).in_force("settings").body == "b"  # type: ignore[union-attr,arg-type]
    assert [one.name for one in (tmp_path / "state").iterdir()] == ["changes"]
