"""The fleet's record of changes at the witness: writers at once, a killed one, terms in turn."""

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
Make = Callable[[Record], Record]


class History:
    """All records that the witness ever held, and what is wrong with how one followed the other."""

    def __init__(self, witness: ApartWitness, start: Record) -> None:
        self._witness = witness
        self.records = [start]

    def now(self) -> Record:
        """Return the present one, and remember it."""
        data = self._witness.stored(PATH)[0]
        record = decode(data) if data else Record()
        if record != self.records[-1]:
            self.records.append(record)
        return record

    def wrong(self) -> str | None:
        """Return what can't be."""
        for before, after in zip(self.records, self.records[1:], strict=False):
            if after.revision != before.revision + 1:
                return f"revision {after.revision} in place of {before.revision}"
            if after.epoch < before.epoch or after.level < before.level:
                return f"epoch {before.epoch} was followed by {after.epoch}"
            old = {(one.thing, one.number): one for one in before.versions}
            for one in after.versions:
                was = old.get((one.thing, one.number))
                if was is not None and was.standing is not one.standing:
                    if one.standing not in TRANSITIONS[was.standing]:
                        return f"version {one.number} went from {was.standing.value} to {one.standing.value}"
                if one != was and one.reason.startswith("term ") and int(one.reason[5:]) < before.epoch:
                    return f"{one.reason} decided after term {before.epoch}"
            lost = [
                key for key, one in old.items() if one.standing not in FINISHED and after.find(*key) is None
            ]
            if lost:
                return f"versions {lost} are gone"
        last = self.records[-1]
        if sum(one.standing in IN_PROGRESS for one in last.versions) > 1:
            return "two versions of one thing are under way"
        if sum(one.standing is VersionState.IN_FORCE for one in last.versions) > 1:
            return "two versions of one thing are in force"
        return None


def _proposed(standing: VersionState = VersionState.PROPOSED) -> Record:
    record = propose(Record(), THING, 0, "one", "op", 1, "first")
    if standing is not VersionState.PROPOSED:
        record = set_state(record, 1, THING, 1, VersionState.ADVANCING, 2, "stage 1", 1, ("h1",))
    return record


def _writers(start: Record, acts: dict[str, list[Make]], dies: str) -> Callable[[World], None]:
    """Let each writer change the record in turn, and be told; judge every record that comes of it."""

    def build(world: World) -> None:
        witness = witness_of(world, value=encode(start) if start.revision else None, path=PATH)
        history = History(witness, start)
        said: dict[str, list[str]] = {name: [] for name in acts}
        made: dict[str, list[int]] = {name: [] for name in acts}

        def writer(me: str) -> None:
            client = WitnessClient(world.hub, world.network, (WITNESS, 8500), CALL_US, me)
            witness.up.wait()
            for act in acts[me]:
                try:
                    found = stored_record.write(client, act)
                    made[me].append(found.record.revision)
                    said[me].append("done")
                except ChangeConflict:
                    said[me].append("conflict")
                except (ChangeRefused, IllegalTransition) as error:
                    said[me].append(type(error).__name__)
                except FAILURES:
                    said[me].append("unknown")

        for me in acts:
            world.spawn(me, "writes", writer, me, ends=True)
        if dies:
            world.may_die(dies)

        def view() -> tuple[Record, tuple[tuple[str, ...], ...]]:
            return history.now(), tuple(tuple(words) for words in said.values())

        def finish() -> str | None:
            revisions = [number for numbers in made.values() for number in numbers]
            if len(set(revisions)) < len(revisions):
                return f"two were told that they made one revision: {made}"
            tried = sum(words.count("done") for words in said.values())
            unknown = sum(words.count("unknown") for words in said.values()) + len(world.dead)
            gone = history.records[-1].revision - start.revision
            return None if tried <= gone <= tried + unknown else f"{gone} changes were made, and {said} told"

        world.view, world.finish = view, finish
        world.judge = lambda _view: history.wrong()

    return build


def _propose(body: str, by: str) -> Make:
    return lambda record: propose(record, THING, 0, body, by, 5, "wanted")


def _step(epoch: int, standing: VersionState, *heads: str) -> Make:
    return lambda record: set_state(record, epoch, THING, 1, standing, 6, f"term {epoch}", len(heads), heads)


def _wish(standing: VersionState) -> Make:
    return lambda record: set_state_as_operator(record, THING, standing, "op", 7, "an operator's word")


PROPOSALS: dict[str, list[Make]] = {"a": [_propose("A", "a")], "b": [_propose("B", "b")]}
DECIDERS: dict[str, list[Make]] = {
    "old": [_step(1, VersionState.ADVANCING, "h1", "h2"), _step(1, VersionState.IN_FORCE)],
    "new": [_step(2, VersionState.ADVANCING, "h1", "h3")],
}
STOPPED: dict[str, list[Make]] = {
    "decider": [_step(1, VersionState.IN_FORCE)],
    "operator": [_wish(VersionState.ABORTED)],
}

SCENARIOS = (
    Scenario("changes-two", "two proposals at once, and a killed writer", _writers(Record(), PROPOSALS, "a")),
    Scenario("changes-terms", "a decider that was replaced, and dies, against its successor",
             _writers(_proposed(VersionState.ADVANCING), DECIDERS, "old"), most_steps=600),
    Scenario("changes-abort", "a step in force against an operator's abort",
             _writers(_proposed(VersionState.ADVANCING), STOPPED, "decider")),
)  # fmt: skip
