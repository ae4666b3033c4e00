"""Plans' limits that change in service on a fleet's day: who is told when, and what all together may use.

The day itself does as an operator and as who decides: it proposes settings, and names the heads that run
them. What may be sent is the most that any living head is told, or was until the time was over in which all
have to come inside a lower whole; that is recorded, and judged by rule 7 and by the rules of budgets.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from harriertrack.config.settings import BudgetName, PlanSettings
from harriertrack.decisions.fleet.budgets import BudgetRules
from harriertrack.decisions.fleet.changes.operations import set_state as take_step
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
LOOK_US = 20_000


def body_of(plans: list[PlanSettings], times: float) -> str:
    """Return settings in which the limits are so many times as high."""
    limits = (f'(plan "{plan.name}" (limit {plan.limit * times!r}))' for plan in plans)
    return f"(settings {' '.join(limits)})"


class Limits:
    """Those of one day."""

    def __init__(self, rig: FleetRig, rules: BudgetRules) -> None:
        self._rig = rig
        self._plans = [plan for plan in rig.plans if plan.limit]
        self._settles_us = int(rules.settling_us * (1 + 2 * rules.clock_error))
        self._times: dict[int, float] = {0: 1.0}  # by version
        self._told: dict[str, float] = {}  # by head; 1: what it was started with
        self._until: dict[float, int] = {1.0: 0}  # until when what somebody was told may be in use
        self._allowed = 1.0
        self._watches = False

    def step(self, step: StepSettings, who: list[HeadSlot]) -> None:
        """Let heads, and from then on all if that is what `who` says, go by limits of `times` the day's."""
        rig = self._rig
        if not self._watches:
            self._watches = True
            rig.scope.spawn("limits", self._watch)
        if self._times[max(self._times)] != step.times:
            body = body_of(self._plans, step.times)
            rig.change(StepSettings(name=Verb.PROPOSE, thing=THING, body=body))
            self._times[max(self._times) + 1] = step.times
        number, names, everybody = max(self._times), [slot.name for slot in who], "all" in step.who
        now_ms = rig.hub.clock.wall() // 1000

        def make(record: Record) -> Record:
            standing = VersionState.IN_FORCE if everybody else VersionState.ADVANCING
            one = record.find(THING, number)
            heads = sorted({*(one.heads if one is not None else ()), *names})
            return take_step(record, record.epoch, THING, number, standing, now_ms, "the day says so",
                             heads=heads)  # fmt: skip

        stored_record.write(rig.operator(), make)

    def handle_log_event(self, slot: HeadSlot, event: str, fields: dict[str, object]) -> None:
        """Take a line of a head's log."""
        if event == "fleet change taken" and fields.get("thing") == THING:
            # Settings that others proposed leave limits as they were at the start.
            self._told[slot.name] = self._times.get(int(str(fields["version"])), 1.0)
            self._follow()

    def _watch(self) -> None:
        """Look who lives, and which time is over (a task)."""
        while True:
            self._follow()
            self._rig.hub.sleep(LOOK_US)

    def _follow(self) -> None:
        rig, now = self._rig, self._rig.hub.now()
        for times in {self._told.get(name, 1.0) for name in rig.views.alive}:
            self._until[times] = now + self._settles_us
        allowed = max((times for times, until in self._until.items() if until >= now), default=self._allowed)
        if allowed != self._allowed:
            self._allowed = allowed
            self._record(allowed)

    def _record(self, times: float) -> None:
        rig = self._rig
        assert rig.fleet_day.budgets is not None
        fixed = {one.name: one.fixed for one in rig.fleet_day.budgets.budgets}.get(BudgetName.LIMITS, 1.0)
        plans = {plan.name: plan for plan in self._plans}
        for volume in rig.volumes:
            if (plan := plans.get(volume.plan)) is not None:
                rate, burst, now = plan.limit * times, plan.limit_burst, rig.hub.now()
                rig.recorder.add(rec.LimitChanged(t=now, volume=volume.name, rate=rate, burst=burst))
                rig.recorder.add(
                    rec.BudgetFacts(t=now, budget=f"limits/{volume.name}", rate=rate, burst=burst,
                                    moving=(1 - fixed) * rate)
                )  # fmt: skip


def limits_of(rig: FleetRig) -> Limits | None:
    """Return a day's limits, where heads divide them and follow a record."""
    budgets = rig.fleet_day.budgets
    if budgets is None or rig.fleet_day.changes is None:
        return None
    return Limits(rig, parameters_from(BudgetRules, budgets))
