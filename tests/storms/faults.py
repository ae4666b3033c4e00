"""Faults seeded into the fleet's state machines, each of which a bounded number of storms has to find.

`python -m tests.storms.faults [NAME ...]` runs storms with each, and prints which seed found it by which rule.
"""

import sys
import time
from dataclasses import dataclass
from itertools import count, islice

from harriertrack.lab.fleet.storm import drawing, figures, playing
from tests.interleaving.faults import (
    BUDGETS,
    CLOSING,
    FOLLOWING,
    HOLDER,
    STORED_RECORD,
    LEDGER,
    TERMS,
    ZONES,
    Fault,
)

HEADS, LENGTH_US, MAX_STORMS = 4, 12_000_000, 12
SWIM = "membership.fleet.swim"
ROLLOUT = "decisions.fleet.rollout"
SCORING = "decisions.fleet.scoring"


@dataclass(frozen=True)
class Found:
    """The first storm, of those from seed 0 on, that found a fault, and the rules that it broke."""

    seed: int
    rules: tuple[str, ...]


FAULTS = (
    Fault("the dead are never found", "views", f"{SWIM}.suspects:SuspectTimers.run_out", "return over", "self.first_at = now + 10**9\n    return []"),
    Fault("nobody objects", "views", f"{SWIM}.updates:Updates._handle_own_record", "self.apply(now, member.updated_record(incarnation=record.incarnation + 1))", "pass"),
    Fault("a share is lent before it is back", "budgets", f"{LEDGER}:BudgetAccount.committed", "holding.committed", "holding.granted"),
    Fault("a term opens at once", "budgets", f"{TERMS}.handle_acquire", "now + earlier_us", "now"),
    Fault("a ledger ends leases early", "budgets", f"{BUDGETS}:BudgetRules.granter_lease_us", "lease_us * (1 + self.clock_error)", "lease_us * 0.2"),
    Fault("a share never lapses", "budgets", f"{HOLDER}._drop", "held.share.drop_leased(now)", "pass"),
    Fault("a restored record is left", "record", f"{STORED_RECORD}:restore", "stored.revision >= known.revision", "True"),
    Fault("a follower goes back", "record", f"{FOLLOWING}.finish_fetch",
          "newer = found is not None and (found.revision, digest) > (self.record.revision, self.digest)",
          "newer = found is not None"),
    Fault("what is newer is not fetched", "record", f"{FOLLOWING}.observe_revision", "if revision > max(self.highest_seen, self.record.revision):", "if False:"),
    Fault("a zone that is out stays out", "zones", f"{ZONES}.resume", "one.stage, returned_at, one.share", "one.stage, now + 10**9, one.share"),
    Fault("a head alone leaves a zone", "zones", f"{ZONES}.summarize", "if not any(one.responding for one in report.observations) and len(report.observations) != 1:", "if False:"),
    Fault("a fence opens in doubt", "closes", f"{CLOSING}.fences:Fence.state", "reading.high < after[0].at_us", "reading.low < after[0].at_us"),
    Fault("a close fires in doubt", "closes", f"{CLOSING}.fences:Fence.closes_to_purge", "min(reading.low, confirmed_until)", "min(reading.high, confirmed_until)"),
    Fault("slices are done untrimmed", "closes", f"{CLOSING}.sweeps:Sweep.done_slices", "if not extents", "if True"),
    Fault("one clock moves all", "closes", f"{CLOSING}.clocks:majority_interval", "if depth == enough and low is None:", "if depth >= enough:"),
    Fault("any number may be away", "rollouts", f"{ROLLOUT}.rollout:Rollout._name_heads", "select_next_away(wanted, self.away_heads(named, members), self.plan, members)", "wanted"),
    Fault("a stage ends unheard", "rollouts", f"{ROLLOUT}.rollout:Rollout._unmet_condition", "if missing > int(self.plan.missing * len(named)) or not running:", "if not running:"),
    Fault("two versions change at once", "rollouts", f"{ROLLOUT}.rollout:blocking_version", "if running is not None:", "if False:"),
    Fault("a version is never taken back", "rollouts", f"{ROLLOUT}.rollout:Rollout._continue_rollback", "VersionState.REVERTING", "VersionState.ADVANCING"),
    Fault("weights have no bound on bytes", "scores", "membership.fleet.topics:TopicNotes.refill", "min(self._rate, self._tokens + self._rate * max(0, now - self._refilled_at) / 1e6)", "10.0**9"),
)  # fmt: skip


def storm(seed, heads=HEADS):
    return drawing.draw(seed, heads, LENGTH_US, figures.usual(), playing.check)


def search(fault, max_storms=MAX_STORMS):
    """Return the first storm that finds a fault; None if the first `max_storms` with its part do not."""
    days = ((seed, storm(seed)) for seed in count())
    for seed, day in islice((one for one in days if exercises(one[1], fault.found_by)), max_storms):
        with fault.injected():
            verdict = playing.play_and_judge(day)
        if verdict.broken_rules and not playing.play_and_judge(day).broken_rules:
            return Found(seed, tuple(sorted(f"{what} {rule}" for what, rule in verdict.broken_rules)))
    return None


def exercises(day, by):
    """Whether a storm includes the part that a fault changes; without it the run is the same."""
    parts = {"views": True, "budgets": day.budgets, "record": day.changes, "zones": day.zones,
             "closes": day.closing, "scores": day.scoring,
             "rollouts": day.changes is not None and day.changes.rollout}  # fmt: skip
    return bool(parts[by])


if __name__ == "__main__":
    for one in FAULTS:
        if len(sys.argv) > 1 and one.name not in sys.argv[1:]:
            continue
        started_s = time.monotonic()
        print(f"{one.name}: {search(one)} in {time.monotonic() - started_s:.0f} s", flush=True)
