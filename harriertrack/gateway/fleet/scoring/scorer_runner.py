"""Runs a scorer on a thread of its own, so that a slow one delays no requests.

Its time limit counts processor time of that thread, so that a busy machine costs no scorer its vote. A
scorer that never returns keeps its thread until the process ends, and gets no further queries. In simulated
time there are no threads: the scorer runs within the call and takes no time.
"""

from __future__ import annotations

import queue
import threading
import time
from collections.abc import Sequence
from typing import Protocol

from harriertrack.decisions.fleet.scoring.scorer_guard import ScorerAnswer
from harriertrack.decisions.fleet.scoring.scorers.base import Scorer
from harriertrack.decisions.fleet.scoring.snapshot import Snapshot
from harriertrack.runtime.hub import Hub, VirtualTime

MAX_ERROR_CHARS = 120  # kept of an exception raised by a scorer


def _answer(scorer: Scorer, snapshot: Snapshot, timed: bool) -> ScorerAnswer:
    began = time.thread_time_ns() if timed else 0
    try:
        scores: object = scorer.score(snapshot)
        raised = ""
    except Exception as error:
        scores, raised = None, f"{type(error).__name__}: {error}"[:MAX_ERROR_CHARS]
    took_us = (time.thread_time_ns() - began) // 1000 if timed else 0
    return ScorerAnswer(snapshot, scores, raised, took_us)


class ScorerRunner(Protocol):
    """Queries one scorer, one round at a time."""

    def start_round(self, snapshots: Sequence[Snapshot]) -> None:
        """Begin a round."""

    def answers(self) -> list[ScorerAnswer] | None:
        """Return the round's answers, once; None while it is in progress."""

    def close(self) -> None:
        """Send no further queries."""


class InlineRunner:
    """Runs the scorer within the call."""

    def __init__(self, scorer: Scorer) -> None:
        self._scorer = scorer
        self._answers: list[ScorerAnswer] | None = None

    def start_round(self, snapshots: Sequence[Snapshot]) -> None:
        """Run a complete round."""
        self._answers = [_answer(self._scorer, snapshot, False) for snapshot in snapshots]

    def answers(self) -> list[ScorerAnswer] | None:
        """Return the round's answers, once."""
        answers, self._answers = self._answers, None
        return answers

    def close(self) -> None:
        """Do nothing: there is no thread."""


class ThreadRunner:
    """Runs the scorer on a thread."""

    def __init__(self, scorer: Scorer, name: str) -> None:
        self._scorer = scorer
        self._rounds: queue.SimpleQueue[Sequence[Snapshot] | None] = queue.SimpleQueue()
        self._done: queue.SimpleQueue[list[ScorerAnswer]] = queue.SimpleQueue()
        threading.Thread(target=self._work, name=f"scorer {name}", daemon=True).start()

    def _work(self) -> None:
        while (snapshots := self._rounds.get()) is not None:
            self._done.put([_answer(self._scorer, snapshot, True) for snapshot in snapshots])

    def start_round(self, snapshots: Sequence[Snapshot]) -> None:
        """Begin a round."""
        self._rounds.put(snapshots)

    def answers(self) -> list[ScorerAnswer] | None:
        """Return the round's answers, once; None while it is in progress."""
        try:
            return self._done.get_nowait()
        except queue.Empty:
            return None

    def close(self) -> None:
        """End the thread after the round in progress."""
        self._rounds.put(None)


def runner_of(hub: Hub, scorer: Scorer, name: str) -> ScorerRunner:
    """Return the runner of a scorer on a hub."""
    return InlineRunner(scorer) if isinstance(hub.clock, VirtualTime) else ThreadRunner(scorer, name)
