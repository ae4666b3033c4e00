"""The record of changes and those who follow it: writers, fetches in any order, a witness that goes back."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from zlib import crc32

from harriertrack.decisions.fleet.changes.follower import Follower
from harriertrack.decisions.fleet.changes.operations import (
    ChangeRefused,
    propose,
    set_state,
    set_state_as_operator,
)
from harriertrack.decisions.fleet.changes.record import Record
from harriertrack.decisions.fleet.changes.version_state import IN_PROGRESS, IllegalTransition, VersionState

THING = "settings"
HEADS = ("h1", "h2")
LATER_US = 20_000_000  # more than any pause of a follower


@dataclass(slots=True)
class State:
    """The record at the witness, its backup, what writers and heads read of it."""

    record: Record = field(default_factory=Record)
    backup: Record | None = None
    read: dict[str, Record] = field(default_factory=dict)  # by writer: what it will change
    followers: dict[str, Follower] = field(default_factory=dict)
    answers: list[tuple[str, Record]] = field(default_factory=list)  # fetches that come back
    left: dict[str, int] = field(default_factory=dict)  # how often a writer may still write
    restores: int = 1
    now: int = 0
    fetches: dict[str, int] = field(default_factory=dict)  # how often a head may still fetch
    wrong: str = ""


def digest(record: Record) -> int:
    """Return a digest of a record, as heads make one of its bytes."""
    return crc32(repr(record).encode())


class ChangesModel:
    """Each record follows from the one before it, and no head goes back."""

    name = "changes"
    about = "the record of changes: an operator, two terms, two heads that follow, a restored witness"

    def __init__(self, writes: int = 2, restores: int = 1) -> None:
        self._writes, self._restores = writes, restores
        if writes == 1:
            self.name, self.about = "changes-once", "the same where each writes once"

    def start(self) -> State:
        """Nothing was ever changed."""
        state = State(restores=self._restores)
        state.followers = {name: Follower(name) for name in HEADS}
        state.fetches = dict.fromkeys(HEADS, 2)
        state.left = dict.fromkeys(("operator", "term 1", "term 2"), self._writes)
        return state

    def events(self, state: State) -> Iterator[str]:
        """Name what can happen now."""
        for at, (name, _) in enumerate(state.answers):
            yield f"answer {at} to {name}"
        for who, left in state.left.items():
            if who in state.read:
                yield f"{who} writes"
            elif left:
                yield f"{who} reads"
        for name, one in state.followers.items():
            if not one.fetching and state.fetches[name]:
                yield f"{name} fetches"
        if state.restores:
            yield "restore" if state.backup is not None else "backup"
        if any(one.witness_behind for one in state.followers.values()):
            yield "put back"

    def apply(self, state: State, event: str) -> None:
        """Let it happen."""
        match event.split():
            case ["backup"]:
                state.backup = state.record
            case ["restore"]:
                state.restores -= 1
                state.record, state.backup = state.backup or Record(), None
                state.read.clear()  # what was read has another index now
            case ["put", "back"]:
                known = max((one.record for one in state.followers.values()), key=lambda one: one.revision)
                if state.record.revision < known.revision:
                    state.record = known.with_versions([])
            case [name, "fetches"]:
                state.now += LATER_US
                state.fetches[name] -= 1
                if state.followers[name].start_fetch(state.now):
                    state.answers.append((name, state.record))
            case ["answer", at, *_]:
                name, found = state.answers.pop(int(at))
                self._fetched(state, state.followers[name], found)
            case [*who, "reads"]:
                state.read[" ".join(who)] = state.record
            case [*who, "writes"]:
                self._write(state, " ".join(who))

    def _fetched(self, state: State, one: Follower, found: Record) -> None:
        before = one.record
        one.finish_fetch(state.now, found, digest(found))
        if one.record.revision < before.revision:
            state.wrong = f"{one.name} went back from {before.revision} to {one.record.revision}"
        for thing, version in one.pending_changes():
            one.mark_applied(thing, version.number if version is not None else 0)
            wanted = one.record.version_for(thing, one.name)
            if (wanted.number if wanted is not None else 0) != one.applied[thing].running:
                state.wrong = f"{one.name} runs {one.applied[thing].running} of {thing}"

    def _write(self, state: State, who: str) -> None:
        read = state.read.pop(who)
        state.left[who] -= 1
        try:
            fresh = self._make(read, who)
        except (ChangeRefused, IllegalTransition):
            return
        if read is state.record or read == state.record:  # compare-and-set
            if fresh.revision != read.revision + 1 or fresh.epoch < read.epoch:
                state.wrong = f"{who} made revision {fresh.revision} of {read.revision}"
            state.record = fresh

    def _make(self, read: Record, who: str) -> Record:
        going = read.in_progress(THING)
        if who == "operator":
            if going is not None:
                return set_state_as_operator(read, THING, VersionState.ABORTED, "op", 1, "enough")
            holds = read.in_force(THING)
            base = holds.number if holds is not None else 0
            return propose(read, THING, base, f"body {read.revision}", "op", 1, "wanted")
        epoch = int(who.split()[1])
        if going is None:
            raise ChangeRefused("nothing to decide")
        match going.standing:
            case VersionState.PROPOSED:
                return set_state(
                    read, epoch, THING, going.number, VersionState.ADVANCING, 1, "", 1, HEADS[:1]
                )
            case VersionState.ADVANCING:
                return set_state(read, epoch, THING, going.number, VersionState.IN_FORCE, 1, "")
            case _:
                return set_state(read, epoch, THING, going.number, VersionState.ABORTED, 1, "")

    def wrong(self, state: State) -> str | None:
        """Return what must not be."""
        for record in (state.record, *(one.record for one in state.followers.values())):
            if sum(one.standing in IN_PROGRESS for one in record.versions) > 1:
                return "two versions of one thing are under way"
            if sum(one.standing is VersionState.IN_FORCE for one in record.versions) > 1:
                return "two versions of one thing are in force"
            numbers = [one.number for one in record.versions]
            if len(set(numbers)) < len(numbers):
                return f"a number was used twice: {numbers}"
        return state.wrong or None
