"""A head's own counts from before a version, stored by the head so that they outlive the deciding head. Pure.

The baseline period is the same for all heads: it begins when a version is proposed and no other version has
to finish first, and ends when the first head is named. Each head records its own counts of that period and
reports them while the version is in progress. Version numbers are never reused, so the baseline of another
version can't be mistaken for this one's.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from harriertrack.decisions.fleet.changes.record import Record, Version
from harriertrack.decisions.fleet.changes.version_state import ACTIVE, IN_PROGRESS, VersionState
from harriertrack.decisions.fleet.rollout.answer_counts import Tally
from harriertrack.decisions.fleet.rollout.evidence import Usage
from harriertrack.decisions.fleet.rollout.rollout import blocking_version, is_staged

SETTLE_US = 5_000_000  # a head's first answers after its start are ignored
MAX_UPDATE_GAP_US = 10_000_000  # after a longer gap the head was suspended, and its measurement starts again


@dataclass(frozen=True, slots=True)
class Baseline:
    """One head's counts of the period before a version."""

    thing: str
    number: int
    ago_us: int  # since the period ended
    classes: Mapping[str, Tally]
    usage: Usage = field(default_factory=Usage)


def baseline_version(record: Record) -> Version | None:
    """Return the version whose baseline is being measured, or was while the version is in progress."""
    for version in record.versions:
        if version.standing not in IN_PROGRESS or not is_staged(version.thing):
            continue
        if version.standing in ACTIVE or blocking_version(record, version.thing) is None:
            return version
    return None


@dataclass(slots=True)
class _Counts:
    """A head's cumulative counts at one moment."""

    classes: dict[str, Tally]
    memory: int
    processor_us: int


class BaselineRecorder:
    """Measures and stores the baseline of one head."""

    def __init__(self, now: int) -> None:
        self._started_at = now
        self._updated_at = now
        self._version: tuple[str, int] | None = None
        self._start_counts: _Counts | None = None
        self._reports = 0
        self._ended_at = 0
        self._saved: Baseline | None = None

    def update(self, now: int, record: Record, classes: Mapping[str, Tally], memory: int = 0,
               processor_us: int = 0) -> bool:  # fmt: skip
        """Process the record and the counts so far; return whether there is a new baseline to store.

        To be called each time that the record changes, and often enough in between.
        """
        version, suspended = baseline_version(record), now - self._updated_at > MAX_UPDATE_GAP_US
        self._updated_at = now
        if not record.revision:
            return False  # the record has not been received yet
        if version is None:
            self._version = self._start_counts = self._saved = None
            return False
        key = version.thing, version.number
        if key != self._version:
            self._version, self._start_counts, self._saved = key, None, None
        if version.standing is VersionState.PROPOSED:
            if suspended:
                self._start_counts = None
            if self._start_counts is None and now >= self._started_at + SETTLE_US:
                self._start_counts, self._reports = _Counts(_copy(classes), memory, processor_us), 0
            self._reports += 1
            return False
        if self._start_counts is None or suspended:
            self._start_counts = None
            return False
        increases = {
            name: tally.since(self._start_counts.classes.get(name, Tally()))
            for name, tally in classes.items()
        }
        usage = Usage(memory, processor_us - self._start_counts.processor_us,
                      sum(one.answers for one in increases.values()), self._reports)  # fmt: skip
        self._start_counts, self._ended_at = None, now
        self._saved = Baseline(*key, 0, {name: one for name, one in increases.items() if one.answers}, usage)
        return True

    def restore(self, now: int, saved: Baseline) -> None:
        """Continue with a baseline stored by an earlier incarnation; `ago_us` gives its age."""
        if saved.ago_us >= 0:
            self._version, self._start_counts = (saved.thing, saved.number), None
            self._saved, self._ended_at = saved, now - saved.ago_us

    def current(self, now: int) -> Baseline | None:
        """Return the baseline to report; None if there is none."""
        saved = self._saved
        if saved is None:
            return None
        return Baseline(saved.thing, saved.number, now - self._ended_at, saved.classes, saved.usage)


def _copy(classes: Mapping[str, Tally]) -> dict[str, Tally]:
    return {name: tally.since(Tally()) for name, tally in classes.items()}
