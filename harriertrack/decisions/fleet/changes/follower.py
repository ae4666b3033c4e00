"""How a head follows the record: it hears of a newer one, fetches it whole, and takes what it names, or not.

Each thing has a *user* in the head that looks at a version and takes it whole, or turns it down whole with a
reason. What was taken last stays what runs, also when nobody can be asked. Pure: time is handed in.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from harriertrack.decisions.fleet.changes.record import Record, Version

RETRY_US = 500_000  # first pause after a fetch that brought nothing; doubled up to
MAX_RETRY_US = 10_000_000
POLL_US = 30_000_000  # a head that hears of nothing newer looks by itself so often


@dataclass(slots=True)
class AppliedVersion:
    """What a head made of a thing."""

    running: int = 0  # the version's number; 0: what it was started with
    rejected: int = 0  # the latest that it did not take
    reason: str = ""  # not


@dataclass(slots=True)
class Follower:
    """One head's knowledge of the record."""

    name: str
    record: Record = field(default_factory=Record)
    applied: dict[str, AppliedVersion] = field(default_factory=dict)
    digest: int = 0  # of the record's bytes as they were kept
    witness_behind: bool = False  # the keeper has an older one: who decides puts this one back
    highest_seen: int = 0  # the highest revision that anybody told of
    fetch_at: int = 0
    fetching: bool = False
    _pause_us: int = RETRY_US

    def observe_revision(self, fetch_at: int, revision: int) -> None:
        """Somebody tells that there is a record of that revision: fetch it by then."""
        if revision > max(self.highest_seen, self.record.revision):
            self.highest_seen = revision
            self.fetch_at = min(self.fetch_at, fetch_at)

    def start_fetch(self, now: int) -> bool:
        """Whether the record is to be fetched now, one try at a time."""
        if self.fetching or now < self.fetch_at:
            return False
        self.fetching = True
        return True

    def finish_fetch(self, now: int, found: Record | None, digest: int = 0) -> bool:
        """Hear how fetching ended (None: nobody answered); return whether the record is another one now.

        Of two records that went apart (the witness was restored from a backup and written to again) all heads
        keep the same one: the higher revision, of equal ones the higher digest.
        """
        self.fetching = False
        newer = found is not None and (found.revision, digest) > (self.record.revision, self.digest)
        self.witness_behind = found is not None and not newer and found.revision < self.record.revision
        if newer and found is not None:
            self.record, self.digest = found, digest
        if found is None or self.record.revision < self.highest_seen:
            self.fetch_at = now + self._pause_us
            self._pause_us = min(2 * self._pause_us, MAX_RETRY_US)
        else:
            self.fetch_at, self._pause_us = now + POLL_US, RETRY_US
        return newer

    def pending_changes(self) -> list[tuple[str, Version | None]]:
        """Return what is to be taken now: things, each with its version (None: what the head began with)."""
        found = []
        for thing in sorted({*self.record.things(), *self.applied}):
            wanted = self.record.version_for(thing, self.name)
            number = wanted.number if wanted is not None else 0
            mine = self.applied.setdefault(thing, AppliedVersion())
            if number != mine.running and (number == 0 or number != mine.rejected):
                found.append((thing, wanted))
        return found

    def mark_applied(self, thing: str, number: int) -> None:
        """The thing's user took a version."""
        mine = self.applied.setdefault(thing, AppliedVersion())
        mine.running, mine.reason = number, ""
        if mine.rejected == number:
            mine.rejected = 0

    def mark_rejected(self, thing: str, number: int, why: str) -> None:
        """The thing's user did not take a version, for a reason; what ran before runs on."""
        mine = self.applied.setdefault(thing, AppliedVersion())
        mine.rejected, mine.reason = number, why

    def running_versions(self) -> Mapping[str, int]:
        """Return what runs, by thing; what was never changed is left out."""
        return {thing: one.running for thing, one in self.applied.items() if one.running}
