"""The settings that the heads of a day start with, derived from the day's file."""

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
    """Return a head's budget settings."""
    budgets = day.budgets
    if budgets is None:
        return None
    fields = {field: getattr(budgets, field) for field in DayBudgets.__struct_fields__}
    return FleetBudgetSettings(witness=witness, **fields)


def zones_of(day: FleetDaySettings, name: str) -> ZonesSettings | None:
    """Return a head's settings for leaving zones; None for the share of heads that has none."""
    number = int(name.removeprefix("head"))
    return day.zones if number % 10 < round(10 * day.zones_at) else None


def scoring_of(day: FleetDaySettings, step: StepSettings | None = None) -> ScoringSettings | None:
    """Return a head's scoring settings; those of a later program version may differ."""
    is_later = step is not None and step.later and day.scoring_later is not None
    return day.scoring_later if is_later else day.scoring


def settings_at_start(day: FleetDaySettings, settings: HeadSettings, step: StepSettings) -> HeadSettings:
    """Return the settings with which a step starts a head."""
    fleet = settings.fleet
    if fleet is None or day.scoring_later is None:
        return settings
    changed = msgspec.structs.replace(fleet, scoring=scoring_of(day, step))
    return msgspec.structs.replace(settings, fleet=changed)


def is_liar(day: FleetDaySettings, name: str, heads: list[str]) -> bool:
    """Whether a head sends false weights on this day."""
    return name in select_heads(day.liars, heads)


def figures(day: FleetDaySettings) -> dict[str, object]:
    """Return the parameters of the membership protocol."""
    return {field: getattr(day.figures, field) for field in FleetParameters.__struct_fields__}
