"""What the heads of a day are told when they start, as the day's file says."""

from __future__ import annotations

import msgspec

from harriertrack.config.settings import (
    FleetBudgetSettings,
    FleetParameters,
    HeadSettings,
    ScoringSettings,
    ZonesSettings,
)
from harriertrack.lab.fleet.scenario import DayBudgets, FleetDaySettings, StepSettings, select_heads


def budgets_of(day: FleetDaySettings, witness: tuple[str, int]) -> FleetBudgetSettings | None:
    """Return what a head is told of budgets."""
    plan = day.budgets
    if plan is None:
        return None
    figures = {field: getattr(plan, field) for field in DayBudgets.__struct_fields__}
    return FleetBudgetSettings(witness=witness, **figures)


def zones_of(day: FleetDaySettings, name: str) -> ZonesSettings | None:
    """Return what a head is told of leaving zones."""
    number = int(name.removeprefix("head"))
    return day.zones if number % 10 < round(10 * day.zones_at) else None


def scoring_of(day: FleetDaySettings, step: StepSettings | None = None) -> ScoringSettings | None:
    """Return what a head is told of scoring; a later version may be told other things."""
    later = step is not None and step.later and day.scoring_later is not None
    return day.scoring_later if later else day.scoring


def at_start(day: FleetDaySettings, settings: HeadSettings, step: StepSettings) -> HeadSettings:
    """Return the settings with which a step starts a head."""
    fleet = settings.fleet
    if fleet is None or day.scoring_later is None:
        return settings
    told = msgspec.structs.replace(fleet, scoring=scoring_of(day, step))
    return msgspec.structs.replace(settings, fleet=told)


def lies(day: FleetDaySettings, name: str, heads: list[str]) -> bool:
    """Whether a head is a liar."""
    return name in select_heads(day.liars, heads)


def figures(day: FleetDaySettings) -> dict[str, object]:
    """Return the protocol's figures."""
    return {field: getattr(day.figures, field) for field in FleetParameters.__struct_fields__}
