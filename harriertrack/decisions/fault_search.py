"""The search for the day with the worst loss, and its reduction to the smallest day that still causes it.

A state machine without I/O: `next_batch` returns days to run, `record_outcome` takes the outcome of each.
SEARCH draws days at random first and then mutates the worst ones found; SHRINK removes whatever the loss does
not need; DONE. Outcomes may be recorded in any order: the next step follows when a batch is complete, so the
same seed searches the same way however many days run at once.
"""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass, replace
from enum import Enum

ELITE = 4  # how many of the worst days are mutated further
RANDOM_SHARE = 0.4  # fraction of the search that draws days at random, regardless of those found
MIN_LOSS_SHARE = 0.85  # a smaller day must keep this fraction of the loss
MIN_FAULT_US = 250_000


class Phase(Enum):
    """Phase of a search."""

    SEARCH = "search"
    SHRINK = "shrink"
    DONE = "done"


@dataclass(frozen=True, slots=True)
class InjectedFault:
    """One fault of a candidate; times are microseconds from the day's start."""

    kind: str
    start_us: int
    duration_us: int
    part: float  # fraction of the machines affected
    size: float


@dataclass(frozen=True, slots=True)
class Candidate:
    """A day to run: its faults, load factor and machine counts in place of the base day's own."""

    faults: tuple[InjectedFault, ...]
    load: float = 1.0
    heads: int = 0  # 0: as many as the base day has
    nodes: int = 0


@dataclass(frozen=True, slots=True)
class SearchSpace:
    """The space from which days are drawn."""

    kinds: tuple[str, ...]
    length_us: int
    max_faults: int
    heads: int
    nodes: int
    sizes: dict[str, tuple[float, float]]  # the range of sizes, for kinds that have a size
    load: tuple[float, float] = (0.8, 1.2)


@dataclass(frozen=True, slots=True)
class Outcome:
    """The outcome of a candidate: the fraction of the day's worth that was lost, and the broken rules."""

    loss: float
    broken: tuple[int, ...] = ()


class FaultSearch:
    """One search."""

    def __init__(self, space: SearchSpace, seed: int, runs: int, batch_size: int = 8) -> None:
        if runs < 1 or batch_size < 1 or not space.kinds:
            raise ValueError("a search needs at least one run, a batch size and kinds of faults")
        self.space = space
        self.phase = Phase.SEARCH
        self.ranked: list[tuple[Candidate, Outcome]] = []  # the worst first
        self.smallest: tuple[Candidate, Outcome] | None = None
        self.played = 0
        self._random = random.Random(seed)
        self._runs, self._batch_size = runs, batch_size
        self._open: dict[int, Candidate] = {}
        self._outcomes: dict[int, Outcome] = {}
        self._number = 0
        self._reductions: Iterator[Candidate] = iter(())

    def next_batch(self) -> list[tuple[int, Candidate]]:
        """Return the next batch, numbered; empty when done. Raises RuntimeError if one is incomplete."""
        if self._open:
            raise RuntimeError("the previous batch is incomplete")
        if self.phase is Phase.SEARCH and self.played >= self._runs:
            self._begin_shrinking()
        if self.phase is Phase.SEARCH:
            batch = [self._draw() for _ in range(min(self._batch_size, self._runs - self.played))]
        elif self.phase is Phase.SHRINK:
            batch = [one for one, _ in zip(self._reductions, range(self._batch_size), strict=False)]
            if not batch:
                self.phase = Phase.DONE
        else:
            batch = []
        for candidate in batch:
            self._number += 1
            self._open[self._number] = candidate
        return list(self._open.items())

    def record_outcome(self, number: int, outcome: Outcome) -> None:
        """Record a candidate's outcome. Raises KeyError if it is not in the batch or is recorded already."""
        if number not in self._open or number in self._outcomes:
            raise KeyError(number)
        self._outcomes[number] = outcome
        if len(self._outcomes) < len(self._open):
            return
        batch = [(self._open[at], self._outcomes[at]) for at in sorted(self._open)]
        self._open, self._outcomes = {}, {}
        self.played += len(batch)
        if self.phase is Phase.SEARCH:
            self.ranked.extend(batch)
            self.ranked.sort(key=lambda one: (not one[1].broken, -one[1].loss))
        else:
            self._shrink(batch)

    # -- searching

    def _draw(self) -> Candidate:
        explores = self.played < RANDOM_SHARE * self._runs
        if explores or not self.ranked or self._random.random() < 0.2:
            count = self._random.randint(1, self.space.max_faults)
            faults = tuple(self._draw_fault() for _ in range(count))
            return Candidate(faults, self._random.uniform(*self.space.load))
        return self._mutate(self._random.choice(self.ranked[:ELITE])[0])

    def _draw_fault(self) -> InjectedFault:
        space = self.space
        kind = self._random.choice(space.kinds)
        low, high = space.sizes.get(kind, (2.0, 2.0))
        start_us = self._random.randrange(max(1, int(0.8 * space.length_us)))
        duration_us = self._random.randint(MIN_FAULT_US, max(MIN_FAULT_US + 1, space.length_us - start_us))
        return InjectedFault(
            kind,
            start_us,
            duration_us,
            round(self._random.uniform(0.1, 0.6), 2),
            round(self._random.uniform(low, high), 2),
        )

    def _mutate(self, candidate: Candidate) -> Candidate:
        faults = list(candidate.faults)
        drawn = self._random.random()
        at = self._random.randrange(len(faults))
        if drawn < 0.3 and len(faults) < self.space.max_faults:
            faults.append(self._draw_fault())
        elif drawn < 0.5:
            faults[at] = self._draw_fault()
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

    def _shrink(self, batch: list[tuple[Candidate, Outcome]]) -> None:
        """Continue from the first smaller day that still causes the loss."""
        assert self.smallest is not None
        worst = self.ranked[0][1]
        for candidate, outcome in batch:
            kept = outcome.loss >= MIN_LOSS_SHARE * worst.loss
            if worst.broken:
                kept = set(outcome.broken) >= set(worst.broken)
            if kept:
                self.smallest = (candidate, outcome)
                self._reductions = self.reductions(candidate)
                return

    def reductions(self, candidate: Candidate) -> Iterator[Candidate]:
        """Yield smaller days, the largest steps first: fewer faults, fewer machines, shorter, milder."""
        faults = candidate.faults
        if len(faults) > 1:
            for at in range(len(faults)):
                yield replace(candidate, faults=faults[:at] + faults[at + 1 :])
        heads, nodes = candidate.heads or self.space.heads, candidate.nodes or self.space.nodes
        if heads > 1:
            yield replace(candidate, heads=max(1, heads // 2), nodes=nodes)
        if nodes > 2:
            yield replace(candidate, heads=heads, nodes=max(2, nodes // 2))
        for at, fault in enumerate(faults):
            if fault.duration_us >= 2 * MIN_FAULT_US:
                yield replace(
                    candidate,
                    faults=self._replaced(faults, at, replace(fault, duration_us=fault.duration_us // 2)),
                )
            if fault.part >= 0.2:
                milder = replace(fault, part=round(fault.part / 2, 2))
                yield replace(candidate, faults=self._replaced(faults, at, milder))
        if candidate.load > 1.0:
            yield replace(candidate, load=1.0)

    @staticmethod
    def _replaced(
        faults: tuple[InjectedFault, ...], at: int, fault: InjectedFault
    ) -> tuple[InjectedFault, ...]:
        return (*faults[:at], fault, *faults[at + 1 :])
