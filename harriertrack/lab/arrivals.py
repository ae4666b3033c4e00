"""Open-loop arrival processes and key popularity, drawn in blocks from a seed, independent of replies.

A rate is a function of time (plateaus, ramps, diurnal cycles) multiplied by surges that several volumes can
share. Interarrival gaps are drawn in operational time, in which the rate is 1, and mapped to real time by the
inverse of the rate's integral, so any rate function can be combined with any dispersion. Gaps are gamma
distributed, with the dispersion as their squared coefficient of variation: 1 gives a Poisson process, less is
more regular, more is bursty.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Annotated

import msgspec
import numpy as np
from scipy import stats

from harriertrack.config.settings import NonNegativeFloat, PositiveInt, SettingsStruct

GRID_US = 10_000  # step of the grid on which a rate is integrated
BLOCK = 4096  # random variates that are drawn at once


class PhaseKind(Enum):
    """The shapes of the rate within a phase."""

    PLATEAU = "plateau"
    RAMP = "ramp"
    DIURNAL = "diurnal"


class PhaseSettings(SettingsStruct, frozen=True, kw_only=True):
    """One phase of a run; phases follow one another in the order given."""

    name: PhaseKind
    for_us: PositiveInt
    rate: NonNegativeFloat  # requests per second at the start of the phase
    to: NonNegativeFloat = (
        0.0  # requests per second at a ramp's end, or at a diurnal peak after half a period
    )
    period_us: PositiveInt = 60_000_000


class SurgeSettings(SettingsStruct, frozen=True, kw_only=True):
    """Surges at random times, each of which affects a random part of the volumes at once."""

    every_us: PositiveInt  # mean time between the starts of surges
    for_us: PositiveInt
    factor: Annotated[float, msgspec.Meta(ge=1, le=1000)] = 4.0
    part: Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.3


@dataclass(frozen=True, slots=True)
class Surge:
    """One drawn surge; times are in microseconds from the start of the run."""

    from_us: int
    to_us: int
    factor: float
    volumes: tuple[int, ...]


def length_us(phases: tuple[PhaseSettings, ...]) -> int:
    """Return the total duration of the phases."""
    return sum(phase.for_us for phase in phases)


def rate_at(phases: tuple[PhaseSettings, ...], times_us: np.ndarray) -> np.ndarray:
    """Return the rate in requests per second at each of the times; 0 outside the run."""
    rates = np.zeros(len(times_us))
    phase_start = 0
    for phase in phases:
        inside = (times_us >= phase_start) & (times_us < phase_start + phase.for_us)
        elapsed_us = (times_us[inside] - phase_start).astype(float)
        match phase.name:
            case PhaseKind.PLATEAU:
                rates[inside] = phase.rate
            case PhaseKind.RAMP:
                rates[inside] = phase.rate + (phase.to - phase.rate) * elapsed_us / phase.for_us
            case PhaseKind.DIURNAL:
                cycle = (1 - np.cos(2 * np.pi * elapsed_us / phase.period_us)) / 2
                rates[inside] = phase.rate + (phase.to - phase.rate) * cycle
        phase_start += phase.for_us
    return rates


def draw_surges(settings: SurgeSettings | None, until_us: int, volumes: int, seed: int) -> list[Surge]:
    """Draw the surges of a run that lasts `until_us`."""
    if settings is None:
        return []
    rng = np.random.default_rng([seed, 1])
    surges: list[Surge] = []
    start_us = 0.0
    while True:
        start_us += rng.exponential(settings.every_us)
        if start_us >= until_us:
            return surges
        affected = rng.choice(volumes, size=max(1, round(settings.part * volumes)), replace=False)
        end_us = int(start_us) + settings.for_us
        surges.append(Surge(int(start_us), end_us, settings.factor, tuple(sorted(affected.tolist()))))


class RateIntegral:
    """The expected number of a volume's requests as a function of time, and its inverse."""

    def __init__(
        self, phases: tuple[PhaseSettings, ...], share: float, surges: list[Surge], volume: int
    ) -> None:
        end_us = length_us(phases)
        self._edges = np.append(np.arange(0, end_us, GRID_US), end_us).astype(float)
        midpoints = (self._edges[:-1] + self._edges[1:]) / 2
        rates = rate_at(phases, midpoints) * share
        for surge in surges:
            if volume in surge.volumes:
                rates[(midpoints >= surge.from_us) & (midpoints < surge.to_us)] *= surge.factor
        self._sums = np.concatenate(([0.0], np.cumsum(rates * np.diff(self._edges) / 1e6)))

    @property
    def total(self) -> float:
        """Return the expected number of requests in the whole run."""
        return float(self._sums[-1])

    def expected(self, from_us: float, to_us: float) -> float:
        """Return the expected number of requests between two times."""
        low, high = np.interp([from_us, to_us], self._edges, self._sums)
        return float(high - low)

    def times(self, counts: np.ndarray) -> np.ndarray:
        """Return the times in microseconds at which the expected number of requests reaches each count."""
        # The integral has no inverse where the rate is 0.
        rising = np.concatenate(([True], np.diff(self._sums) > 0))
        return np.interp(counts, self._sums[rising], self._edges[rising])


def arrivals(integral: RateIntegral, dispersion: float, seed: list[int]) -> Iterator[int]:
    """Yield the arrival times of one volume's requests, in microseconds from the start of the run.

    Raises ValueError for a dispersion that is not above zero.
    """
    if not dispersion > 0:
        raise ValueError("a dispersion must be above zero")
    rng = np.random.default_rng(seed)
    gaps = stats.gamma(1 / dispersion, scale=dispersion)
    # The first gap began before the run, so only a random part of it remains.
    reached = float(rng.random() * gaps.rvs(random_state=rng))
    while reached < integral.total:
        counts = reached + np.concatenate(([0.0], np.cumsum(gaps.rvs(size=BLOCK, random_state=rng))))
        yield from integral.times(counts[:-1][counts[:-1] < integral.total]).astype(np.int64).tolist()
        reached = float(counts[-1])


class Zipf:
    """Draws items from a Zipf distribution: the k-th most popular of `count` has weight 1/k**exponent."""

    def __init__(self, count: int, exponent: float, seed: list[int]) -> None:
        if count < 1 or exponent < 0:
            raise ValueError("a Zipf distribution needs at least one item and an exponent of at least 0")
        self._rng = np.random.default_rng(seed)
        weights = 1.0 / np.arange(1, count + 1) ** exponent
        self.shares = weights / weights.sum()
        self._sums = np.cumsum(self.shares)
        # A random permutation spreads popular items over all numbers instead of the lowest ones.
        self._item_of_rank = self._rng.permutation(count)
        self._drawn: list[int] = []

    def next(self) -> int:
        """Draw an item; return its number."""
        if not self._drawn:
            ranks = np.searchsorted(self._sums, self._rng.random(BLOCK), side="right")
            self._drawn = self._item_of_rank[np.minimum(ranks, len(self._item_of_rank) - 1)].tolist()
        return self._drawn.pop()
