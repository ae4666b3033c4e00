"""Counts of a head's answers by class: the evidence by which a rollout is judged. Pure.

Counts only grow during a head's incarnation, so the next report makes up for one that was lost.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from harriertrack.decisions.requests import ClientRequest, Origin
from harriertrack.decisions.splitting import Outcome

LATENCY_BUCKETS = 16  # latency of served requests: below 250 us, below 500 us, and so on
FIRST_BUCKET_US = 250


@dataclass(slots=True)
class Tally:
    """Answers of one class. Each is counted in exactly one of the first four fields."""

    timely: int = 0  # served within the aim
    late: int = 0
    refused: int = 0
    failed: int = 0
    past_deadline: int = 0  # answered after the deadline, whatever the answer
    latency_counts: list[int] = field(default_factory=lambda: [0] * LATENCY_BUCKETS)

    @property
    def answers(self) -> int:
        """Return the number of answers."""
        return self.timely + self.late + self.refused + self.failed

    def add(self, other: Tally, times: int = 1) -> None:
        """Add another tally, or subtract it (`times` -1)."""
        self.timely += times * other.timely
        self.late += times * other.late
        self.refused += times * other.refused
        self.failed += times * other.failed
        self.past_deadline += times * other.past_deadline
        self.latency_counts = [
            mine + times * one for mine, one in zip(self.latency_counts, other.latency_counts, strict=True)
        ]

    def since(self, before: Tally) -> Tally:
        """Return the increase since an earlier state of the same counts."""
        increase = Tally()
        increase.add(self)
        increase.add(before, -1)
        return increase


def latency_bucket(took_us: int) -> int:
    """Return the index of the bucket for a latency."""
    return min(LATENCY_BUCKETS - 1, max(0, took_us // FIRST_BUCKET_US).bit_length())


class AnswerCounter:
    """The counts of one head."""

    def __init__(self, classes: Mapping[str, tuple[int, int]]) -> None:
        """`classes`: each one's aim and deadline when the head started; no later version changes them."""
        self._classes = dict(classes)
        self.classes: dict[str, Tally] = {}

    def count_answer(self, now: int, request: ClientRequest) -> None:
        """Count a final answer to a client; the head's own requests are not counted."""
        if request.origin is not Origin.CLIENT or request.background or not request.parts:
            return
        name = request.parts[0].class_name
        aim_us, deadline_us = self._classes.get(name, (0, 0))
        if not deadline_us:
            return
        took_us = now - (request.deadline - max(deadline_us, request.patience_us))
        tally = self.classes.setdefault(name, Tally())
        tally.past_deadline += now > request.deadline
        match request.outcome:
            case Outcome.REFUSED:
                tally.refused += 1
            case Outcome.FAILED:
                tally.failed += 1
            case Outcome.SERVED:
                if took_us <= max(aim_us, request.patience_us):
                    tally.timely += 1
                else:
                    tally.late += 1
                tally.latency_counts[latency_bucket(took_us)] += 1
