"""Facts about a day that the rules need before it begins."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from harriertrack.config.settings import BudgetName, PlanSettings, ScoringSettings, VolumeSettings
from harriertrack.decisions.fleet.scoring.rules import MAX_LOG_WEIGHT
from harriertrack.lab.fleet.scenario import ZONES, FleetDaySettings, select_heads
from harriertrack.lab.fleet.weights import BROKEN
from harriertrack.rules import recording as rec


def of_rollouts(day: FleetDaySettings) -> Iterator[rec.RolloutExpected]:
    """Yield the expected final states of versions."""
    for end in day.ends:
        yield rec.RolloutExpected(t=0, thing=end.name, version=end.version)


def of_zones(day: FleetDaySettings) -> Iterator[rec.ZoneFacts]:
    """Yield which zones heads may leave, and the pace at which they return to them."""
    if (zones := day.zones) is not None:
        yield rec.ZoneFacts(
            t=0, zones=list(ZONES), may_leave=list(day.may_leave), tries=zones.tries, first=zones.first,
            growth=zones.growth, step_us=zones.step_us, hears_us=day.hears_us,
        )  # fmt: skip


def of_regions(day: FleetDaySettings, plans: Iterable[PlanSettings],
               volumes: Iterable[VolumeSettings]) -> Iterator[rec.VolumeMoveFacts]:  # fmt: skip
    """Yield the rate at which volumes may change regions, their home regions and their plans' reserves."""
    takeovers = (
        [one for one in day.budgets.budgets if one.name is BudgetName.TAKEOVERS] if day.budgets else []
    )
    reserves = {plan.name: plan.reserve for plan in plans}
    movable = [one for one in volumes if one.regions is not None]
    for budget in takeovers:
        yield rec.VolumeMoveFacts(
            t=0, rate=budget.whole, burst=budget.burst,
            homes={one.name: one.regions.home for one in movable if one.regions is not None},
            reserves={one.name: reserves[one.plan] for one in movable},
        )  # fmt: skip


def of_weights(day: FleetDaySettings, scoring: ScoringSettings, heads: int) -> rec.WeightFacts:
    """Return the bounds that weights are checked against."""
    names = [f"head{number}" for number in range(heads)]
    return rec.WeightFacts(
        t=0, most=MAX_LOG_WEIGHT, rate=scoring.rate, fresh_us=scoring.stale_us, sway=day.sway,
        notes_bytes=2.0 * day.figures.topic_bytes,  # a second's allowance, and as much left over
        liars=select_heads(day.liars, names), broken=list(BROKEN),
    )  # fmt: skip


def of_budgets(day: FleetDaySettings, plans: Iterable[PlanSettings],
               volumes: Iterable[VolumeSettings]) -> Iterator[rec.BudgetFacts]:  # fmt: skip
    """Yield the part of each volume's limit that heads divide among themselves."""
    if day.budgets is None:
        return
    fixed = {one.name: one.fixed for one in day.budgets.budgets}.get(BudgetName.LIMITS, 1.0)
    plans_by_name = {plan.name: plan for plan in plans}
    for volume in volumes:
        if (plan := plans_by_name[volume.plan]).limit:
            yield rec.BudgetFacts(
                t=0, budget=f"limits/{volume.name}", rate=plan.limit, burst=plan.limit_burst,
                moving=(1 - fixed) * plan.limit,
            )  # fmt: skip
