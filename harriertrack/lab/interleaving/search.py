"""Limits and results that all searches over schedules share."""

from __future__ import annotations

import time
from dataclasses import dataclass, field

from harriertrack.lab.interleaving.execution import Execution, Outcome
from harriertrack.lab.interleaving.world import View


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits at which a search stops before it is complete."""

    schedules: int = 100_000
    seconds: float = 60.0  # of CPU time


@dataclass(slots=True)
class SearchResult:
    """Statistics of a search, and the counterexample if it found one."""

    schedules: int = 0  # executed to the end
    cut: int = 0  # abandoned, since explored schedules already cover them
    states: int = 0  # distinct schedule prefixes
    steps: int = 0  # executed in total, including prefixes that were executed again
    deepest: int = 0
    whole: bool = False  # the search is exhaustive within the bound
    bound: int | None = None  # maximum number of turns (deviations from the default order); None: unbounded
    ends: set[View] = field(default_factory=set)
    breach: Execution | None = None
    seconds: float = 0.0

    def record(self, one: Execution, new_states: int) -> None:
        """Record a schedule that added this many states."""
        self.states += new_states
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
    """Enforces the limits of a search and measures its CPU time."""

    def __init__(self, limits: Limits, found: SearchResult) -> None:
        self._limits, self._found, self._began = limits, found, time.process_time()

    def over(self) -> bool:
        """Update the CPU time; return whether a limit has been reached."""
        self._found.seconds = time.process_time() - self._began
        ran = self._found.schedules + self._found.cut
        return ran >= self._limits.schedules or self._found.seconds >= self._limits.seconds
