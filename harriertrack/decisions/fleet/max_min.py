"""Who gets which part of a whole: weighted max-min over what is asked for, by few and small moves.

Max-min fairness by progressive filling (Bertsekas and Gallager, "Data Networks", 2nd ed., section 6.5.2):
nobody can be given more without taking from somebody who has less, by weight. What is held beyond that is
left where it is until somebody lacks it: shares that move cost messages, and demand that swings would move
them to and fro.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

HEADROOM = 0.5  # of what somebody needs, given on top while it lies idle: arrivals come in clumps
STEP = 0.05  # of what is held: less is not worth a message


@dataclass(frozen=True, slots=True)
class Claimant:
    """One holder's: what it holds and what it could use, both a second, and how much it counts."""

    held: float
    demand: float
    weight: float = 1.0


def max_min_shares(whole: float, wishes: Sequence[Claimant]) -> list[float]:
    """Return the weighted max-min division: each gets what it wants, or the common level times its weight."""
    given = [0.0] * len(wishes)
    left, weights = max(0.0, whole), sum(one.weight for one in wishes)
    for at in sorted(range(len(wishes)), key=lambda at: wishes[at].demand / wishes[at].weight):
        one = wishes[at]
        given[at] = max(0.0, min(one.demand, left * one.weight / weights))
        left -= given[at]
        weights -= one.weight
        if weights <= 0:
            break
    return given


def divide(whole: float, wishes: Sequence[Claimant]) -> list[float]:
    """Return what each is to hold, at most the whole together.

    Who has less than its fair part gets it, at first from what nobody holds, then from who holds more than
    its own. Of what is left idle each gets some headroom. Who wants nothing keeps nothing.
    """
    held = [one.held if one.demand > 0 else 0.0 for one in wishes]
    # Who lacks a twentieth lacks nothing: else every swing of demand would move all shares.
    needs = [
        have if have <= need < have * (1 + STEP) else need
        for need, have in zip(max_min_shares(whole, wishes), held, strict=True)
    ]
    idle = whole - sum(held)
    lacking = sum(max(0.0, need - have) for need, have in zip(needs, held, strict=True))
    if idle < lacking:
        spare = [max(0.0, have - need) for need, have in zip(needs, held, strict=True)]
        part = min(1.0, (lacking - idle) / max(sum(spare), 1e-12))
        return [max(need, have - part * over) for need, have, over in zip(needs, held, spare, strict=True)]
    rooms = [
        max(0.0, need * (1 + HEADROOM) - max(need, have)) for need, have in zip(needs, held, strict=True)
    ]
    part = min(1.0, (idle - lacking) / max(sum(rooms), 1e-12))
    targets = [max(need, have) + part * room for need, have, room in zip(needs, held, rooms, strict=True)]
    return [
        have if need <= have and target < have * (1 + STEP) else target
        for need, have, target in zip(needs, held, targets, strict=True)
    ]
