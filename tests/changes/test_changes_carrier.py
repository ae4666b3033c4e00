"""The record of changes across heads: simulated days, writes through the witness, and operator commands."""

import msgspec
import pytest
from click.testing import CliRunner

from harriertrack.config.settings import check_head
from harriertrack.config.sexp import SettingsError
from harriertrack.decisions.fleet.changes.follower import Follower
from harriertrack.decisions.fleet.changes.record import Record
from harriertrack.decisions.fleet.changes.operations import ChangeConflict, ChangeRefused, propose
from harriertrack.gateway.fleet.changes import stored_record
from harriertrack.gateway.fleet.changes.carrier import Changes
from harriertrack.gateway.witness import WitnessClient
from harriertrack.lab.fleet import scenario
from harriertrack.lab.fleet.rig import simulate
from harriertrack.membership.fleet.change_record import PATH, DamagedRecord
from harriertrack.rules import changes as rules, recording as rec
from harriertrack.runtime.hub import Hub
from harriertrack.runtime.memory_streams import MemoryNetwork
from harriertrack.standin.witness import Witness


def day(seed=1):
    plan = scenario.load("changes-record")
    recorder = rec.Recorder()
    simulate(plan, plan.processes, seed, recorder)
    return recorder.records


def test_all_heads_converge_on_one_record_through_a_partition_a_restart_and_a_restored_witness():
    records = day()
    assert rules.check(records) == []
    last = {one.head: one.revision for one in records if isinstance(one, rec.ChangeRecordApplied)}
    assert len(last) == 6 and len(set(last.values())) == 1
    assert max(last.values()) >= 5, "written back above the lost revision, and one more"


def test_the_rules_find_a_fleet_that_leaves_a_restored_witness_as_it_is(monkeypatch):
    monkeypatch.setattr(stored_record, "restore", lambda *_: None)
    assert 5 in {one.rule for one in rules.check(day())}


def test_the_rules_find_a_head_that_follows_an_older_record(monkeypatch):
    def any_record(self, now, found, digest=0):
        self.fetching, changed = False, found is not None and digest != self.digest
        if changed:
            self.record, self.digest = found, digest
        self.fetch_at = now + 1_000_000
        return changed

    monkeypatch.setattr(Follower, "finish_fetch", any_record)
    assert 2 in {one.rule for one in rules.check(day())}


def test_the_rules_find_heads_that_ignore_announcements_and_the_witness(monkeypatch):
    monkeypatch.setattr(Changes, "_handle_announcement", lambda *_: None)
    monkeypatch.setattr(Changes, "handle_member_note", lambda *_: None)
    assert 4 in {one.rule for one in rules.check(day())}


def went(t, head, revision, digest=5, version=1):
    return rec.ChangeRecordApplied(
        t=t, head=head, revision=revision, digest=digest, epoch=0, latest={"settings": version}
    )


BEGUN = [rec.MemberLifecycle(t=0, member=name, how="started") for name in ("a", "b")] + [
    rec.VersionProposed(t=1, thing="settings", version=1, standing="proposed"),
    went(2, "a", 1),
]


@pytest.mark.parametrize(("more", "broken"), [
    ([went(3, "b", 1)], []),
    ([went(3, "b", 1, 6)], [1]),
    ([went(3, "b", 2, 6)], [4]),
    ([went(3, "b", 2, 6), went(4, "b", 1)], [2, 4, 4]),
    ([], [4]),
    ([rec.MemberLifecycle(t=3, member="b", how="killed")], []),
    ([went(3, "b", 1), rec.VersionApplied(t=4, head="b", thing="settings", version=2)], [3]),
    ([went(3, "b", 1), rec.VersionApplied(t=4, head="b", thing="settings", version=2, why="no")], []),
    ([went(3, "b", 1), rec.VersionProposed(t=4, thing="settings", version=2, standing="proposed")], [5, 5]),
])  # fmt: skip
def test_the_rules_find_exactly_these_breaches(more, broken):
    assert [one.rule for one in rules.check([*BEGUN, *more])] == broken


class World:
    """A witness and a client of it, in simulated time."""

    def __init__(self):
        self.hub = Hub.virtual(1)
        self.network = MemoryNetwork(self.hub)
        self.witness = Witness(self.hub, self.network)

    def play(self, main):
        def run():
            with self.hub.scope("world") as scope:
                self.witness.start(scope)
                main(WitnessClient(self.hub, self.network, self.witness.address, 1_000_000, "operator"))
                scope.cancel()

        self.hub.run(run)


def proposal(body, base=0):
    return lambda record: propose(record, "settings", base, body, "ann", 1, "a reason")


def test_of_two_concurrent_proposals_one_wins_and_the_other_gets_the_difference():
    def main(client):
        def after_another(record):
            if not record.versions:
                stored_record.write(client, proposal("theirs"))
            return proposal("mine")(record)

        with pytest.raises(ChangeConflict) as conflict:
            stored_record.write(client, after_another)
        assert conflict.value.difference[1:] == ["-theirs", "+mine"]
        assert stored_record.read(client).record.in_progress("settings").body == "theirs"

    World().play(main)


def test_a_writer_that_always_loses_the_race_gives_up_with_an_error():
    def main(client):
        tries = []

        def always_late(record):
            tries.append(record.revision)
            client.put(PATH, stored_record.encode(record.with_versions([])))
            return record.with_versions([])

        with pytest.raises(stored_record.WriteConflict):
            stored_record.write(client, always_late)
        assert len(tries) == stored_record.TRIES

    World().play(main)


def test_a_damaged_record_is_reported_and_written_back_but_never_over_a_newer_one():
    def main(client):
        known = stored_record.write(client, proposal("one")).record
        client.put(PATH, b"rubbish")
        with pytest.raises(DamagedRecord):
            stored_record.write(client, proposal("two"))
        back = stored_record.restore(client, known)
        assert back.record.versions == known.versions and back.record.revision == known.revision + 1
        assert stored_record.restore(client, known) is None
        with pytest.raises(ChangeRefused):
            stored_record.write(client, proposal("two", base=3))

    World().play(main)


def test_changes_need_a_witness():
    from tests.test_fleet_zones import head

    with pytest.raises(SettingsError, match="changes: needs budgets"):
        check_head(head('(heads 4)(fleet "a" (listen "127.0.0.1" 7946) (changes))'), "x")


def test_operators_get_an_error_for_unreadable_files(tmp_path):
    from harriertrack.cli.main import main

    found = CliRunner().invoke(
        main,
        [
            "fleet",
            "propose",
            "settings",
            str(tmp_path / "none"),
            "--settings",
            str(tmp_path / "none"),
            "--why",
            "x",
        ],
    )
    assert found.exit_code == 2 and "can't be read" in found.output


def test_a_note_lists_running_versions_within_its_size_limit():
    from harriertrack.decisions.fleet.changes.follower import AppliedVersion
    from harriertrack.membership.fleet.messages import MAX_NOTE
    from harriertrack.membership.fleet.status_document import ActivityNote, parse_member_note

    one = Changes.__new__(Changes)
    one._follower = Follower("h")
    one._follower.record = Record(revision=1 << 40)
    one._follower.applied = {
        f"calendar/{'x' * 40}{number}": AppliedVersion(running=7) for number in range(20)
    } | {"settings": AppliedVersion(running=3)}
    data = one.member_note(ActivityNote(9, 9, 9, 9))
    told = parse_member_note(data)
    assert len(data) <= MAX_NOTE and told.record == 1 << 40 and told.runs["settings"] == 3


def test_a_note_of_a_member_without_a_record_has_no_new_fields():
    from harriertrack.membership.fleet.status_document import ActivityNote

    assert set(msgspec.msgpack.decode(msgspec.msgpack.encode(ActivityNote()))) == {
        "volumes",
        "open",
        "taken",
        "refused",
    }
