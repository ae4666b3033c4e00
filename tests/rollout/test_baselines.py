"""Heads store their baseline before a version, so that the next deciding head compares as the first did."""

from dataclasses import replace

import pytest

from harriertrack.config.sexp import read_text
from harriertrack.decisions.fleet.changes import operations
from harriertrack.decisions.fleet.changes.record import Record
from harriertrack.decisions.fleet.changes.version_state import VersionState
from harriertrack.decisions.fleet.rollout import controller
from harriertrack.decisions.fleet.rollout.baseline_filter import (
    AcceptedBaselines,
    ReportedBaseline,
    accept_baselines,
)
from harriertrack.decisions.fleet.rollout.answer_counts import Tally
from harriertrack.decisions.fleet.rollout.evidence import Evidence, Report, Usage
from harriertrack.decisions.fleet.rollout.plan import Plan, Stage
from harriertrack.decisions.fleet.rollout.baseline import Baseline, BaselineRecorder
from harriertrack.gateway.fleet.rollout.carrier import ended_on_request
from harriertrack.gateway.fleet.rollout.baseline_file import BaselineFile
from harriertrack.gateway.fleet.rollout.reports import ReportAssembler, MalformedReport, encode_baseline
from harriertrack.lab.fleet import scenario
from harriertrack.lab.fleet.rig import simulate
from harriertrack.lab.fleet.staged import ClassOutcomes, Regression, SECOND_US, RolloutSimulation
from harriertrack.membership.fleet.topic_datagrams import MAX_TOPIC_BODY
from harriertrack.membership.fleet.messages import Record as Member, State
from harriertrack.membership.fleet.view import View
from harriertrack.rules import recording as rec, rollout
from harriertrack.storage.changes import ChangesCache

QUICK = Plan(
    (Stage("one", heads=1, soak_us=20 * SECOND_US, least=100), Stage("half", share=0.5, soak_us=20 * SECOND_US, least=100),
     Stage("all", share=1.0, soak_us=20 * SECOND_US, least=0)), before_us=60 * SECOND_US, patience_us=400 * SECOND_US,
)  # fmt: skip
WORSE = Regression("write", failed=0.05, refused=0.05, late=0.05)


def fleet(seed: int = 1, heads: int = 6, **more: object) -> RolloutSimulation:
    return RolloutSimulation(
        heads,
        seed,
        QUICK,
        zones=1,
        rate=150.0,
        classes={"read": ClassOutcomes(0.65), "write": ClassOutcomes(0.35)},
        **{"uneven": 0.3, **more},
    )  # type: ignore[arg-type]


def tracked(one: RolloutSimulation):
    return next(iter(one.controller.tracked.values()))


@pytest.mark.parametrize("thing", ["settings", "program"])
def test_later_deciding_head_uses_the_same_baselines(thing: str) -> None:
    one, other = fleet(uneven=0.6), fleet(uneven=0.6)
    for each in (one, other):
        each.propose(thing)
        each.run(70)
    other.new_decider()
    for each in (one, other):
        each.run(30)
    mine, its = tracked(one).test.baseline, tracked(other).test.baseline
    assert len(its) == len(mine) == 12
    for key, tally in mine.items():
        assert its[key].answers == pytest.approx(tally.answers, rel=0.12), (
            "except for the settling time and lost reports"
        )
        if tally.refused > 100:
            assert its[key].refused / its[key].answers == pytest.approx(
                tally.refused / tally.answers, rel=0.2
            )
    assert all(
        usage.reports > 40 for usage in (head.baseline for head in tracked(other).evidence._heads.values())
    )


@pytest.mark.parametrize("second", [62, 70, 85, 100, 120])
def test_differing_heads_do_not_stop_a_good_version_after_a_takeover_in_any_step(second: int) -> None:
    one = fleet(seed=3, uneven=0.8)
    one.propose("settings")
    one.run(second)
    one.new_decider()
    assert one.run_until("settings", 900) is VersionState.IN_FORCE


@pytest.mark.parametrize("thing", ["settings", "program"])
def test_takeover_after_each_step_changes_only_the_duration(thing: str) -> None:
    one, bad = fleet(seed=4), fleet(seed=4, regressions={(thing, 1): WORSE})
    for each in (one, bad):
        each.propose(thing)
        steps: list[int] = []

        def look(_second: int, each: RolloutSimulation = each, steps: list[int] = steps) -> None:
            if len(each.history) != len(steps):
                steps.extend([0] * (len(each.history) - len(steps)))
                each.new_decider()

        each.run_until(thing, 1500, look)
    assert one.record.versions_of(thing)[0].standing is VersionState.IN_FORCE
    assert (
        bad.record.versions_of(thing)[0].standing is VersionState.STOPPED and max(bad.most_new.values()) == 1
    )


def test_baselines_of_fewer_than_half_of_the_heads_are_not_used() -> None:
    one = fleet(seed=5)
    for name in ("head0", "head1", "head2", "head3"):
        one.heads[name].tells = False
    one.propose("settings")
    one.run(65)
    one.new_decider()
    one.run(40)
    assert tracked(one).test.baseline == {}, "heads of an older program: compared as if all heads were alike"
    assert one.run_until("settings", 900) in (VersionState.IN_FORCE, VersionState.PAUSED)


def test_baseline_reported_tenfold_does_not_let_a_bad_version_pass() -> None:
    ends = []
    for seed in range(4):
        one = fleet(seed=seed, regressions={("settings", 1): Regression("write", failed=0.02)}, uneven=0.2)
        one.propose("settings")
        one.run(62)
        named = one.record.in_progress("settings")
        assert named is not None and len(named.heads) == 1
        faulty = one.heads[named.heads[0]]
        faulty.lies = 10.0
        one.new_decider()
        one.run(90)
        going = one.record.in_progress("settings")
        assert going is not None and going.stage == 1, "no stage ends by this head alone"
        assert f"as 6 of 6 heads tell it; not {faulty.name}, " in one.controller.status_lines(one.record)[0]
        others = tuple(name for name in one.heads if name != one.decider)[:3]
        one.record = operations.set_state(one.record, one.epoch, "settings", 1, VersionState.ADVANCING, 1, "the others show it", 2,
                                  tuple({faulty.name, *others}))  # fmt: skip
        ends.append(one.run_until("settings", 280))
    assert ends == [VersionState.STOPPED] * 4


def test_baseline_of_another_period_is_not_used() -> None:
    one = fleet(seed=6)
    one.propose("settings")
    one.run(20)
    suspended = one.heads["head3"]
    suspended.asleep = True
    one.run(60)
    suspended.asleep = False
    one.run(1)
    assert suspended.reported_baseline(one.now) is None, "it was suspended when the baseline period ended"

    reported = {
        f"head{number}": ReportedBaseline(
            100 * SECOND_US, Baseline("settings", 1, 0, {"read": Tally(1000, 10, 10, 1)})
        )
        for number in range(5)
    }
    week = ReportedBaseline(-600_000 * SECOND_US, Baseline("settings", 1, 0, {"read": Tally(10, 900, 10, 1)}))
    found = accept_baselines({**reported, "late": week}, {*reported, "late"}, 0.01)
    assert {head for head, _ in found.counts} == set(reported) and not found.outliers
    assert (
        accept_baselines({"late": week, "head0": reported["head0"]}, ["a", "late", "head0"], 0.01).counts
        == {}
    )


def test_far_worse_baseline_is_an_outlier_unless_it_has_few_answers() -> None:
    def baselines(**rates: int) -> dict[str, ReportedBaseline]:
        return {
            name: ReportedBaseline(0, Baseline("s", 1, 0, {"read": Tally(10_000 - bad, 0, bad, 0)}))
            for name, bad in rates.items()
        }

    assert set(accept_baselines(baselines(a=100, b=120, c=90, d=1000), "abcd", 0.01).outliers) == {"d"}
    assert not accept_baselines(baselines(a=100, b=120, c=90, d=5), "abcd", 0.01).outliers, (
        "a better baseline does not favour the version"
    )
    assert not accept_baselines(baselines(a=100, b=120, c=90, d=300), "abcd", 0.01).outliers
    assert not accept_baselines(baselines(a=100, b=1000), "ab", 0.01).outliers, (
        "of two heads it can't be said which is the outlier"
    )
    few = {
        name: ReportedBaseline(0, Baseline("s", 1, 0, {"read": Tally(10 - bad, 0, bad, 0)}))
        for name, bad in (("a", 0), ("b", 0), ("c", 3))
    }
    assert not accept_baselines(few, "abc", 0.01).outliers
    slow = baselines(a=100, b=120, c=90, d=100)
    for name, one in slow.items():
        one.baseline.classes["read"].latency_counts[:] = (
            [0, 0, 9000, 0, 900 if name == "d" else 0] if name != "d" else [0, 0, 900, 0, 9000]
        )
        one.baseline.classes["read"].latency_counts.extend([0] * 11)
    assert set(accept_baselines(slow, "abcd", 0.01).outliers) == {"d"}


def test_baseline_covers_exactly_the_time_from_proposal_to_first_named_head() -> None:
    record, counts = Record(), {"read": Tally()}
    one = BaselineRecorder(0)

    def second(at: int, now: Record) -> bool:
        counts["read"].timely += 10
        return one.update(at * SECOND_US, now, counts, 5 << 20, at * 100)

    for at in range(20):
        second(at, record)
    proposed = operations.propose(record, "settings", 0, "b", "ann", 1, "a change")
    for at in range(20, 50):
        assert not second(at, proposed)
    named = operations.set_state(
        proposed, 1, "settings", 1, VersionState.ADVANCING, 1, "stage one", 1, ("a",)
    )
    assert second(50, named) and not second(51, named)
    baseline = one.current(60 * SECOND_US)
    assert baseline is not None and (baseline.number, baseline.ago_us, baseline.classes["read"].timely) == (
        1,
        10 * SECOND_US,
        300,
    )
    assert baseline.usage == Usage(5 << 20, 3000, 300, 30)
    assert not second(61, operations.set_state(named, 1, "settings", 1, VersionState.IN_FORCE, 1, "all", 1))
    assert one.current(61 * SECOND_US) is None, "the version is no longer in progress"
    assert not BaselineRecorder(0).update(6 * SECOND_US, named, counts), (
        "it did not observe the baseline period"
    )


def test_baseline_does_not_begin_while_another_version_goes_first() -> None:
    both = operations.propose(
        operations.propose(Record(), "program", 0, "b", "ann", 1, "w"), "settings", 0, "b", "ann", 1, "w"
    )
    going = operations.set_state(both, 1, "program", 1, VersionState.ADVANCING, 1, "one", 1, ("a",))
    one = BaselineRecorder(0)
    for at in range(10, 20):
        one.update(at * SECOND_US, both, {"read": Tally(at)})
    assert one.update(20 * SECOND_US, going, {"read": Tally(20)})
    assert one.current(20 * SECOND_US).thing == "program"  # type: ignore[union-attr]
    done = operations.set_state(going, 1, "program", 1, VersionState.IN_FORCE, 1, "all", 1)
    assert not one.update(21 * SECOND_US, done, {"read": Tally(21)}) and one.current(21 * SECOND_US) is None
    assert one.update(
        23 * SECOND_US,
        operations.set_state(done, 1, "settings", 1, VersionState.ADVANCING, 1, "one", 1, ("a",)),
        {"read": Tally(29)},
    )
    assert one.current(23 * SECOND_US).classes["read"].timely == 8  # type: ignore[union-attr]


# -- encoding, and storage on disk


def test_baseline_report_fits_and_round_trips() -> None:
    many = {f"class-{number}": Tally(number, 1, 2, 3, 4, [number] * 16) for number in range(40)}
    before = Baseline("scorer/near", 7, 5 * SECOND_US, many, Usage(1 << 30, 99, 0, 12))
    data = encode_baseline(3, before)
    assert len(data) <= MAX_TOPIC_BODY
    back = ReportAssembler("a").handle_report(data)
    assert isinstance(back, Baseline) and (back.thing, back.number, back.ago_us) == (
        "scorer/near",
        7,
        5 * SECOND_US,
    )
    assert set(back.classes) == {f"class-{number}" for number in range(40 - len(back.classes), 40)}, (
        "the busiest classes"
    )
    assert all(back.classes[name] == many[name] for name in back.classes)
    for bad in (data[:-1], b"", b"\x93\x02\x01\x01"):
        with pytest.raises(MalformedReport):
            ReportAssembler("a").handle_report(bad)


def test_stored_baseline_survives_a_restart_and_damage_counts_as_none(tmp_path) -> None:
    notes: list[str] = []
    store = BaselineFile(ChangesCache(str(tmp_path)), lambda event, **_fields: notes.append(event))
    before = Baseline("program", 2, 0, {"read": Tally(9, 1)}, Usage(1, 2, 10, 3))
    assert store.read(5) is None and not notes
    store.write(1000 * SECOND_US, before)
    again = BaselineFile(ChangesCache(str(tmp_path)), lambda event, **_fields: notes.append(event))
    assert again.read(1030 * SECOND_US) == replace(before, ago_us=30 * SECOND_US)
    one = BaselineRecorder(0)
    one.restore(5 * SECOND_US, again.read(1030 * SECOND_US))  # type: ignore[arg-type]
    proposed = operations.propose(Record(), "program", 0, "b", "ann", 1, "w")
    one.update(5 * SECOND_US, Record(), {})
    assert one.current(5 * SECOND_US) is not None, "the record has not been received yet"
    one.update(5 * SECOND_US, proposed, {})
    assert one.current(5 * SECOND_US) is None, "that version is not in progress"
    going = replace(proposed.versions[0], number=2, standing=VersionState.ADVANCING, heads=("a",))
    one.restore(5 * SECOND_US, again.read(1030 * SECOND_US))  # type: ignore[arg-type]
    assert not one.update(6 * SECOND_US, Record(revision=2, versions=(going,)), {})
    assert one.current(10 * SECOND_US).ago_us == 35 * SECOND_US  # type: ignore[union-attr]
    one.restore(5 * SECOND_US, again.read(10 * SECOND_US))  # type: ignore[arg-type]
    assert one.current(10 * SECOND_US).ago_us == 35 * SECOND_US, (
        "the clock went back: the stored baseline is not usable"
    )  # type: ignore[union-attr]
    (tmp_path / "before").write_bytes(b"x" * 40)
    assert again.read(1030 * SECOND_US) is None and notes == ["rollout: what was kept of before is of no use"]


# -- requested exits


def test_requested_exits_are_not_crashes() -> None:
    evidence = Evidence("settings", 1, 0)
    for at, incarnation in ((0, 1), (60, 2), (120, 3), (180, 4)):
        evidence.add_report(
            at * SECOND_US, Report("a", incarnation, {"settings": 1}, {}), "z0", stopped={1, 3}
        )
    assert evidence.crash_counts() == (1, 0)


def test_member_that_left_exited_on_request_and_a_dead_one_did_not() -> None:
    def member(started: int, instance: int, state: State) -> Member:
        return Member("a", started, instance, 0, state, "127.0.0.1", 1, "", "z0", "")

    view = View()
    for record in (member(1, 11, State.ALIVE), member(1, 11, State.LEFT), member(2, 22, State.ALIVE), member(2, 22, State.DEAD),
                   member(3, 33, State.ALIVE)):  # fmt: skip
        view.apply(0, record)
    assert ended_on_request(view.find("a")) == {11}
    assert ended_on_request(view.find("b")) == frozenset()


DAY = """(fleet-day "successor"
  (processes 4) (shelves 3) (rate 6) (hosts 3)
  (figures (probe 600ms) (answer 300ms) (gossip 100ms) (sync 5s) (reach 1s) (recent 10s) (slack 4) (note 1s))
  (budgets (clock-error 0.01) (term 4s) (patience 1s) (budget cold (fixed 0.3)))
  (changes (look 300ms) (spread 300ms) (rollout (report 500ms) (look 500ms)))
  (launched yes) (end "program" (version 1))
  (step start) (step agree (within 20s)) (step rest (for 8s))
  (step propose (thing "program") (body "(program \\"good\\")")
    (plan "(plan (before 6s) (settle 1s) (ready 20s) (stage \\"all\\" (share 1) (soak 8s) (least 0)))"))
  (step decided (thing "program") (within 200s)) (step rest (for 2s)))"""


def test_restarted_heads_report_their_baseline_to_the_next_deciding_head(
    monkeypatch,
) -> None:
    found, accept = [], controller.accept_baselines

    def accept_and_record(*reported: object) -> AcceptedBaselines:
        found.append(accept(*reported))  # type: ignore[arg-type]
        return found[-1]

    monkeypatch.setattr(controller, "accept_baselines", accept_and_record)
    recorder = rec.Recorder()
    simulate(scenario.parse(read_text(DAY, "day"), "day"), 4, 1, recorder)
    assert rollout.check(recorder.records) == []
    deciders = {one.by for one in recorder.records if isinstance(one, rec.RolloutStep)}
    assert len(deciders) == 2, "the deciding head restarts last, and its successor completes the rollout"
    assert {head for head, _ in found[-1].counts} == {"head0", "head1", "head2", "head3"}
