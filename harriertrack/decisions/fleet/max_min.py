"""Divides a total among claimants: weighted max-min fairness over their demand, with few and small changes.

Max-min fairness by progressive filling (Bertsekas and Gallager, "Data Networks", 2nd ed., section 6.5.2):
no claimant can be given more without taking from one that has less, by weight. What a claimant holds beyond
its fair share stays with it until another lacks it: moving shares costs messages, and fluctuating demand
would move them back and forth.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

HEADROOM = 0.5  # of what a claimant needs, added while capacity is idle: arrivals come in bursts
STEP = 0.05  # of what a claimant holds: smaller changes are not worth a message


@dataclass(frozen=True, slots=True)
class Claimant:
    """A holder as input to the division: held and demanded rates per second, and its weight."""

    held: float
    demand: float
    weight: float = 1.0


def max_min_shares(total: float, claimants: Sequence[Claimant]) -> list[float]:
    """Return the weighted max-min division: each gets its demand, or the common level times its weight."""
    given = [0.0] * len(claimants)
    left, weights = max(0.0, total), sum(one.weight for one in claimants)
    for at in sorted(range(len(claimants)), key=lambda at: claimants[at].demand / claimants[at].weight):
        one = claimants[at]
        given[at] = max(0.0, min(one.demand, left * one.weight / weights))
        left -= given[at]
        weights -= one.weight
        if weights <= 0:
            break
    return given


def divide(total: float, claimants: Sequence[Claimant]) -> list[float]:
    """Return what each claimant is to hold, together at most the total.

    A claimant below its fair share is raised to it, first from unassigned capacity, then from claimants that
    hold more than theirs. Remaining idle capacity is added as headroom. Without demand a claimant holds none.
    """
    held = [one.held if one.demand > 0 else 0.0 for one in claimants]
    # A shortfall below 5 % (STEP) counts as none: else every change of demand would move all shares.
    needs = [
        have if have <= need < have * (1 + STEP) else need
        for need, have in zip(max_min_shares(total, claimants), held, strict=True)
    ]
    idle = total - sum(held)
    lacking = sum(max(0.0, need - have) for need, have in zip(needs, held, strict=True))
    if idle < lacking:
        surplus = [max(0.0, have - need) for need, have in zip(needs, held, strict=True)]
        part = min(1.0, (lacking - idle) / max(sum(surplus), 1e-12))
        return [max(need, have - part * over) for need, have, over in zip(needs, held, surplus, strict=True)]
    headrooms = [
        max(0.0, need * (1 + HEADROOM) - max(need, have)) for need, have in zip(needs, held, strict=True)
    ]
    part = min(1.0, (idle - lacking) / max(sum(headrooms), 1e-12))
    targets = [
        max(need, have) + part * extra for need, have, extra in zip(needs, held, headrooms, strict=True)
    ]
    return [
        have if need <= have and target < have * (1 + STEP) else target
        for need, have, target in zip(needs, held, targets, strict=True)
    ]
