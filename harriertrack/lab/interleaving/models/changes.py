"""Model of the change record and its followers: concurrent writers, reordered fetches, witness restore."""

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
LATER_US = 20_000_000  # longer than any retry wait of a follower


@dataclass(slots=True)
class State:
    """The record at the witness, its backup, and the copies that writers and heads have read."""

    record: Record = field(default_factory=Record)
    backup: Record | None = None
    read: dict[str, Record] = field(default_factory=dict)  # by writer: the base of its next write
    followers: dict[str, Follower] = field(default_factory=dict)
    answers: list[tuple[str, Record]] = field(default_factory=list)  # fetch responses in transit
    writes_left: dict[str, int] = field(default_factory=dict)  # by writer
    restores: int = 1
    now: int = 0
    fetches_left: dict[str, int] = field(default_factory=dict)  # by head
    wrong: str = ""


def digest(record: Record) -> int:
    """Return a digest of a record, in place of the one that heads compute over its bytes."""
    return crc32(repr(record).encode())


class ChangesModel:
    """Invariants: each record succeeds the one before it, and no head reverts to an older revision."""

    name = "changes"
    about = "the record of changes: an operator, two terms, two heads that follow, a restored witness"

    def __init__(self, writes: int = 2, restores: int = 1) -> None:
        self._writes, self._restores = writes, restores
        if writes == 1:
            self.name, self.about = "changes-once", "the same where each writes once"

    def start(self) -> State:
        """Return the state with an empty record."""
        state = State(restores=self._restores)
        state.followers = {name: Follower(name) for name in HEADS}
        state.fetches_left = dict.fromkeys(HEADS, 2)
        state.writes_left = dict.fromkeys(("operator", "term 1", "term 2"), self._writes)
        return state

    def events(self, state: State) -> Iterator[str]:
        """Name the enabled events."""
        for at, (name, _) in enumerate(state.answers):
            yield f"answer {at} to {name}"
        for who, left in state.writes_left.items():
            if who in state.read:
                yield f"{who} writes"
            elif left:
                yield f"{who} reads"
        for name, one in state.followers.items():
            if not one.fetching and state.fetches_left[name]:
                yield f"{name} fetches"
        if state.restores:
            yield "restore" if state.backup is not None else "backup"
        if any(one.witness_behind for one in state.followers.values()):
            yield "put back"

    def apply(self, state: State, event: str) -> None:
        """Apply an event to the state, in place."""
        match event.split():
            case ["backup"]:
                state.backup = state.record
            case ["restore"]:
                state.restores -= 1
                state.record, state.backup = state.backup or Record(), None
                state.read.clear()  # a restore changes the index, so pending compare-and-sets fail
            case ["put", "back"]:
                known = max((one.record for one in state.followers.values()), key=lambda one: one.revision)
                if state.record.revision < known.revision:
                    state.record = known.with_versions([])
            case [name, "fetches"]:
                state.now += LATER_US
                state.fetches_left[name] -= 1
                if state.followers[name].start_fetch(state.now):
                    state.answers.append((name, state.record))
            case ["answer", at, *_]:
                name, found = state.answers.pop(int(at))
                self._finish_fetch(state, state.followers[name], found)
            case [*who, "reads"]:
                state.read[" ".join(who)] = state.record
            case [*who, "writes"]:
                self._write(state, " ".join(who))

    def _finish_fetch(self, state: State, one: Follower, found: Record) -> None:
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
        state.writes_left[who] -= 1
        try:
            updated = self._next_record(read, who)
        except (ChangeRefused, IllegalTransition):
            return
        if read is state.record or read == state.record:  # compare-and-set
            if updated.revision != read.revision + 1 or updated.epoch < read.epoch:
                state.wrong = f"{who} made revision {updated.revision} of {read.revision}"
            state.record = updated

    def _next_record(self, read: Record, who: str) -> Record:
        in_progress = read.in_progress(THING)
        if who == "operator":
            if in_progress is not None:
                return set_state_as_operator(read, THING, VersionState.ABORTED, "op", 1, "enough")
            in_force = read.in_force(THING)
            base = in_force.number if in_force is not None else 0
            return propose(read, THING, base, f"body {read.revision}", "op", 1, "wanted")
        epoch = int(who.split()[1])
        if in_progress is None:
            raise ChangeRefused("nothing to decide")
        match in_progress.standing:
            case VersionState.PROPOSED:
                return set_state(
                    read, epoch, THING, in_progress.number, VersionState.ADVANCING, 1, "", 1, HEADS[:1]
                )
            case VersionState.ADVANCING:
                return set_state(read, epoch, THING, in_progress.number, VersionState.IN_FORCE, 1, "")
            case _:
                return set_state(read, epoch, THING, in_progress.number, VersionState.ABORTED, 1, "")

    def wrong(self, state: State) -> str | None:
        """Return the violated invariant, if there is one."""
        for record in (state.record, *(one.record for one in state.followers.values())):
            if sum(one.standing in IN_PROGRESS for one in record.versions) > 1:
                return "two versions of one thing are under way"
            if sum(one.standing is VersionState.IN_FORCE for one in record.versions) > 1:
                return "two versions of one thing are in force"
            numbers = [one.number for one in record.versions]
            if len(set(numbers)) < len(numbers):
                return f"a number was used twice: {numbers}"
        return state.wrong or None
