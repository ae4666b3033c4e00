"""The parties of a step: heads by name, share, chance or current role, and parties that are not heads."""

from __future__ import annotations

from typing import TYPE_CHECKING

from harriertrack.gateway.fleet.locks import DECISION_LOCK
from harriertrack.lab.fleet.scenario import ROLES, StepSettings, select_heads
from harriertrack.lab.rig import HeadSlot
from harriertrack.rules import recording as rec

if TYPE_CHECKING:
    from harriertrack.lab.fleet.rig.fleet import FleetRig

OUTSIDE = ("list", "witness")  # parties that are neither heads nor nodes


def heads_of(rig: FleetRig, step: StepSettings) -> list[HeadSlot]:
    """Return the heads that a step applies to."""
    names = select_heads(step.who, [slot.name for slot in rig.heads])
    names += [name for role in step.who if role in ROLES for name in _in_role(rig, role)]
    if step.part < 1.0:
        names = rig.rng.sample(names, max(1, round(step.part * len(names))))
    return [slot for slot in rig.heads if slot.name in names]


def _in_role(rig: FleetRig, role: str) -> list[str]:
    """Return the heads that currently have a role, as far as their logs and the recording show it."""
    if role == "decider":
        return [rig.observer.decider] if rig.observer.decider else []
    if role == "keeper":
        return sorted({name for ledger, name in rig.observer.keepers.items() if ledger != DECISION_LOCK})
    steps = [one for one in rig.recorder.records if isinstance(one, rec.RolloutStep) and one.heads]
    new = set(steps[-1].heads if steps else ())
    zones = {slot.zone for slot in rig.heads if slot.name in new}
    return [slot.name for slot in rig.heads
            if slot.name in new or (role == "new-zone" and slot.zone in zones)]  # fmt: skip


def ends_of(rig: FleetRig, step: StepSettings) -> tuple[list[str], list[str]]:
    """Return the parties on either side of a network fault."""
    heads = [slot.name for slot in rig.heads]
    sources = select_heads(step.who, heads)
    if step.part < 1.0:
        sources = rig.rng.sample(sources, max(1, round(step.part * len(sources))))
    targets = select_heads(step.other, heads, tuple(sources))
    for selectors, parties in ((step.who, sources), (step.other, targets)):
        parties += [name for name in selectors if name in rig.nodes or name in OUTSIDE]
        if "shelves" in selectors:
            parties += list(rig.nodes)
    return sources, targets
