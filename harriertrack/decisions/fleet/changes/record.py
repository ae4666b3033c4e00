"""The record: numbered versions of named things, each with who, when and why, and who is to run which.

A *thing* is named by its kind and, where there are several, a name: `settings`, `program`, `calendar/tokyo`,
`scorer/fill`. Of each at most one version is in force and at most one under way. The record is a value: every
change makes a new one with the next *revision*, and whoever keeps it (the witness) takes it only in place of
the one that it was made from. What decides does so under the *epoch* of its term; an earlier term's steps are
turned down for good once a later one's was taken.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import Enum

from harriertrack.decisions.fleet.changes.version_state import ACTIVE, FINISHED, IN_PROGRESS, VersionState

ALL_HEADS = "*"  # in place of names: every head


class Kind(Enum):
    """What can change."""

    SETTINGS = "settings"
    PROGRAM = "program"
    CALENDAR = "calendar"
    SCORER = "scorer"


def kind_of(thing: str) -> Kind:
    """Return what a thing is. Raises ValueError for a name of no kind."""
    return Kind(thing.partition("/")[0])


@dataclass(frozen=True, slots=True)
class Version:
    """One version of a thing."""

    thing: str
    number: int  # from 1, never used twice
    base: int  # the version in force that it was made from; 0: there was none
    body: str  # what the thing's user reads
    by: str
    at_ms: int  # since 1970, when it was proposed
    why: str
    plan: str = ""  # how it is brought about, for who does; "": as is usual
    standing: VersionState = VersionState.PROPOSED
    since_ms: int = 0  # since 1970, when that last changed
    reason: str = ""  # why it stands there
    stage: int = 0
    heads: tuple[str, ...] = ()  # who is to run it while it is not in force; (ALL,): everybody

    def targets(self, head: str) -> bool:
        """Whether a head is among those that are to run it in this stage."""
        return head in self.heads or self.heads == (ALL_HEADS,)


@dataclass(frozen=True, slots=True)
class Record:
    """All versions that matter; replaced, never changed."""

    revision: int = 0
    epoch: int = 0  # the latest term that decided anything
    level: int = 0  # what all who vote understand: nobody uses what came with a later program
    versions: tuple[Version, ...] = ()

    def versions_of(self, thing: str) -> list[Version]:
        """Return the versions of a thing, oldest first."""
        return [one for one in self.versions if one.thing == thing]

    def things(self) -> list[str]:
        """Return what has versions, by name."""
        return sorted({one.thing for one in self.versions})

    def in_force(self, thing: str) -> Version | None:
        """Return the version that holds for everybody who is not named by one under way."""
        return next((one for one in self.versions_of(thing) if one.standing is VersionState.IN_FORCE), None)

    def in_progress(self, thing: str) -> Version | None:
        """Return the version that is being brought about, or taken back."""
        return next((one for one in self.versions_of(thing) if one.standing in IN_PROGRESS), None)

    def find(self, thing: str, number: int) -> Version | None:
        """Return a version by its number, if it is still remembered."""
        return next((one for one in self.versions_of(thing) if one.number == number), None)

    def version_for(self, thing: str, head: str) -> Version | None:
        """Return the version of a thing that a head is to run; None: what it was started with."""
        going = self.in_progress(thing)
        if going is not None and going.standing in ACTIVE and going.targets(head):
            return going
        return self.in_force(thing)

    def with_versions(self, versions: Iterable[Version], epoch: int = 0, level: int = 0) -> Record:
        """Return the next record, with these versions in place of those of the same thing and number."""
        fresh = {(one.thing, one.number): one for one in versions}
        kept = [fresh.pop((one.thing, one.number), one) for one in self.versions]
        return replace(
            self, revision=self.revision + 1, epoch=max(self.epoch, epoch), level=max(self.level, level),
            versions=_pruned([*kept, *fresh.values()]),
        )  # fmt: skip


MAX_FINISHED_VERSIONS = 8  # versions of a thing that are over, newest last


def _pruned(versions: list[Version]) -> tuple[Version, ...]:
    over: dict[str, int] = {}
    kept = []
    for one in reversed(versions):
        if one.standing in FINISHED:
            over[one.thing] = over.get(one.thing, 0) + 1
            if over[one.thing] > MAX_FINISHED_VERSIONS:
                continue
        kept.append(one)
    return tuple(reversed(kept))
