"""The record: numbered versions of named things, each with author, time and reason, and the heads to run it.

A *thing* is named by its kind and, where there are several, a name: `settings`, `program`, `calendar/tokyo`,
`scorer/fill`. Each thing has at most one version in force and at most one in progress. The record is an
immutable value: every change makes a new one with the next *revision*, and the witness, which stores it,
accepts that only in place of the record it was made from. The decider writes under the *epoch* of its term;
changes of an earlier term are refused for good once one of a later term was accepted.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace
from enum import Enum

from harriertrack.decisions.fleet.changes.version_state import ACTIVE, FINISHED, IN_PROGRESS, VersionState

ALL_HEADS = "*"  # in place of head names


class Kind(Enum):
    """Kinds of things that can change."""

    SETTINGS = "settings"
    PROGRAM = "program"
    CALENDAR = "calendar"
    SCORER = "scorer"


def kind_of(thing: str) -> Kind:
    """Return the kind of a thing. Raises ValueError if the name has none."""
    return Kind(thing.partition("/")[0])


@dataclass(frozen=True, slots=True)
class Version:
    """One version of a thing."""

    thing: str
    number: int  # from 1, never reused
    base: int  # the version in force that it was made from; 0: none
    body: str  # content, parsed by the thing's user
    by: str
    at_ms: int  # since 1970, when it was proposed
    why: str
    plan: str = ""  # rollout plan, for the decider; "": the usual one
    standing: VersionState = VersionState.PROPOSED
    since_ms: int = 0  # since 1970, when the state last changed
    reason: str = ""  # why it is in this state
    stage: int = 0
    heads: tuple[str, ...] = ()  # to run it while it is not in force; (ALL_HEADS,): every head

    def targets(self, head: str) -> bool:
        """Whether a head is among those that are to run it at this stage."""
        return head in self.heads or self.heads == (ALL_HEADS,)


@dataclass(frozen=True, slots=True)
class Record:
    """All versions that are kept; immutable."""

    revision: int = 0
    epoch: int = 0  # of the latest term that changed it
    level: int = 0  # feature level that all voting heads support; later features are unused
    versions: tuple[Version, ...] = ()

    def versions_of(self, thing: str) -> list[Version]:
        """Return the versions of a thing, oldest first."""
        return [one for one in self.versions if one.thing == thing]

    def things(self) -> list[str]:
        """Return the names of all things with versions."""
        return sorted({one.thing for one in self.versions})

    def in_force(self, thing: str) -> Version | None:
        """Return the version for all heads that are not targets of one in progress."""
        return next((one for one in self.versions_of(thing) if one.standing is VersionState.IN_FORCE), None)

    def in_progress(self, thing: str) -> Version | None:
        """Return the version that is being rolled out or reverted, or is proposed."""
        return next((one for one in self.versions_of(thing) if one.standing in IN_PROGRESS), None)

    def find(self, thing: str, number: int) -> Version | None:
        """Return a version by its number, if it is still kept."""
        return next((one for one in self.versions_of(thing) if one.number == number), None)

    def version_for(self, thing: str, head: str) -> Version | None:
        """Return the version of a thing that a head is to run; None: what the head was started with."""
        current = self.in_progress(thing)
        if current is not None and current.standing in ACTIVE and current.targets(head):
            return current
        return self.in_force(thing)

    def with_versions(self, versions: Iterable[Version], epoch: int = 0, level: int = 0) -> Record:
        """Return the next record, in which these versions replace those of the same thing and number."""
        fresh = {(one.thing, one.number): one for one in versions}
        known = [fresh.pop((one.thing, one.number), one) for one in self.versions]
        return replace(
            self, revision=self.revision + 1, epoch=max(self.epoch, epoch), level=max(self.level, level),
            versions=_prune([*known, *fresh.values()]),
        )  # fmt: skip


MAX_FINISHED_VERSIONS = 8  # kept of each thing, newest last


def _prune(versions: list[Version]) -> tuple[Version, ...]:
    finished: dict[str, int] = {}
    kept = []
    for one in reversed(versions):
        if one.standing in FINISHED:
            finished[one.thing] = finished.get(one.thing, 0) + 1
            if finished[one.thing] > MAX_FINISHED_VERSIONS:
                continue
        kept.append(one)
    return tuple(reversed(kept))
