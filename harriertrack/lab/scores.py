"""What a run was worth, from its recording alone: worth by plan and class, latency, limits, fairness, costs.

A request is worth its class's worth times its plan's price if it is served by its aim, the class's late part
of that if it is served later, and nothing otherwise. What a client asks anew after a refusal or failure earns
for the request that it repeats: the share is what was earned of what first tries could have earned.
"""

from __future__ import annotations

import base64
from collections import Counter, defaultdict
from collections.abc import Iterable

import msgspec
import numpy as np
from hdrh.histogram import HdrHistogram

from harriertrack.config.settings import ClassSettings, PlanSettings, VolumeSettings
from harriertrack.decisions.splitting import units_of
from harriertrack.lab.day import DaySettings
from harriertrack.lab.rig import classes_of, plans_of, volumes_of
from harriertrack.rules import checker, recording as rec

STEP_US = 500_000
LOWEST_US, HIGHEST_US, DIGITS = 1, 600_000_000, 3
QUANTILES = (50.0, 90.0, 99.0, 99.9)


def histogram() -> HdrHistogram:
    """Return an empty histogram of microseconds, to three digits, up to ten minutes."""
    return HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)


def encode_histogram(filled: HdrHistogram) -> str:
    """Return a histogram as text."""
    encoded = filled.encode()
    return (encoded if isinstance(encoded, bytes) else base64.b64encode(encoded)).decode()


def decode_histogram(text: str) -> HdrHistogram:
    """Return the histogram of a text. Raises ValueError if it is none."""
    try:
        return HdrHistogram.decode(text.encode())
    except Exception as error:  # the library raises its own and zlib's, by what is wrong
        raise ValueError(f"not a histogram: {error}") from error


class Earned(msgspec.Struct, kw_only=True):
    """What one group of requests earned of what it could."""

    possible: float = 0.0
    earned: float = 0.0
    asked: int = 0  # first tries
    served: int = 0
    in_aim: int = 0
    refused: int = 0
    failed: int = 0

    @property
    def share(self) -> float:
        """Return the part that was earned; 1 where nothing was asked."""
        return self.earned / self.possible if self.possible else 1.0


class Step(msgspec.Struct, kw_only=True):
    """One step of a run's time, `STEP_US` long; latencies in microseconds, of what was served in it."""

    t_us: int
    asked: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    possible: float = 0.0
    earned: float = 0.0
    latency_us: list[float] = []  # at QUANTILES; empty where nothing was served


class NodeStep(msgspec.Struct):
    """One look at a node: its true queue, and what all heads together hold and have out for it."""

    t_us: int
    node: str
    queue: int
    window: float
    held: float
    out: int


class VolumeTotal(msgspec.Struct, kw_only=True):
    """One volume: what it earned, and units served in each step (`STEP_US`) over all heads."""

    name: str
    plan: str
    earned: Earned
    units: list[float]
    reserve: float  # units a second; 0: none
    limit: float


class Scores(msgspec.Struct, kw_only=True):
    """Everything that reports and comparisons read of one run."""

    day: str
    seed: int
    variant: str
    length_us: int
    heads: int
    nodes: int
    asked: int
    served: int
    refused: int
    failed: int
    left: int
    share: float
    worst_second: float  # the lowest share of any second in which something was asked
    sends: int
    by_plan: dict[str, Earned]
    by_class: dict[str, Earned]
    latency: dict[str, str]  # packed histograms of served requests, by class
    steps: list[Step]
    volumes: list[VolumeTotal]
    hints: dict[str, int]  # refusals by hint in steps of 50 ms; "none" without one
    broken: dict[str, int]  # breaches by rule
    nodes_seen: list[NodeStep] = []
    by_cell: dict[str, Earned] = {}  # of a day with cells; a volume that moves is of none
    cell_steps: dict[str, list[float]] = {}  # each cell's share in each step; 1 where nothing was asked

    @property
    def attempts_per_served(self) -> float:
        """Return attempts for each served request."""
        return self.sends / self.served if self.served else 0.0

    def fairness(self, plan: str) -> float:
        """Return Jain's index of the shares of a plan's volumes: 1 is even, 1/n is one takes all."""
        shares = np.array([one.earned.share for one in self.volumes if one.plan == plan])
        return float(shares.sum() ** 2 / (len(shares) * (shares**2).sum())) if shares.any() else 1.0

    def quantile_us(self, class_name: str, percent: float) -> float:
        """Return a latency quantile of served requests; 0 where there were none."""
        filled = decode_histogram(self.latency[class_name]) if class_name in self.latency else histogram()
        return float(filled.get_value_at_percentile(percent)) if filled.total_count else 0.0


def _hint(us: int) -> str:
    return f"{us // 50_000 * 50} ms" if us else "none"


def score_recording(records: Iterable[rec.Record], day: DaySettings, variant: str = "", seed: int = 0,
              nodes_seen: list[NodeStep] | None = None) -> Scores:  # fmt: skip
    """Count a recording, and check the rules, which takes about as long as the rest."""
    records = list(records)
    classes: dict[str, ClassSettings] = {one.name: one for one in classes_of(day)}
    plans: dict[str, PlanSettings] = {one.name: one for one in plans_of(day)}
    volumes: dict[str, VolumeSettings] = {one.name: one for one in volumes_of(day)}
    start = min((one.t for one in records if isinstance(one, rec.RequestSent)), default=0)
    count = max(1, -(-day.length_us // STEP_US))
    steps = [Step(t_us=at * STEP_US) for at in range(count)]
    latencies: list[list[int]] = [[] for _ in steps]
    by_plan: dict[str, Earned] = defaultdict(Earned)
    by_class: dict[str, Earned] = defaultdict(Earned)
    by_volume: dict[str, Earned] = defaultdict(Earned)
    filled: dict[str, HdrHistogram] = defaultdict(histogram)
    units: dict[str, list[float]] = {name: [0.0] * count for name in volumes}
    sizes: dict[tuple[int, int], tuple[str, float]] = {}
    hints: Counter[str] = Counter()
    takes: dict[tuple[str, int], rec.RequestSent] = {}
    totals: Counter[str] = Counter()
    cells: dict[str, str] = next((one.cell_of_volume for one in records if isinstance(one, rec.Facts)), {})
    by_cell: dict[str, Earned] = defaultdict(Earned)
    cell_steps = {cell: [Earned() for _ in steps] for cell in sorted(set(cells.values()))}

    def groups_of(take: rec.RequestSent) -> list[Earned]:
        groups = [by_plan[volumes[take.volume].plan], by_class[take.class_name], by_volume[take.volume]]
        if cell := cells.get(take.volume):
            groups += (by_cell[cell], cell_steps[cell][step_at(take.t)])
        return groups

    def step_at(t: int) -> int:
        return min(count - 1, max(0, (t - start) // STEP_US))

    for record in records:
        match record:
            case rec.RequestSent():
                takes[record.client, record.request] = record
                if not record.again:
                    worth = classes[record.class_name].worth * plans[volumes[record.volume].plan].price
                    step = steps[step_at(record.t)]
                    step.asked += 1
                    step.possible += worth
                    totals["asked"] += 1
                    for group in groups_of(record):
                        group.asked += 1
                        group.possible += worth
            case rec.FinalAnswer() if (take := takes.pop((record.client, record.request), None)) is not None:
                one, plan = classes[take.class_name], volumes[take.volume].plan
                took, at = record.t - take.t, step_at(record.t)
                groups = groups_of(take)
                totals[record.outcome] += 1
                if record.outcome == "refused":
                    hints[_hint(record.hint_us)] += 1
                    steps[at].refused += 1
                    for group in groups:
                        group.refused += 1
                elif record.outcome == "served":
                    in_aim = took <= one.aim_us
                    worth = one.worth * plans[plan].price * (1.0 if in_aim else one.late_worth)
                    steps[at].served += 1
                    steps[step_at(take.t)].earned += worth
                    latencies[at].append(took)
                    filled[take.class_name].record_value(max(LOWEST_US, took))
                    for group in groups:
                        group.served += 1
                        group.in_aim += in_aim
                        group.earned += worth
                else:
                    steps[at].failed += 1
                    for group in groups:
                        group.failed += 1
            case rec.AttemptReceived():
                size = units_of(record.length, day.unit_bytes)
                sizes[record.head, record.key] = (record.volume, size)
                totals["sends"] += 1
            case rec.AttemptExecuted() if (
                record.key and (found := sizes.get((record.head, record.key))) is not None
            ):
                units[found[0]][step_at(record.t)] += found[1]
    for step, took_all in zip(steps, latencies, strict=True):
        if took_all:
            step.latency_us = [float(value) for value in np.percentile(took_all, QUANTILES)]
    seconds = [steps[at : at + 1_000_000 // STEP_US] for at in range(0, count, 1_000_000 // STEP_US)]
    worst = [sum(one.earned for one in each) / possible for each in seconds
             if (possible := sum(one.possible for one in each))]  # fmt: skip
    possible = sum(one.possible for one in by_plan.values())
    earned = sum(one.earned for one in by_plan.values())
    broken = Counter(str(breach.rule) for breach in checker.check(records))
    return Scores(
        day=day.name, seed=seed, variant=variant, length_us=day.length_us,
        heads=day.heads, nodes=day.nodes, asked=totals["asked"], served=totals["served"],
        refused=totals["refused"], failed=totals["failed"], left=len(takes),
        share=earned / possible if possible else 0.0, worst_second=min(worst, default=0.0),
        sends=totals["sends"],
        by_plan=dict(by_plan), by_class=dict(by_class),
        latency={name: encode_histogram(one) for name, one in filled.items()}, steps=steps,
        volumes=[VolumeTotal(name=name, plan=one.plan, earned=by_volume[name], units=units[name],
                             reserve=plans[one.plan].reserve, limit=plans[one.plan].limit)
                 for name, one in volumes.items()],
        hints=dict(sorted(hints.items())), broken=dict(broken), nodes_seen=nodes_seen or [],
        by_cell=dict(by_cell),
        cell_steps={cell: [one.share for one in mine] for cell, mine in cell_steps.items()},
    )  # fmt: skip
