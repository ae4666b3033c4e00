"""Asking a scorer away from requests: on a thread of its own, so that a slow one holds nobody up.

What it may take is processor time of that thread: a busy machine takes no vote away. One that never ends
keeps its thread, which ends with the process; it is asked nothing more. In simulated time there are no
threads: there it is asked at once, and takes no time.
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

MOST_SAID = 120  # characters of what a scorer raised


def _answer(scorer: Scorer, picture: Snapshot, timed: bool) -> ScorerAnswer:
    began = time.thread_time_ns() if timed else 0
    try:
        scores: object = scorer.score(picture)
        raised = ""
    except Exception as error:
        scores, raised = None, f"{type(error).__name__}: {error}"[:MOST_SAID]
    took = (time.thread_time_ns() - began) // 1000 if timed else 0
    return ScorerAnswer(picture, scores, raised, took)


class Asking(Protocol):
    """One scorer that is asked, one round at a time."""

    def ask(self, pictures: Sequence[Snapshot]) -> None:
        """Begin a round."""

    def answers(self) -> list[ScorerAnswer] | None:
        """Return what came of the round, once; None while it lasts."""

    def close(self) -> None:
        """Ask nothing more."""


class AtOnce:
    """Asked within the call."""

    def __init__(self, scorer: Scorer) -> None:
        self._scorer = scorer
        self._answers: list[ScorerAnswer] | None = None

    def ask(self, pictures: Sequence[Snapshot]) -> None:
        """Begin a round, and end it."""
        self._answers = [_answer(self._scorer, picture, False) for picture in pictures]

    def answers(self) -> list[ScorerAnswer] | None:
        """Return what came of the round, once."""
        answers, self._answers = self._answers, None
        return answers

    def close(self) -> None:
        """Nothing is left to be done."""


class OnThread:
    """Asked on a thread."""

    def __init__(self, scorer: Scorer, name: str) -> None:
        self._scorer = scorer
        self._asked: queue.SimpleQueue[Sequence[Snapshot] | None] = queue.SimpleQueue()
        self._done: queue.SimpleQueue[list[ScorerAnswer]] = queue.SimpleQueue()
        threading.Thread(target=self._work, name=f"scorer {name}", daemon=True).start()

    def _work(self) -> None:
        while (pictures := self._asked.get()) is not None:
            self._done.put([_answer(self._scorer, picture, True) for picture in pictures])

    def ask(self, pictures: Sequence[Snapshot]) -> None:
        """Begin a round."""
        self._asked.put(pictures)

    def answers(self) -> list[ScorerAnswer] | None:
        """Return what came of the round, once; None while it lasts."""
        try:
            return self._done.get_nowait()
        except queue.Empty:
            return None

    def close(self) -> None:
        """Let the thread end after the round under way."""
        self._asked.put(None)


def asking_of(hub: Hub, scorer: Scorer, name: str) -> Asking:
    """Return how a scorer is asked on a hub."""
    return AtOnce(scorer) if isinstance(hub.clock, VirtualTime) else OnThread(scorer, name)
