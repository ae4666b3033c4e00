"""Operator actions on a day: proposing versions, changing their state, waiting for a rollout's verdict."""

from __future__ import annotations

from contextlib import suppress
from typing import TYPE_CHECKING

from harriertrack.decisions.fleet.changes.operations import ChangeRefused, propose, set_state_as_operator
from harriertrack.decisions.fleet.changes.record import Record
from harriertrack.decisions.fleet.changes.version_state import VersionState
from harriertrack.decisions.fleet.rollout.rollout import is_staged
from harriertrack.gateway.fleet.changes import stored_record
from harriertrack.gateway.fleet.zones import write_operator_hold
from harriertrack.gateway.witness import FAILURES, WitnessClient
from harriertrack.lab.fleet import staging
from harriertrack.lab.fleet.scenario import StepSettings, Verb
from harriertrack.rules import recording as rec

if TYPE_CHECKING:
    from harriertrack.lab.fleet.rig.fleet import FleetRig

CALL_US = 10_000_000  # long, as the witness shares the machine with all processes that a day starts
DECISION_POLL_US = 500_000


def operator(rig: FleetRig) -> WitnessClient:
    """Return the operator's client of the witness."""
    return WitnessClient(rig.hub, rig.network, rig.witness_address, CALL_US, "operator")


def change(rig: FleetRig, step: StepSettings, is_retry: bool = False) -> None:
    """Propose a version of a thing, or change the state of its current one.

    `is_retry`: an earlier attempt may have been applied already, and its answer lost.
    """
    now_ms, thing = rig.hub.clock.wall() // 1000, step.thing

    def make(record: Record) -> Record:
        if step.name is Verb.CHANGE:
            return set_state_as_operator(
                record, thing, VersionState(step.to), "operator", now_ms, "the day says so"
            )
        in_force = record.in_force(thing)
        base = in_force.number if in_force is not None else 0
        return propose(record, thing, base, step.body, "operator", now_ms, "the day says so", step.plan,
                       step.although)  # fmt: skip

    witness = operator(rig)
    known = (
        stored_record.read(witness).record.versions_of(thing)
        if is_retry and step.name is Verb.PROPOSE
        else ()
    )
    if known and known[-1].body == step.body:
        last = known[-1]
    else:
        written = stored_record.write(witness, make)
        last = written.record.in_progress(thing) or written.record.versions_of(thing)[-1]
    rig.recorder.add(
        rec.VersionProposed(t=rig.hub.now(), thing=thing, version=last.number, standing=last.standing.value)
    )
    staged = rig.fleet_day.changes is not None and rig.fleet_day.changes.rollout is not None
    if step.name is Verb.PROPOSE and staged and is_staged(thing):
        rig.recorder.add(staging.facts_of(rig.hub.now(), last, rig.heads))


def wish_zone(rig: FleetRig, step: StepSettings) -> None:
    """Set an operator's hold of a zone (out or in)."""
    write_operator_hold(operator(rig), step.zone, step.wish)


def await_decided(rig: FleetRig, step: StepSettings) -> None:
    """Wait for the verdict on a thing's newest version, or for a stage, until the step's time is over.

    Resumes, as an operator would, a rollout that is paused for lack of evidence.
    """
    deadline_us, seen_count, last = rig.hub.now() + step.within_us, 0, None
    while rig.hub.now() < deadline_us:
        records = rig.recorder.records
        for one in records[seen_count:]:
            if isinstance(one, rec.VersionProposed | rec.RolloutStep) and one.thing == step.thing:
                if last is None or one.version >= last.version:
                    last = one
        seen_count = len(records)
        if last is None or staging.is_settled(last, step.stage):
            return
        if staging.lacks_evidence(last):
            with suppress(ChangeRefused, *FAILURES):  # the decider was first; or tried again at the next poll
                change(rig, StepSettings(name=Verb.CHANGE, thing=step.thing, to="going"))
        rig.hub.sleep(DECISION_POLL_US)
