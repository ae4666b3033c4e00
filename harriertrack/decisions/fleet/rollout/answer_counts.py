"""What a head counts of its own answers, by class: the evidence that a rollout is judged by. Pure.

Counts only grow in a head's life, so a report that is lost is made up for by the next one.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from harriertrack.decisions.requests import ClientRequest, Origin
from harriertrack.decisions.splitting import Outcome

LATENCY_BUCKETS = 16  # of what served requests took: below 250 us, below 500 us, and so on
FIRST_BUCKET_US = 250


@dataclass(slots=True)
class Tally:
    """Answers of one class. Each is in one of the first four."""

    timely: int = 0  # served within the aim
    late: int = 0
    refused: int = 0
    failed: int = 0
    past_deadline: int = 0  # answered after the deadline, whatever the answer
    latency_counts: list[int] = field(default_factory=lambda: [0] * LATENCY_BUCKETS)

    @property
    def answers(self) -> int:
        """Return how many there were."""
        return self.timely + self.late + self.refused + self.failed

    def add(self, other: Tally, times: int = 1) -> None:
        """Add another one's, or (-1) take it away."""
        self.timely += times * other.timely
        self.late += times * other.late
        self.refused += times * other.refused
        self.failed += times * other.failed
        self.past_deadline += times * other.past_deadline
        self.latency_counts = [
            mine + times * one for mine, one in zip(self.latency_counts, other.latency_counts, strict=True)
        ]

    def since(self, before: Tally) -> Tally:
        """Return what came since an earlier state of the same counts."""
        found = Tally()
        found.add(self)
        found.add(before, -1)
        return found


def latency_bucket(took_us: int) -> int:
    """Return which bucket a time belongs to."""
    return min(LATENCY_BUCKETS - 1, max(0, took_us // FIRST_BUCKET_US).bit_length())


class AnswerCounter:
    """One head's counts."""

    def __init__(self, classes: Mapping[str, tuple[int, int]]) -> None:
        """`classes`: each one's aim and deadline at the head's start: no version moves them."""
        self._classes = dict(classes)
        self.classes: dict[str, Tally] = {}

    def count_answer(self, now: int, request: ClientRequest) -> None:
        """Count a final answer to a client; what the head asks for itself is nobody's."""
        if request.origin is not Origin.CLIENT or request.background or not request.parts:
            return
        name = request.parts[0].class_name
        aim_us, deadline_us = self._classes.get(name, (0, 0))
        if not deadline_us:
            return
        took_us = now - (request.deadline - max(deadline_us, request.patience_us))
        one = self.classes.setdefault(name, Tally())
        one.past_deadline += now > request.deadline
        match request.outcome:
            case Outcome.REFUSED:
                one.refused += 1
            case Outcome.FAILED:
                one.failed += 1
            case Outcome.SERVED:
                if took_us <= max(aim_us, request.patience_us):
                    one.timely += 1
                else:
                    one.late += 1
                one.latency_counts[latency_bucket(took_us)] += 1
