"""What the rules must know of a day before it begins."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from harriertrack.config.settings import BudgetName, PlanSettings, ScoringSettings, VolumeSettings
from harriertrack.decisions.fleet.scoring.rules import MAX_LOG_WEIGHT
from harriertrack.lab.fleet.scenario import ZONES, FleetDaySettings, select_heads
from harriertrack.lab.fleet.weights import BROKEN
from harriertrack.rules import recording as rec


def of_rollouts(day: FleetDaySettings) -> Iterator[rec.RolloutExpected]:
    """Tell how versions are to end."""
    for end in day.ends:
        yield rec.RolloutExpected(t=0, thing=end.name, version=end.version)


def of_zones(day: FleetDaySettings) -> Iterator[rec.ZoneFacts]:
    """Tell which zones may be left, and at what pace they are to come back."""
    if (zones := day.zones) is not None:
        yield rec.ZoneFacts(
            t=0, zones=list(ZONES), may_leave=list(day.may_leave), tries=zones.tries, first=zones.first,
            growth=zones.growth, step_us=zones.step_us, hears_us=day.hears_us,
        )  # fmt: skip


def of_regions(day: FleetDaySettings, plans: Iterable[PlanSettings],
               volumes: Iterable[VolumeSettings]) -> Iterator[rec.VolumeMoveFacts]:  # fmt: skip
    """Tell at what pace volumes may change regions, where they belong, and who comes first."""
    paces = [one for one in day.budgets.budgets if one.name is BudgetName.TAKEOVERS] if day.budgets else []
    reserves = {plan.name: plan.reserve for plan in plans}
    spread = [one for one in volumes if one.regions is not None]
    for pace in paces:
        yield rec.VolumeMoveFacts(
            t=0, rate=pace.whole, burst=pace.burst,
            homes={one.name: one.regions.home for one in spread if one.regions is not None},
            reserves={one.name: reserves[one.plan] for one in spread},
        )  # fmt: skip


def of_weights(day: FleetDaySettings, scoring: ScoringSettings, heads: int) -> rec.WeightFacts:
    """Return what must hold of weights."""
    names = [f"head{number}" for number in range(heads)]
    return rec.WeightFacts(
        t=0, most=MAX_LOG_WEIGHT, rate=scoring.rate, fresh_us=scoring.stale_us, sway=day.sway,
        notes_bytes=2.0 * day.figures.topic_bytes,  # what a second brings, and what was spared
        liars=select_heads(day.liars, names), broken=list(BROKEN),
    )  # fmt: skip


def of_budgets(day: FleetDaySettings, plans: Iterable[PlanSettings],
               volumes: Iterable[VolumeSettings]) -> Iterator[rec.BudgetFacts]:  # fmt: skip
    """Tell what the heads divide of each plan's limit."""
    if day.budgets is None:
        return
    fixed = {one.name: one.fixed for one in day.budgets.budgets}.get(BudgetName.LIMITS, 1.0)
    limits = {plan.name: plan for plan in plans}
    for volume in volumes:
        if (plan := limits[volume.plan]).limit:
            yield rec.BudgetFacts(
                t=0, budget=f"limits/{volume.name}", rate=plan.limit, burst=plan.limit_burst,
                moving=(1 - fixed) * plan.limit,
            )  # fmt: skip
