"""Limits that change while a fleet runs: rule 7 holds at the nodes, and detects a head that ignores a change."""

from harriertrack.config.sexp import read_text
from harriertrack.gateway.head import Head
from harriertrack.lab.fleet import scenario
from harriertrack.lab.fleet.rig import simulate
from harriertrack.rules import budgets, changes, checker, recording as rec
from harriertrack.rules.run_history import RunHistory

DAY = """(fleet-day "limits"
  (processes 4) (rate 12) (hosts 4) (extent 32KiB) (limit 1) (limit-burst 200) (volumes 2)
  (figures (probe 300ms) (answer 150ms) (gossip 60ms) (sync 5s) (reach 1s) (recent 10s) (slack 3) (note 1s))
  (budgets (clock-error 0.01) (term 2s) (patience 1s) (budget limits (fixed 0.3)))
  (changes (look 300ms) (spread 500ms))
  (step start) (step agree (within 20s)) (step demand (times 4)) (step rest (for 4s))
  (step limit (who "head0") (times 0.3)) (step rest (for 1s))
  (step limit (times 0.3)) (step rest (for 8s))
  (step limit (times 2)) (step rest (for 3s)))"""


def run_day(seed=1):
    """Simulate the day and return its recording."""
    recorder = rec.Recorder(None)
    simulate(scenario.parse(read_text(DAY, "day"), "day"), 4, seed, recorder, True)
    return recorder.records


def test_all_heads_together_keep_to_a_limit_that_is_lowered_and_raised_while_they_run():
    records = run_day()
    assert checker.check(records) == budgets.check(records) == changes.check(records) == []
    applied = [one for one in records if isinstance(one, rec.VersionApplied)]
    assert not any(one.why for one in applied) and {one.head for one in applied} == {
        f"head{number}" for number in range(4)
    }
    facts = next(one for one in records if isinstance(one, rec.Facts))
    limit = facts.limits[0]
    changes_of_limit = [
        one for one in records if isinstance(one, rec.LimitChanged) and one.volume == limit.volume
    ]
    assert [round(one.rate / limit.rate, 3) for one in changes_of_limit] == [0.3, 2.0]
    story = RunHistory(records)
    first_attempts = [
        one[0] for one in story.attempts.values() if one[0].volume == limit.volume and one[0].kind != "flush"
    ]

    def sent(begin, end):
        """Return the units sent per second, as a multiple of the limit at the day's start."""
        return (
            sum(story.units(one) for one in first_attempts if begin <= one.t < end)
            * 1e6
            / (end - begin)
            / limit.rate
        )

    low, high = changes_of_limit[0].t, changes_of_limit[1].t
    assert 0.2 < sent(low, high) <= 0.3 and sent(high, high + 3_000_000) > 0.6


def test_a_head_that_reports_a_lower_limit_but_does_not_apply_it_is_detected(monkeypatch):
    monkeypatch.setattr(Head, "apply_settings", lambda self, settings: None)
    assert {one.rule for one in checker.check(run_day())} == {7}
