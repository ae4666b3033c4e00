"""Scores a run from its recording alone: worth by plan and class, latency, limits, fairness, attempts.

A request earns its class's worth times its plan's price if it is served within the latency aim, the class's
late fraction of that if it is served later, and nothing otherwise. A client's retry after a refusal or a
failure earns for the request that it repeats: the share is the earned worth divided by the worth that all
first tries could have earned.
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
    """Return an empty histogram of microseconds, up to ten minutes, with three significant digits."""
    return HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)


def encode_histogram(values: HdrHistogram) -> str:
    """Return a histogram as text."""
    encoded = values.encode()
    return (encoded if isinstance(encoded, bytes) else base64.b64encode(encoded)).decode()


def decode_histogram(text: str) -> HdrHistogram:
    """Return the histogram that a text encodes. Raises ValueError for any other text."""
    try:
        return HdrHistogram.decode(text.encode())
    except Exception as error:  # the library raises its own errors or zlib's, depending on the damage
        raise ValueError(f"not a histogram: {error}") from error


class GroupScore(msgspec.Struct, kw_only=True):
    """Worth earned by one group of requests, worth it could have earned, and counts of outcomes."""

    possible: float = 0.0
    earned: float = 0.0
    asked: int = 0  # first tries
    served: int = 0
    in_aim: int = 0
    refused: int = 0
    failed: int = 0

    @property
    def share(self) -> float:
        """Return the fraction of the possible worth that was earned; 1 without requests."""
        return self.earned / self.possible if self.possible else 1.0


class Step(msgspec.Struct, kw_only=True):
    """Counts of one interval of `STEP_US`; latencies are those of requests served in it."""

    t_us: int
    asked: int = 0
    served: int = 0
    refused: int = 0
    failed: int = 0
    possible: float = 0.0
    earned: float = 0.0
    latency_us: list[float] = []  # at QUANTILES; empty where nothing was served


class NodeSample(msgspec.Struct):
    """One sample of a node: its actual queue; window, held units and attempts out summed over all heads."""

    t_us: int
    node: str
    queue: int
    window: float
    held: float
    out: int


class VolumeTotal(msgspec.Struct, kw_only=True):
    """One volume: its worth, and the units served in each step of `STEP_US` over all heads."""

    name: str
    plan: str
    earned: GroupScore
    units: list[float]
    reserve: float  # units per second; 0: none
    limit: float


class Scores(msgspec.Struct, kw_only=True):
    """All results of one run that reports and comparisons use."""

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
    worst_second: float  # the lowest share of any second with requests
    sends: int
    by_plan: dict[str, GroupScore]
    by_class: dict[str, GroupScore]
    latency: dict[str, str]  # encoded histograms of served requests, by class
    steps: list[Step]
    volumes: list[VolumeTotal]
    hints: dict[str, int]  # refusals by retry hint, in steps of 50 ms; "none" without a hint
    broken: dict[str, int]  # number of violations by rule
    nodes_seen: list[NodeSample] = []
    by_cell: dict[str, GroupScore] = {}  # for a day with cells; a volume that moves belongs to none
    cell_steps: dict[str, list[float]] = {}  # each cell's share in each step; 1 without requests

    @property
    def attempts_per_served(self) -> float:
        """Return the number of attempts per served request."""
        return self.sends / self.served if self.served else 0.0

    def fairness(self, plan: str) -> float:
        """Return Jain's fairness index of a plan's volumes: 1 for equal shares, 1/n if one has everything."""
        shares = np.array([volume.earned.share for volume in self.volumes if volume.plan == plan])
        return float(shares.sum() ** 2 / (len(shares) * (shares**2).sum())) if shares.any() else 1.0

    def quantile_us(self, class_name: str, percent: float) -> float:
        """Return a latency percentile of a class's served requests; 0 if there were none."""
        latencies = decode_histogram(self.latency[class_name]) if class_name in self.latency else histogram()
        return float(latencies.get_value_at_percentile(percent)) if latencies.total_count else 0.0


def _hint_bucket(hint_us: int) -> str:
    return f"{hint_us // 50_000 * 50} ms" if hint_us else "none"


def score_recording(records: Iterable[rec.Record], day: DaySettings, variant: str = "", seed: int = 0,
              nodes_seen: list[NodeSample] | None = None) -> Scores:  # fmt: skip
    """Score a recording and check it against the rules; the check takes about half of the time."""
    records = list(records)
    classes: dict[str, ClassSettings] = {settings.name: settings for settings in classes_of(day)}
    plans: dict[str, PlanSettings] = {settings.name: settings for settings in plans_of(day)}
    volumes: dict[str, VolumeSettings] = {settings.name: settings for settings in volumes_of(day)}
    start = min((record.t for record in records if isinstance(record, rec.RequestSent)), default=0)
    count = max(1, -(-day.length_us // STEP_US))
    steps = [Step(t_us=index * STEP_US) for index in range(count)]
    latencies: list[list[int]] = [[] for _ in steps]
    by_plan: dict[str, GroupScore] = defaultdict(GroupScore)
    by_class: dict[str, GroupScore] = defaultdict(GroupScore)
    by_volume: dict[str, GroupScore] = defaultdict(GroupScore)
    histograms: dict[str, HdrHistogram] = defaultdict(histogram)
    units: dict[str, list[float]] = {name: [0.0] * count for name in volumes}
    attempts: dict[tuple[int, int], tuple[str, float]] = {}  # volume and units by head and key
    hints: Counter[str] = Counter()
    unanswered: dict[tuple[str, int], rec.RequestSent] = {}
    totals: Counter[str] = Counter()
    cells: dict[str, str] = next(
        (record.cell_of_volume for record in records if isinstance(record, rec.Facts)), {}
    )
    by_cell: dict[str, GroupScore] = defaultdict(GroupScore)
    cell_steps = {cell: [GroupScore() for _ in steps] for cell in sorted(set(cells.values()))}

    def groups_of(sent: rec.RequestSent) -> list[GroupScore]:
        groups = [by_plan[volumes[sent.volume].plan], by_class[sent.class_name], by_volume[sent.volume]]
        if cell := cells.get(sent.volume):
            groups += (by_cell[cell], cell_steps[cell][step_index(sent.t)])
        return groups

    def step_index(t: int) -> int:
        return min(count - 1, max(0, (t - start) // STEP_US))

    for record in records:
        match record:
            case rec.RequestSent():
                unanswered[record.client, record.request] = record
                if not record.again:
                    worth = classes[record.class_name].worth * plans[volumes[record.volume].plan].price
                    step = steps[step_index(record.t)]
                    step.asked += 1
                    step.possible += worth
                    totals["asked"] += 1
                    for group in groups_of(record):
                        group.asked += 1
                        group.possible += worth
            case rec.FinalAnswer() if (
                sent := unanswered.pop((record.client, record.request), None)
            ) is not None:
                request_class, plan = classes[sent.class_name], volumes[sent.volume].plan
                latency_us, index = record.t - sent.t, step_index(record.t)
                groups = groups_of(sent)
                totals[record.outcome] += 1
                if record.outcome == "refused":
                    hints[_hint_bucket(record.hint_us)] += 1
                    steps[index].refused += 1
                    for group in groups:
                        group.refused += 1
                elif record.outcome == "served":
                    in_aim = latency_us <= request_class.aim_us
                    worth = (
                        request_class.worth
                        * plans[plan].price
                        * (1.0 if in_aim else request_class.late_worth)
                    )
                    steps[index].served += 1
                    steps[step_index(sent.t)].earned += worth
                    latencies[index].append(latency_us)
                    histograms[sent.class_name].record_value(max(LOWEST_US, latency_us))
                    for group in groups:
                        group.served += 1
                        group.in_aim += in_aim
                        group.earned += worth
                else:
                    steps[index].failed += 1
                    for group in groups:
                        group.failed += 1
            case rec.AttemptReceived():
                size = units_of(record.length, day.unit_bytes)
                attempts[record.head, record.key] = (record.volume, size)
                totals["sends"] += 1
            case rec.AttemptExecuted() if (
                record.key and (attempt := attempts.get((record.head, record.key))) is not None
            ):
                units[attempt[0]][step_index(record.t)] += attempt[1]
    for step, of_step in zip(steps, latencies, strict=True):
        if of_step:
            step.latency_us = [float(value) for value in np.percentile(of_step, QUANTILES)]
    seconds = [steps[first : first + 1_000_000 // STEP_US] for first in range(0, count, 1_000_000 // STEP_US)]
    shares = [sum(step.earned for step in second) / possible for second in seconds
              if (possible := sum(step.possible for step in second))]  # fmt: skip
    possible = sum(group.possible for group in by_plan.values())
    earned = sum(group.earned for group in by_plan.values())
    broken = Counter(str(violation.rule) for violation in checker.check(records))
    return Scores(
        day=day.name, seed=seed, variant=variant, length_us=day.length_us,
        heads=day.heads, nodes=day.nodes, asked=totals["asked"], served=totals["served"],
        refused=totals["refused"], failed=totals["failed"], left=len(unanswered),
        share=earned / possible if possible else 0.0, worst_second=min(shares, default=0.0),
        sends=totals["sends"],
        by_plan=dict(by_plan), by_class=dict(by_class),
        latency={name: encode_histogram(values) for name, values in histograms.items()}, steps=steps,
        volumes=[VolumeTotal(name=name, plan=volume.plan, earned=by_volume[name], units=units[name],
                             reserve=plans[volume.plan].reserve, limit=plans[volume.plan].limit)
                 for name, volume in volumes.items()],
        hints=dict(sorted(hints.items())), broken=dict(broken), nodes_seen=nodes_seen or [],
        by_cell=dict(by_cell),
        cell_steps={cell: [step.share for step in of_cell] for cell, of_cell in cell_steps.items()},
    )  # fmt: skip
