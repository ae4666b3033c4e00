"""What a head keeps of how it went there before a version, for whoever decides: it outlives deciders. Pure.

The time of before is one for all heads: it begins when a version is proposed and its turn has come, and ends
when the first head is named. Each head holds its own counts of it, and tells them for as long as the version
is on its way. A version's number is never used twice, so what is kept of another one is not taken for it.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from harriertrack.decisions.fleet.changes.record import Record, Version
from harriertrack.decisions.fleet.changes.version_state import ACTIVE, IN_PROGRESS, VersionState
from harriertrack.decisions.fleet.rollout.answer_counts import Tally
from harriertrack.decisions.fleet.rollout.evidence import Usage
from harriertrack.decisions.fleet.rollout.rollout import blocking_version, is_staged

SETTLE_US = 5_000_000  # a head's first answers in a life are left out
ASLEEP_US = 10_000_000  # a head that did not look for so long begins anew: it was stopped


@dataclass(frozen=True, slots=True)
class Baseline:
    """One head's figures of the time before a version."""

    thing: str
    number: int
    ago_us: int  # since that time ended
    classes: Mapping[str, Tally]
    usage: Usage = field(default_factory=Usage)


def baseline_version(record: Record) -> Version | None:
    """Return the version whose time of before it is, or was while it is on its way."""
    for one in record.versions:
        if one.standing not in IN_PROGRESS or not is_staged(one.thing):
            continue
        if one.standing in ACTIVE or blocking_version(record, one.thing) is None:
            return one
    return None


@dataclass(slots=True)
class _Counts:
    """A head's counts at one moment of its life."""

    classes: dict[str, Tally]
    memory: int
    processor_us: int


class BaselineRecorder:
    """One head's."""

    def __init__(self, now: int) -> None:
        self._began = now
        self._looked = now
        self._version: tuple[str, int] | None = None
        self._mark: _Counts | None = None
        self._reports = 0
        self._ended = 0
        self._kept: Baseline | None = None

    def update(self, now: int, record: Record, classes: Mapping[str, Tally], memory: int = 0,
             processor_us: int = 0) -> bool:  # fmt: skip
        """See what the record says and what was counted so far; return whether there is something to keep.

        To be called each time that the record changes, and often enough between.
        """
        version, slept = baseline_version(record), now - self._looked > ASLEEP_US
        self._looked = now
        if not record.revision:
            return False  # nothing is heard of the record yet
        if version is None:
            self._version = self._mark = self._kept = None
            return False
        key = version.thing, version.number
        if key != self._version:
            self._version, self._mark, self._kept = key, None, None
        if version.standing is VersionState.PROPOSED:
            if slept:
                self._mark = None
            if self._mark is None and now >= self._began + SETTLE_US:
                self._mark, self._reports = _Counts(_copied(classes), memory, processor_us), 0
            self._reports += 1
            return False
        if self._mark is None or slept:
            self._mark = None
            return False
        since = {name: tally.since(self._mark.classes.get(name, Tally())) for name, tally in classes.items()}
        usage = Usage(memory, processor_us - self._mark.processor_us,
                      sum(one.answers for one in since.values()), self._reports)  # fmt: skip
        self._mark, self._ended = None, now
        self._kept = Baseline(*key, 0, {name: one for name, one in since.items() if one.answers}, usage)
        return True

    def restore(self, now: int, kept: Baseline) -> None:
        """Take what an earlier life of this head kept; how long ago is as that says."""
        if kept.ago_us >= 0:
            self._version, self._mark = (kept.thing, kept.number), None
            self._kept, self._ended = kept, now - kept.ago_us

    def current(self, now: int) -> Baseline | None:
        """Return what is to be told, if there is anything."""
        kept = self._kept
        if kept is None:
            return None
        return Baseline(kept.thing, kept.number, now - self._ended, kept.classes, kept.usage)


def _copied(classes: Mapping[str, Tally]) -> dict[str, Tally]:
    return {name: tally.since(Tally()) for name, tally in classes.items()}
