"""Whom a step means: heads by name, share, lot or the role that they have now, and what is no head."""

from __future__ import annotations

from typing import TYPE_CHECKING

from harriertrack.gateway.fleet.locks import DECISION_LOCK
from harriertrack.lab.fleet.scenario import ROLES, StepSettings, select_heads
from harriertrack.lab.rig import HeadSlot
from harriertrack.rules import recording as rec

if TYPE_CHECKING:
    from harriertrack.lab.fleet.rig.fleet import FleetRig

OUTSIDE = ("list", "witness")  # parties that are no heads or nodes


def heads_of(rig: FleetRig, step: StepSettings) -> list[HeadSlot]:
    """Return the heads that a step is about."""
    names = select_heads(step.who, [slot.name for slot in rig.heads])
    names += [name for word in step.who if word in ROLES for name in _in_role(rig, word)]
    if step.part < 1.0:
        names = rig.drawn.sample(names, max(1, round(step.part * len(names))))
    return [slot for slot in rig.heads if slot.name in names]


def _in_role(rig: FleetRig, word: str) -> list[str]:
    """Return the heads that have a role now, as far as they told."""
    if word == "decider":
        return [rig.hearing.decider] if rig.hearing.decider else []
    if word == "keeper":
        return sorted({name for ledger, name in rig.hearing.keepers.items() if ledger != DECISION_LOCK})
    steps = [one for one in rig.recorder.records if isinstance(one, rec.RolloutStep) and one.heads]
    new = set(steps[-1].heads if steps else ())
    zones = {slot.zone for slot in rig.heads if slot.name in new}
    return [slot.name for slot in rig.heads
            if slot.name in new or (word == "new-zone" and slot.zone in zones)]  # fmt: skip


def ends_of(rig: FleetRig, step: StepSettings) -> tuple[list[str], list[str]]:
    """Return the parties between which a fault lies."""
    heads = [slot.name for slot in rig.heads]
    sources = select_heads(step.who, heads)
    if step.part < 1.0:
        sources = rig.drawn.sample(sources, max(1, round(step.part * len(sources))))
    targets = select_heads(step.other, heads, tuple(sources))
    for words, found in ((step.who, sources), (step.other, targets)):
        found += [name for name in words if name in rig.shelves or name in OUTSIDE]
        if "shelves" in words:
            found += list(rig.shelves)
    return sources, targets
