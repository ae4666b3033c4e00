"""The search for the day that hurts most, and its shrinking to the smallest that still does.

A state machine without I/O: `ask` names days to be played, `tell` takes what came of each. SEARCH draws at
random first and then changes the worst found; SHRINK takes away whatever the harm does not need; DONE.
Played days may be told in any order: the next step is taken when all of one lot are in, so the same seed
hunts the same way however many run at once.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import Enum

ELITE = 4  # how many of the worst days are changed further
RANDOM_SHARE = 0.4  # part of the search that draws without looking at what was found
MIN_LOSS_SHARE = 0.85  # a smaller day must keep this part of the loss
MIN_FAULT_US = 250_000


class Phase(Enum):
    """Where a hunt is."""

    SEARCH = "search"
    SHRINK = "shrink"
    DONE = "done"


@dataclass(frozen=True, slots=True)
class InjectedFault:
    """One trouble of a candidate; times are microseconds from the day's start."""

    kind: str
    start_us: int
    duration_us: int
    part: float
    size: float


@dataclass(frozen=True, slots=True)
class Candidate:
    """A day to be tried; machines and load are multiples of the hunted day's own."""

    faults: tuple[InjectedFault, ...]
    load: float = 1.0
    heads: int = 0  # 0: as many as the day has
    nodes: int = 0


@dataclass(frozen=True, slots=True)
class SearchSpace:
    """What may be drawn."""

    kinds: tuple[str, ...]
    length_us: int
    max_faults: int
    heads: int
    nodes: int
    sizes: dict[str, tuple[float, float]]  # of kinds whose size means something: from, to
    load: tuple[float, float] = (0.8, 1.2)


@dataclass(frozen=True, slots=True)
class Outcome:
    """What came of a candidate: the part of the day's worth that was lost, and the rules that broke."""

    loss: float
    broken: tuple[int, ...] = ()


class FaultSearch:
    """One hunt."""

    def __init__(self, space: SearchSpace, seed: int, runs: int, lot: int = 8) -> None:
        if runs < 1 or lot < 1 or not space.kinds:
            raise ValueError("a hunt needs runs, lots and kinds of trouble")
        self.space = space
        self.phase = Phase.SEARCH
        self.ranked: list[tuple[Candidate, Outcome]] = []  # the worst first
        self.smallest: tuple[Candidate, Outcome] | None = None
        self.played = 0
        self._random = random.Random(seed)
        self._runs, self._lot = runs, lot
        self._open: dict[int, Candidate] = {}
        self._told: dict[int, Outcome] = {}
        self._number = 0
        self._reductions: Iterator[Candidate] = iter(())

    def next_batch(self) -> list[tuple[int, Candidate]]:
        """Return the next lot, numbered; empty when the hunt is done. Raises RuntimeError before its end."""
        if self._open:
            raise RuntimeError("the lot before is not told yet")
        if self.phase is Phase.SEARCH and self.played >= self._runs:
            self._begin_shrinking()
        if self.phase is Phase.SEARCH:
            lot = [self._draw() for _ in range(min(self._lot, self._runs - self.played))]
        elif self.phase is Phase.SHRINK:
            lot = [one for one, _ in zip(self._reductions, range(self._lot), strict=False)]
            if not lot:
                self.phase = Phase.DONE
        else:
            lot = []
        for candidate in lot:
            self._number += 1
            self._open[self._number] = candidate
        return list(self._open.items())

    def record_outcome(self, number: int, outcome: Outcome) -> None:
        """Take what came of one of the lot. Raises KeyError for one that is not open or told already."""
        if number not in self._open or number in self._told:
            raise KeyError(number)
        self._told[number] = outcome
        if len(self._told) < len(self._open):
            return
        lot = [(self._open[at], self._told[at]) for at in sorted(self._open)]
        self._open, self._told = {}, {}
        self.played += len(lot)
        if self.phase is Phase.SEARCH:
            self.ranked.extend(lot)
            self.ranked.sort(key=lambda one: (not one[1].broken, -one[1].loss))
        else:
            self._shrink(lot)

    # -- searching

    def _draw(self) -> Candidate:
        explored = self.played < RANDOM_SHARE * self._runs
        if explored or not self.ranked or self._random.random() < 0.2:
            count = self._random.randint(1, self.space.max_faults)
            faults = tuple(self._harm() for _ in range(count))
            return Candidate(faults, self._random.uniform(*self.space.load))
        return self._change(self._random.choice(self.ranked[:ELITE])[0])

    def _harm(self) -> InjectedFault:
        space = self.space
        kind = self._random.choice(space.kinds)
        low, high = space.sizes.get(kind, (2.0, 2.0))
        begins = self._random.randrange(max(1, int(0.8 * space.length_us)))
        lasts = self._random.randint(MIN_FAULT_US, max(MIN_FAULT_US + 1, space.length_us - begins))
        return InjectedFault(kind, begins, lasts, round(self._random.uniform(0.1, 0.6), 2),
                    round(self._random.uniform(low, high), 2))  # fmt: skip

    def _change(self, candidate: Candidate) -> Candidate:
        faults = list(candidate.faults)
        drawn = self._random.random()
        at = self._random.randrange(len(faults))
        if drawn < 0.3 and len(faults) < self.space.max_faults:
            faults.append(self._harm())
        elif drawn < 0.5:
            faults[at] = self._harm()
        elif drawn < 0.75:
            last = int(0.9 * self.space.length_us)
            shift = self._random.randint(-self.space.length_us // 6, self.space.length_us // 6)
            faults[at] = replace(faults[at], start_us=min(last, max(0, faults[at].start_us + shift)))
        else:
            part = min(1.0, faults[at].part * self._random.uniform(0.7, 1.6))
            faults[at] = replace(faults[at], part=round(part, 2))
        low, high = self.space.load
        load = min(high, max(low, candidate.load * self._random.uniform(0.92, 1.08)))
        return Candidate(tuple(faults), load)

    # -- shrinking

    def _begin_shrinking(self) -> None:
        self.phase = Phase.SHRINK
        self.smallest = self.ranked[0]
        self._reductions = self.reductions(self.smallest[0])

    def _shrink(self, lot: list[tuple[Candidate, Outcome]]) -> None:
        """Go on from the first smaller day that still does the harm."""
        assert self.smallest is not None
        worst = self.ranked[0][1]
        for candidate, outcome in lot:
            kept = outcome.loss >= MIN_LOSS_SHARE * worst.loss
            if worst.broken:
                kept = set(outcome.broken) >= set(worst.broken)
            if kept:
                self.smallest = (candidate, outcome)
                self._reductions = self.reductions(candidate)
                return

    def reductions(self, candidate: Candidate) -> Iterator[Candidate]:
        """Yield smaller days, the boldest first: without a trouble, fewer machines, shorter, milder."""
        faults = candidate.faults
        if len(faults) > 1:
            for at in range(len(faults)):
                yield replace(candidate, faults=faults[:at] + faults[at + 1 :])
        heads, nodes = candidate.heads or self.space.heads, candidate.nodes or self.space.nodes
        if heads > 1:
            yield replace(candidate, heads=max(1, heads // 2), nodes=nodes)
        if nodes > 2:
            yield replace(candidate, heads=heads, nodes=max(2, nodes // 2))
        for at, harm in enumerate(faults):
            if harm.duration_us >= 2 * MIN_FAULT_US:
                yield replace(
                    candidate, faults=self._with(faults, at, replace(harm, duration_us=harm.duration_us // 2))
                )
            if harm.part >= 0.2:
                milder = replace(harm, part=round(harm.part / 2, 2))
                yield replace(candidate, faults=self._with(faults, at, milder))
        if candidate.load > 1.0:
            yield replace(candidate, load=1.0)

    @staticmethod
    def _with(faults: tuple[InjectedFault, ...], at: int, harm: InjectedFault) -> tuple[InjectedFault, ...]:
        return (*faults[:at], harm, *faults[at + 1 :])
