"""What a fleet's day records of versions that come in stages."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec

from harriertrack.config.rollout import plan_of
from harriertrack.decisions.fleet.changes.record import Version
from harriertrack.lab.rig import HeadSlot
from harriertrack.rules import recording as rec


def facts_of(now: int, version: Version, slots: Iterable[HeadSlot]) -> rec.RolloutFacts:
    """Return what a version that was proposed is to be judged by."""
    plan, heads = plan_of(version), list(slots)
    return rec.RolloutFacts(
        t=now, thing=version.thing, version=version.number, zones={slot.name: slot.zone for slot in heads},
        volumes={slot.name: [one.name for one in slot.settings.volumes] for slot in heads},
        stages=[rec.StageFacts(heads=one.heads, share=one.share) for one in plan.stages],
        away=plan.may_be_away(len(heads), False), back_away=plan.may_be_away(len(heads), True),
        missing=plan.missing,
    )  # fmt: skip


def step_of(now: int, by: str, fields: Mapping[str, object]) -> rec.RolloutStep:
    """Return the step that a head's log line tells of."""
    told = {name: fields[name] for name in ("epoch", "thing", "version", "standing", "stage", "heads", "why")}
    return msgspec.convert({**told, "t": now, "by": by}, rec.RolloutStep)
