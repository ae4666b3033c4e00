"""Rollout of a new scorer: one that loses its vote at its first head is stopped."""

from harriertrack.config.sexp import read_text
from harriertrack.lab.fleet import scenario
from harriertrack.lab.fleet.rig import simulate
from harriertrack.rules import recording as rec, rollout, scoring

DAY = """(fleet-day "scorer"
  (processes 3) (shelves 3) (rate 6) (shared 0)
  (figures (probe 600ms) (answer 300ms) (gossip 100ms) (sync 5s) (reach 1s) (recent 10s) (slack 4) (note 1s))
  (budgets (clock-error 0.01) (term 8s) (patience 2s) (budget cold (fixed 0.3)))
  (changes (look 300ms) (spread 300ms) (rollout (report 500ms) (look 500ms)))
  (scoring (tell 500ms) (scorer "least-latency"))
  (end "scorer/broken-nan" (version 0))
  (step start) (step agree (within 20s)) (step rest (for 3s))
  (step propose (thing "scorer/broken-nan") (body "(scorer \\"broken-nan\\")")
    (plan "(plan (before 5s) (settle 2s) (stage \\"one\\" (heads 1) (soak 60s)) (stage \\"all\\" (share 1) (least 0)))"))
  (step decided (thing "scorer/broken-nan") (within 40s)) (step rest (for 2s)))"""


def test_scorer_that_loses_its_vote_at_the_first_head_is_stopped() -> None:
    day = scenario.parse(read_text(DAY, "day"), "day")
    recorder = rec.Recorder()
    simulate(day, 3, 1, recorder)
    assert rollout.check(recorder.records) == [] and scoring.check(recorder.records) == []
    steps = [one for one in recorder.records if isinstance(one, rec.RolloutStep)]
    assert [one.standing for one in steps] == ["going", "back", "back", "stopped"]
    assert len(steps[0].heads) == 1 and "it has no vote, " in steps[-1].why
