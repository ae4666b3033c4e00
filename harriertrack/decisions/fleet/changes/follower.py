"""How a head follows the record: it fetches a newer revision when one is announced, and applies its versions.

Each thing has a *user* in the head that checks a version and either applies it completely or rejects it
completely with a reason. The version applied last keeps running, also while the witness can't be reached.
Pure: time is handed in.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from harriertrack.decisions.fleet.changes.record import Record, Version

RETRY_US = 500_000  # first pause after a fetch without an answer; doubles up to the next
MAX_RETRY_US = 10_000_000
POLL_US = 30_000_000  # interval of fetches while no newer revision is announced


@dataclass(slots=True)
class AppliedVersion:
    """What a head did with the versions of a thing."""

    running: int = 0  # number of the version in use; 0: what the head was started with
    rejected: int = 0  # number of the latest version that it rejected
    reason: str = ""  # of the rejection


@dataclass(slots=True)
class Follower:
    """One head's copy of the record and what it applied of it."""

    name: str
    record: Record = field(default_factory=Record)
    applied: dict[str, AppliedVersion] = field(default_factory=dict)
    digest: int = 0  # of the record's stored bytes
    witness_behind: bool = False  # the witness has an older record: the decider writes this one back
    highest_seen: int = 0  # the highest revision announced by any head
    fetch_at: int = 0
    fetching: bool = False
    _pause_us: int = RETRY_US

    def observe_revision(self, fetch_at: int, revision: int) -> None:
        """Schedule a fetch for `fetch_at` at the latest if this announced revision is newer."""
        if revision > max(self.highest_seen, self.record.revision):
            self.highest_seen = revision
            self.fetch_at = min(self.fetch_at, fetch_at)

    def start_fetch(self, now: int) -> bool:
        """Return whether to fetch the record now; at most one fetch is in progress."""
        if self.fetching or now < self.fetch_at:
            return False
        self.fetching = True
        return True

    def finish_fetch(self, now: int, found: Record | None, digest: int = 0) -> bool:
        """Process a fetched record (None: no answer); return whether it replaced the present one.

        Of two diverged records (the witness was restored from a backup and written to again) all heads choose
        the same one: the higher revision, or the higher digest if the revisions are equal.
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
        """Return the things to change now, each with its version (None: what the head was started with)."""
        found = []
        for thing in sorted({*self.record.things(), *self.applied}):
            version = self.record.version_for(thing, self.name)
            number = version.number if version is not None else 0
            mine = self.applied.setdefault(thing, AppliedVersion())
            if number != mine.running and (number == 0 or number != mine.rejected):
                found.append((thing, version))
        return found

    def mark_applied(self, thing: str, number: int) -> None:
        """Record that the thing's user applied a version."""
        mine = self.applied.setdefault(thing, AppliedVersion())
        mine.running, mine.reason = number, ""
        if mine.rejected == number:
            mine.rejected = 0

    def mark_rejected(self, thing: str, number: int, reason: str) -> None:
        """Record that the thing's user rejected a version; the earlier one keeps running."""
        mine = self.applied.setdefault(thing, AppliedVersion())
        mine.rejected, mine.reason = number, reason

    def running_versions(self) -> Mapping[str, int]:
        """Return the version in use by thing, without things that were never changed."""
        return {thing: one.running for thing, one in self.applied.items() if one.running}
