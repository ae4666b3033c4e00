"""The fleet's record of changes at the witness: concurrent writers, a killed writer, successive terms."""

from __future__ import annotations

from collections.abc import Callable

from harriertrack.decisions.fleet.changes.operations import (
    ChangeConflict,
    ChangeRefused,
    propose,
    set_state,
    set_state_as_operator,
)
from harriertrack.decisions.fleet.changes.record import Record
from harriertrack.decisions.fleet.changes.version_state import (
    FINISHED,
    IN_PROGRESS,
    TRANSITIONS,
    IllegalTransition,
    VersionState,
)
from harriertrack.gateway.fleet.changes import stored_record
from harriertrack.gateway.witness import FAILURES, WitnessClient
from harriertrack.lab.interleaving.scenarios.witness import CALL_US, WITNESS, ApartWitness, witness_of
from harriertrack.lab.interleaving.world import Scenario, World
from harriertrack.membership.fleet.change_record import PATH, decode, encode

THING = "settings"
Change = Callable[[Record], Record]


class History:
    """All records that the witness ever stored; finds illegal steps from one to the next."""

    def __init__(self, witness: ApartWitness, start: Record) -> None:
        self._witness = witness
        self.records = [start]

    def now(self) -> Record:
        """Read the stored record, add it to the history, and return it."""
        data = self._witness.stored(PATH)[0]
        record = decode(data) if data else Record()
        if record != self.records[-1]:
            self.records.append(record)
        return record

    def wrong(self) -> str | None:
        """Return the first violation in the history, if any."""
        for before, after in zip(self.records, self.records[1:], strict=False):
            if after.revision != before.revision + 1:
                return f"revision {after.revision} in place of {before.revision}"
            if after.epoch < before.epoch or after.level < before.level:
                return f"epoch {before.epoch} was followed by {after.epoch}"
            old_versions = {(version.thing, version.number): version for version in before.versions}
            for version in after.versions:
                old_version = old_versions.get((version.thing, version.number))
                if old_version is not None and old_version.standing is not version.standing:
                    if version.standing not in TRANSITIONS[old_version.standing]:
                        old, new = old_version.standing.value, version.standing.value
                        return f"version {version.number} went from {old} to {new}"
                if (
                    version != old_version
                    and version.reason.startswith("term ")
                    and int(version.reason[5:]) < before.epoch
                ):
                    return f"{version.reason} decided after term {before.epoch}"
            missing = [
                key
                for key, version in old_versions.items()
                if version.standing not in FINISHED and after.find(*key) is None
            ]
            if missing:
                return f"versions {missing} are gone"
        latest = self.records[-1]
        if sum(version.standing in IN_PROGRESS for version in latest.versions) > 1:
            return "two versions of one thing are under way"
        if sum(version.standing is VersionState.IN_FORCE for version in latest.versions) > 1:
            return "two versions of one thing are in force"
        return None


def _proposed(standing: VersionState = VersionState.PROPOSED) -> Record:
    record = propose(Record(), THING, 0, "one", "op", 1, "first")
    if standing is not VersionState.PROPOSED:
        record = set_state(record, 1, THING, 1, VersionState.ADVANCING, 2, "stage 1", 1, ("h1",))
    return record


def _writers(start: Record, changes: dict[str, list[Change]], may_die: str) -> Callable[[World], None]:
    """Let each writer make its changes and note their results; check every record that is stored."""

    def build(world: World) -> None:
        witness = witness_of(world, value=encode(start) if start.revision else None, path=PATH)
        history = History(witness, start)
        results: dict[str, list[str]] = {name: [] for name in changes}
        revisions_made: dict[str, list[int]] = {name: [] for name in changes}

        def writer(name: str) -> None:
            client = WitnessClient(world.hub, world.network, (WITNESS, 8500), CALL_US, name)
            witness.up.wait()
            for change in changes[name]:
                try:
                    found = stored_record.write(client, change)
                    revisions_made[name].append(found.record.revision)
                    results[name].append("done")
                except ChangeConflict:
                    results[name].append("conflict")
                except (ChangeRefused, IllegalTransition) as error:
                    results[name].append(type(error).__name__)
                except FAILURES:
                    results[name].append("unknown")

        for name in changes:
            world.spawn(name, "writes", writer, name, ends=True)
        if may_die:
            world.may_die(may_die)

        def view() -> tuple[Record, tuple[tuple[str, ...], ...]]:
            return history.now(), tuple(tuple(outcomes) for outcomes in results.values())

        def finish() -> str | None:
            revisions = [number for numbers in revisions_made.values() for number in numbers]
            if len(set(revisions)) < len(revisions):
                return f"two were told that they made one revision: {revisions_made}"
            done = sum(outcomes.count("done") for outcomes in results.values())
            unknown = sum(outcomes.count("unknown") for outcomes in results.values()) + len(world.dead)
            made = history.records[-1].revision - start.revision
            return None if done <= made <= done + unknown else f"{made} changes were made, and {results} told"

        world.view, world.finish = view, finish
        world.judge = lambda _view: history.wrong()

    return build


def _propose(body: str, by: str) -> Change:
    return lambda record: propose(record, THING, 0, body, by, 5, "wanted")


def _step(epoch: int, standing: VersionState, *heads: str) -> Change:
    return lambda record: set_state(record, epoch, THING, 1, standing, 6, f"term {epoch}", len(heads), heads)


def _operator_step(standing: VersionState) -> Change:
    return lambda record: set_state_as_operator(record, THING, standing, "op", 7, "an operator's word")


PROPOSALS: dict[str, list[Change]] = {"a": [_propose("A", "a")], "b": [_propose("B", "b")]}
DECIDERS: dict[str, list[Change]] = {
    "old": [_step(1, VersionState.ADVANCING, "h1", "h2"), _step(1, VersionState.IN_FORCE)],
    "new": [_step(2, VersionState.ADVANCING, "h1", "h3")],
}
ABORT_RACE: dict[str, list[Change]] = {
    "decider": [_step(1, VersionState.IN_FORCE)],
    "operator": [_operator_step(VersionState.ABORTED)],
}

SCENARIOS = (
    Scenario("changes-two", "two proposals at once, and a killed writer", _writers(Record(), PROPOSALS, "a")),
    Scenario("changes-terms", "a decider that was replaced, and dies, against its successor",
             _writers(_proposed(VersionState.ADVANCING), DECIDERS, "old"), most_steps=600),
    Scenario("changes-abort", "a step in force against an operator's abort",
             _writers(_proposed(VersionState.ADVANCING), ABORT_RACE, "decider")),
)  # fmt: skip
