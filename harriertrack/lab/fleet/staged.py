"""Simulated rollouts over heads that only answer and report, to test the controller and measure error rates.

Advances in steps of a second: heads draw random outcomes of requests, report, and follow the record; then the
rollout controller runs. Heads change as in service: settings apply at once, programs after a restart. Callers
inject faults with a callback for each second. There are no sockets; a variable holds the record, as if at
a witness that is always reachable.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass, field, replace
from zlib import crc32

import numpy as np

from harriertrack.decisions.fleet.changes import operations
from harriertrack.decisions.fleet.changes.record import Kind, Record, Version, kind_of
from harriertrack.decisions.fleet.changes.version_state import FINISHED, VersionState
from harriertrack.decisions.fleet.rollout.answer_counts import LATENCY_BUCKETS, Tally
from harriertrack.decisions.fleet.rollout.baseline import Baseline, BaselineRecorder
from harriertrack.decisions.fleet.rollout.controller import HeadLocation, RolloutController
from harriertrack.decisions.fleet.rollout.evidence import Report
from harriertrack.decisions.fleet.rollout.plan import DEFAULT_PLAN, Plan

SECOND_US = 1_000_000
# Share of served requests in each latency bucket.
LATENCY_SHARES = np.array([0.02, 0.10, 0.40, 0.30, 0.10, 0.05, 0.03] + [0.0] * (LATENCY_BUCKETS - 7))


@dataclass(frozen=True, slots=True)
class ClassOutcomes:
    """Outcome rates of a class's requests at a head."""

    share: float  # of the head's requests
    refused: float = 0.01
    failed: float = 0.001
    late: float = 0.01
    slower: int = 0  # latency buckets by which requests are slower

    def worsened(self, by: Regression) -> ClassOutcomes:
        """Return the rates at a head that runs a bad version."""
        return replace(self, refused=self.refused + by.refused, failed=self.failed + by.failed,
                       late=self.late + by.late, slower=self.slower + by.slower)  # fmt: skip


@dataclass(frozen=True, slots=True)
class Regression:
    """Damage of a bad version to one class, as shares of its requests; no class name: to all classes."""

    class_name: str = ""
    refused: float = 0.0
    failed: float = 0.0
    late: float = 0.0
    slower: int = 0
    zone: str = ""  # only in this zone
    falls: bool = False  # the version does not become ready: the head returns with the old one


@dataclass(slots=True)
class StagedHead:
    """The state of a simulated head."""

    name: str
    zone: str
    volumes: frozenset[int]
    quality: float  # factor on the usual rates of bad outcomes at this head
    instance: int = 1
    runs: dict[str, int] = field(default_factory=dict)
    fell: dict[str, tuple[int, str]] = field(default_factory=dict)
    classes: dict[str, Tally] = field(default_factory=dict)
    away_until: int = 0  # end of its restart with another program
    dead: bool = False
    cut: bool = False  # isolated: neither receives the record nor reports, but serves requests
    absent_since_us: int = -1
    becomes: tuple[str, int] | None = None  # the thing and version that it restarts with
    clump: float = 1.0  # drifting factor on its rates of bad outcomes, see `clumps`
    tells: bool = True  # it sends its baseline; a head of an older program does not
    lies: float = 1.0  # factor by which the baseline that it sends overstates bad outcomes
    asleep: bool = False  # suspended: it does nothing
    baseline_recorder: BaselineRecorder = field(default_factory=lambda: BaselineRecorder(0))
    record: Record = field(default_factory=Record)

    @property
    def serves(self) -> bool:
        """Whether it answers requests."""
        return not self.dead and not self.asleep and self.becomes is None

    def restarted(self, now: int) -> None:
        """Start a new process instance; only the baseline, which is stored on disk, is retained."""
        stored = self.baseline_recorder.current(now)
        self.instance, self.classes, self.baseline_recorder = self.instance + 1, {}, BaselineRecorder(now)
        if stored is not None:
            self.baseline_recorder.restore(now, stored)

    def reported_baseline(self, now: int) -> Baseline | None:
        """Return the baseline of the old version that the head sends, if it sends any."""
        baseline = self.baseline_recorder.current(now)
        if baseline is None or not self.tells:
            return None
        return replace(
            baseline, classes={name: _falsify(tally, self.lies) for name, tally in baseline.classes.items()}
        )


def _falsify(tally: Tally, factor: float) -> Tally:
    late, refused, failed = (round(factor * count) for count in (tally.late, tally.refused, tally.failed))
    timely = max(0, tally.answers - late - refused - failed)
    return Tally(timely, late, refused, failed, tally.past_deadline, list(tally.latency_counts))


USUAL_OUTCOMES = {"read": ClassOutcomes(0.6), "write": ClassOutcomes(0.35), "list": ClassOutcomes(0.05)}


class RolloutSimulation:
    """A simulated fleet, its record of changes and the head that decides."""

    def __init__(self, heads: int, seed: int, plan: Plan | None = None, zones: int = 3, hosts: int = 3,
                 rate: float = 25.0, clumps: float = 0.0, uneven: float = 0.3, lost: float = 0.02,
                 regressions: dict[tuple[str, int], Regression] | None = None, restart_s: int = 8,
                 classes: dict[str, ClassOutcomes] | None = None, report_s: int = 1) -> None:  # fmt: skip
        self.random = np.random.default_rng(seed)
        self.plan, self.rate, self.clumps, self.lost, self.restart_s = plan, rate, clumps, lost, restart_s
        self.outcomes = classes or USUAL_OUTCOMES
        self.regressions = regressions or {}
        self.report_s = report_s
        self.record, self.now, self.epoch = Record(), 0, 1
        volumes_by_head: dict[int, set[int]] = {}
        for volume in range(heads):
            for step in range(min(hosts, heads)):
                volumes_by_head.setdefault((volume + step) % heads, set()).add(crc32(f"vol{volume}".encode()))
        self.heads = {
            f"head{number}": StagedHead(
                f"head{number}", f"z{number % zones}", frozenset(volumes_by_head.get(number, ())),
                float(np.exp(self.random.normal(0.0, uneven))),
            )
            for number in range(heads)
        }  # fmt: skip
        self.decider = next(iter(self.heads))
        self.controller = RolloutController(self.plan_of)
        self.history: list[tuple[int, Version]] = []
        self.harmed = 0.0  # expected number of requests that a bad version made worse
        self.most_new: dict[tuple[int, int], int] = {}  # most heads on a new version, by version and stage
        self.most_away = 0  # most heads that restarted at the same time
        self.fleetwide = 1.0  # factor on the rates of bad outcomes at all heads
        self.changed: Callable[[RolloutSimulation], None] = lambda _fleet: None

    def plan_of(self, version: Version) -> Plan:
        """Return the rollout plan of a version."""
        return self.plan or DEFAULT_PLAN

    def propose(self, thing: str, body: str = "b", why: str = "a change", although: str = "") -> None:
        """Propose a version based on the one in force."""
        in_force = self.record.in_force(thing)
        base = in_force.number if in_force is not None else 0
        self.record = operations.propose(self.record, thing, base, body, "lab", self.now // 1000, why, "",
                                      although)  # fmt: skip

    def new_decider(self, name: str = "") -> None:
        """Make another head the decider, whose controller knows nothing but the record."""
        others = [head.name for head in self.heads.values() if head.serves and head.name != self.decider]
        self.decider, self.epoch = name or others[0], self.epoch + 1
        self.controller = RolloutController(self.plan_of)

    def run(self, seconds: int, each: Callable[[int], None] = lambda _second: None) -> None:
        """Let time pass; `each` is called before every second."""
        for second in range(seconds):
            self.now += SECOND_US
            each(second)
            self._simulate_second()

    def run_until(self, thing: str, most_s: int, each: Callable[[int], None] = lambda _second: None,
              more: Collection[VersionState] = ()) -> VersionState:  # fmt: skip
        """Run until a thing's newest version is finished, in force or in a state of `more`, or for `most_s`.

        Return its state.
        """
        done = {*FINISHED, VersionState.IN_FORCE, *more}
        for second in range(most_s):
            self.now += SECOND_US
            each(second)
            self._simulate_second()
            if self.record.versions_of(thing)[-1].standing in done:
                break
        return self.record.versions_of(thing)[-1].standing

    def _simulate_second(self) -> None:
        for head in self.heads.values():
            self._apply_changes(head)
            if head.serves:
                self._simulate_requests(head)
        decider = self.heads[self.decider]
        if not decider.serves:
            self.new_decider()
            decider = self.heads[self.decider]
        for head in self.heads.values():
            reachable = head.serves and not head.cut and not decider.cut
            if reachable and self.now // SECOND_US % self.report_s == 0 and self.random.random() >= self.lost:
                classes = {}
                for name, tally in head.classes.items():
                    classes[name] = Tally()
                    classes[name].add(tally)
                report = Report(
                    head.name, head.instance, dict(head.runs), classes, 100 << 20, 0, dict(head.fell), 1
                )
                self.controller.add_report(self.now, report, head.volumes, head.zone)
                if (baseline := head.reported_baseline(self.now)) is not None:
                    self.controller.add_baseline(self.now, head.name, baseline)
            if reachable or (head is decider):
                head.absent_since_us = -1
            elif head.absent_since_us < 0:
                head.absent_since_us = self.now
        locations = {
            head.name: HeadLocation(
                head.zone, absent_us=self.now - head.absent_since_us if head.absent_since_us >= 0 else -1
            )
            for head in self.heads.values()
        }
        for step in self.controller.next_steps(self.now, self.record, locations, self.decider):
            if not decider.cut:
                self.record = step.apply(self.record, self.epoch, self.now // 1000)
                self.history.append((self.now, self.record.find(step.version.thing, step.version.number)))  # type: ignore[arg-type]
        self._update_maxima()

    def _apply_changes(self, head: StagedHead) -> None:
        """Finish a restart, then follow the record as a head does that can reach it."""
        if head.dead or head.asleep:
            return
        if head.becomes is not None:
            if self.now < head.away_until:
                return
            thing, number = head.becomes
            head.becomes = None
            head.restarted(self.now)
            if self.regressions.get((thing, number), Regression()).falls:
                head.fell[thing] = (number, "not ready in time")
            else:
                head.runs[thing] = number
                head.fell.pop(thing, None)
        if not head.cut:
            head.record = self.record
        head.baseline_recorder.update(self.now, head.record, head.classes)
        for thing in {*head.record.things(), *head.runs}:
            wanted = head.record.version_for(thing, head.name)
            number = wanted.number if wanted is not None else 0
            if number == head.runs.get(thing, 0) or number == head.fell.get(thing, (0, ""))[0] != 0:
                continue
            if kind_of(thing) is Kind.PROGRAM:
                head.becomes, head.away_until = (thing, number), self.now + self.restart_s * SECOND_US
                return
            head.runs[thing] = number

    def _simulate_requests(self, head: StagedHead) -> None:
        if self.clumps:  # the rates of bad outcomes drift independently at each head
            head.clump = float(np.exp(0.9 * np.log(head.clump) + self.random.normal(0.0, self.clumps)))
        factor = head.quality * head.clump * self.fleetwide
        regressions = [self.regressions[run] for run in head.runs.items() if run in self.regressions]
        for name, usual in self.outcomes.items():
            n = int(self.random.poisson(self.rate * usual.share))
            actual = usual
            for regression in regressions:
                if regression.class_name in ("", name) and regression.zone in ("", head.zone):
                    actual = actual.worsened(regression)
                    self.harmed += n * (regression.refused + regression.failed + regression.late)
            rates = (usual.refused * factor, usual.failed * factor, usual.late * factor)
            added = (actual.refused - usual.refused, actual.failed - usual.failed, actual.late - usual.late)
            shares = [min(0.3, rate + more) for rate, more in zip(rates, added, strict=True)]
            refused, failed, late, timely = self.random.multinomial(n, [*shares, max(0.0, 1 - sum(shares))])
            tally = head.classes.setdefault(name, Tally())
            served = self.random.multinomial(late + timely, LATENCY_SHARES)
            counts = [0] * actual.slower + [int(count) for count in served]
            counts = [*counts[: LATENCY_BUCKETS - 1], sum(counts[LATENCY_BUCKETS - 1 :])]
            tally.add(Tally(int(timely), int(late), int(refused), int(failed), 0, counts))

    def _update_maxima(self) -> None:
        for thing in self.record.things():
            version = self.record.in_progress(thing)
            if version is not None:
                new = sum(head.runs.get(thing, 0) == version.number for head in self.heads.values())
                key = (version.number, version.stage)
                self.most_new[key] = max(self.most_new.get(key, 0), new)
        self.most_away = max(self.most_away, sum(head.becomes is not None for head in self.heads.values()))
        self.changed(self)
