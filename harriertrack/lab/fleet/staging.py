"""Records and checks of staged rollouts on a fleet's day."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

import msgspec

from harriertrack.config.rollout import plan_of_version
from harriertrack.decisions.fleet.changes.record import Version
from harriertrack.decisions.fleet.changes.version_state import FINISHED, VersionState
from harriertrack.decisions.fleet.rollout.rollout import INSUFFICIENT_PREFIX
from harriertrack.lab.rig import HeadSlot
from harriertrack.rules import recording as rec


def facts_of(now: int, version: Version, slots: Iterable[HeadSlot]) -> rec.RolloutFacts:
    """Return the facts that the rules need to judge a proposed version's rollout."""
    plan, heads = plan_of_version(version), list(slots)
    return rec.RolloutFacts(
        t=now, thing=version.thing, version=version.number, zones={slot.name: slot.zone for slot in heads},
        volumes={slot.name: [volume.name for volume in slot.settings.volumes] for slot in heads},
        stages=[rec.StageFacts(heads=stage.heads, share=stage.share) for stage in plan.stages],
        away=plan.max_away(len(heads), False), back_away=plan.max_away(len(heads), True),
        missing=plan.missing,
    )  # fmt: skip


def step_of(now: int, by: str, fields: Mapping[str, object]) -> rec.RolloutStep:
    """Return the record of a rollout step that a head logged."""
    logged = {
        name: fields[name] for name in ("epoch", "thing", "version", "standing", "stage", "heads", "why")
    }
    return msgspec.convert({**logged, "t": now, "by": by}, rec.RolloutStep)


def is_settled(last: rec.RolloutStep | rec.VersionProposed, stage: int) -> bool:
    """Whether a version is in force or finished, or (for a stage from 1) its heads are selected."""
    if VersionState(last.standing) in (*FINISHED, VersionState.IN_FORCE):
        return True
    return isinstance(last, rec.RolloutStep) and 0 < stage <= last.stage and bool(last.heads)


def lacks_evidence(last: rec.RolloutStep | rec.VersionProposed) -> bool:
    """Whether a version is paused because evidence is insufficient, and for no other reason."""
    return (isinstance(last, rec.RolloutStep) and last.standing == VersionState.PAUSED.value
            and last.why.startswith(INSUFFICIENT_PREFIX))  # fmt: skip
