"""Plan limits that change in service on a fleet's day: when each head applies them, and the total allowed.

The day itself acts as the operator and as the decider: it proposes settings, and selects the heads that run
them. The allowed rate is the highest that any live head applies, or applied within the settling time in which
all heads must come below a lower total. It is recorded, and judged by rule 7 and by the rules of budgets.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from harriertrack.config.settings import BudgetName, PlanSettings
from harriertrack.decisions.fleet.budgets import BudgetRules
from harriertrack.decisions.fleet.changes.operations import set_state
from harriertrack.decisions.fleet.changes.record import Kind, Record
from harriertrack.decisions.fleet.changes.version_state import VersionState
from harriertrack.gateway.fleet.changes import stored_record
from harriertrack.gateway.fleet.parameters import parameters_from
from harriertrack.lab.fleet.scenario import StepSettings, Verb
from harriertrack.rules import recording as rec

if TYPE_CHECKING:
    from harriertrack.lab.fleet.rig import FleetRig
    from harriertrack.lab.rig import HeadSlot

THING = Kind.SETTINGS.value
POLL_US = 20_000


def body_of(plans: list[PlanSettings], times: float) -> str:
    """Return settings whose limits are `times` those of the plans."""
    limits = (f'(plan "{plan.name}" (limit {plan.limit * times!r}))' for plan in plans)
    return f"(settings {' '.join(limits)})"


class Limits:
    """The changing limits of one day."""

    def __init__(self, rig: FleetRig, rules: BudgetRules) -> None:
        self._rig = rig
        self._plans = [plan for plan in rig.plans if plan.limit]
        self._settling_us = int(rules.settling_us * (1 + 2 * rules.clock_error))
        self._factors: dict[int, float] = {0: 1.0}  # by version of the settings
        self._applied: dict[str, float] = {}  # factor by head; 1: the limits it was started with
        self._usable_until: dict[float, int] = {1.0: 0}  # by factor: until when its rate is still allowed
        self._allowed = 1.0
        self._is_watching = False

    def step(self, step: StepSettings, who: list[HeadSlot]) -> None:
        """Make heads apply limits of `times` the day's; with `all`, also heads that start later."""
        rig = self._rig
        if not self._is_watching:
            self._is_watching = True
            rig.scope.spawn("limits", self._watch)
        if self._factors[max(self._factors)] != step.times:
            body = body_of(self._plans, step.times)
            rig.change(StepSettings(name=Verb.PROPOSE, thing=THING, body=body))
            self._factors[max(self._factors) + 1] = step.times
        number, names, all_heads = max(self._factors), [slot.name for slot in who], "all" in step.who
        now_ms = rig.hub.clock.wall() // 1000

        def update(record: Record) -> Record:
            state = VersionState.IN_FORCE if all_heads else VersionState.ADVANCING
            version = record.find(THING, number)
            heads = sorted({*(version.heads if version is not None else ()), *names})
            return set_state(record, record.epoch, THING, number, state, now_ms, "the day says so",
                             heads=heads)  # fmt: skip

        stored_record.write(rig.operator(), update)

    def handle_log_event(self, slot: HeadSlot, event: str, fields: dict[str, object]) -> None:
        """Handle a line of a head's log: note the limits that the head applies from now on."""
        if event == "fleet change taken" and fields.get("thing") == THING:
            # Settings proposed by others leave the limits at their initial values.
            self._applied[slot.name] = self._factors.get(int(str(fields["version"])), 1.0)
            self._update_allowed()

    def _watch(self) -> None:
        """Follow which heads are alive, and which settling times have passed (a task)."""
        while True:
            self._update_allowed()
            self._rig.hub.sleep(POLL_US)

    def _update_allowed(self) -> None:
        rig, now = self._rig, self._rig.hub.now()
        for factor in {self._applied.get(name, 1.0) for name in rig.views.alive}:
            self._usable_until[factor] = now + self._settling_us
        allowed = max(
            (factor for factor, end in self._usable_until.items() if end >= now), default=self._allowed
        )
        if allowed != self._allowed:
            self._allowed = allowed
            self._record(allowed)

    def _record(self, factor: float) -> None:
        rig = self._rig
        assert rig.fleet_day.budgets is not None
        fixed = {budget.name: budget.fixed for budget in rig.fleet_day.budgets.budgets}.get(
            BudgetName.LIMITS, 1.0
        )
        plans = {plan.name: plan for plan in self._plans}
        for volume in rig.volumes:
            if (plan := plans.get(volume.plan)) is not None:
                rate, burst, now = plan.limit * factor, plan.limit_burst, rig.hub.now()
                rig.recorder.add(rec.LimitChanged(t=now, volume=volume.name, rate=rate, burst=burst))
                rig.recorder.add(
                    rec.BudgetFacts(t=now, budget=f"limits/{volume.name}", rate=rate, burst=burst,
                                    moving=(1 - fixed) * rate)
                )  # fmt: skip


def limits_of(rig: FleetRig) -> Limits | None:
    """Return the limits of a day whose heads share budgets and follow a record of changes; else None."""
    budgets = rig.fleet_day.budgets
    if budgets is None or rig.fleet_day.changes is None:
        return None
    return Limits(rig, parameters_from(BudgetRules, budgets))
