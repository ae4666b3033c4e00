"""What the searches over schedules have in common: their limits, and what they tell."""

from __future__ import annotations

import time
from dataclasses import dataclass, field

from harriertrack.lab.interleaving.execution import Execution, Outcome
from harriertrack.lab.interleaving.world import View


@dataclass(frozen=True, slots=True)
class Limits:
    """Where a search stops though it is not done."""

    schedules: int = 100_000
    seconds: float = 60.0  # of processor time


@dataclass(slots=True)
class SearchResult:
    """What a search saw."""

    schedules: int = 0  # that ran to their end
    cut: int = 0  # that were given up: others stand for them
    states: int = 0  # different beginnings of schedules
    steps: int = 0  # that ran in all, those of beginnings that were run again among them
    deepest: int = 0
    whole: bool = False  # nothing is left to be looked at, within the bound
    bound: int | None = None  # turns from the usual order, at most; None: any
    ends: set[View] = field(default_factory=set)
    breach: Execution | None = None
    seconds: float = 0.0

    def record(self, one: Execution, fresh: int) -> None:
        """Count a schedule of which so many states are new."""
        self.states += fresh
        self.steps += len(one.events)
        self.deepest = max(self.deepest, len(one.events))
        match one.outcome:
            case Outcome.CUT:
                self.cut += 1
            case Outcome.REST:
                self.schedules += 1
                self.ends.add(one.end)
            case Outcome.BREACH:
                self.schedules += 1
                if self.breach is None:
                    self.breach = one


class Meter:
    """Holds a search to its limits, and times it."""

    def __init__(self, limits: Limits, found: SearchResult) -> None:
        self._limits, self._found, self._began = limits, found, time.process_time()

    def over(self) -> bool:
        """Whether the search is to stop here."""
        self._found.seconds = time.process_time() - self._began
        ran = self._found.schedules + self._found.cut
        return ran >= self._limits.schedules or self._found.seconds >= self._limits.seconds
