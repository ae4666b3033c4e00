"""How a head follows the record: it hears of a newer one, fetches it whole, and takes what it names, or not.

Each thing has a *user* in the head that looks at a version and takes it whole, or turns it down whole with a
reason. What was taken last stays what runs, also when nobody can be asked. Pure: time is handed in.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from harriertrack.decisions.fleet.changes.record import Record, Version

RETRY_US = 500_000  # first pause after a fetch that brought nothing; doubled up to
MOST_RETRY_US = 10_000_000
LOOK_US = 30_000_000  # a head that hears of nothing newer looks by itself so often


@dataclass(slots=True)
class Taken:
    """What a head made of a thing."""

    runs: int = 0  # the version's number; 0: what it was started with
    turned_down: int = 0  # the latest that it did not take
    why: str = ""  # not


@dataclass(slots=True)
class Follower:
    """One head's knowledge of the record."""

    name: str
    record: Record = field(default_factory=Record)
    taken: dict[str, Taken] = field(default_factory=dict)
    digest: int = 0  # of the record's bytes as they were kept
    lost: bool = False  # the keeper has an older one: who decides puts this one back
    heard: int = 0  # the highest revision that anybody told of
    fetch_at: int = 0
    fetching: bool = False
    _pause_us: int = RETRY_US

    def hear(self, fetch_at: int, revision: int) -> None:
        """Somebody tells that there is a record of that revision: fetch it by then."""
        if revision > max(self.heard, self.record.revision):
            self.heard = revision
            self.fetch_at = min(self.fetch_at, fetch_at)

    def fetch(self, now: int) -> bool:
        """Whether the record is to be fetched now, one try at a time."""
        if self.fetching or now < self.fetch_at:
            return False
        self.fetching = True
        return True

    def fetched(self, now: int, found: Record | None, digest: int = 0) -> bool:
        """Hear how fetching ended (None: nobody answered); return whether the record is another one now.

        Of two records that went apart (the witness was restored from a backup and written to again) all heads
        keep the same one: the higher revision, of equal ones the higher digest.
        """
        self.fetching = False
        newer = found is not None and (found.revision, digest) > (self.record.revision, self.digest)
        self.lost = found is not None and not newer and found.revision < self.record.revision
        if newer and found is not None:
            self.record, self.digest = found, digest
        if found is None or self.record.revision < self.heard:
            self.fetch_at = now + self._pause_us
            self._pause_us = min(2 * self._pause_us, MOST_RETRY_US)
        else:
            self.fetch_at, self._pause_us = now + LOOK_US, RETRY_US
        return newer

    def due(self) -> list[tuple[str, Version | None]]:
        """Return what is to be taken now: things, each with its version (None: what the head began with)."""
        found = []
        for thing in sorted({*self.record.things(), *self.taken}):
            wanted = self.record.wanted(thing, self.name)
            number = wanted.number if wanted is not None else 0
            mine = self.taken.setdefault(thing, Taken())
            if number != mine.runs and (number == 0 or number != mine.turned_down):
                found.append((thing, wanted))
        return found

    def took(self, thing: str, number: int) -> None:
        """The thing's user took a version."""
        mine = self.taken.setdefault(thing, Taken())
        mine.runs, mine.why = number, ""
        if mine.turned_down == number:
            mine.turned_down = 0

    def turned_down(self, thing: str, number: int, why: str) -> None:
        """The thing's user did not take a version, for a reason; what ran before runs on."""
        mine = self.taken.setdefault(thing, Taken())
        mine.turned_down, mine.why = number, why

    def runs(self) -> Mapping[str, int]:
        """Return what runs, by thing; what was never changed is left out."""
        return {thing: one.runs for thing, one in self.taken.items() if one.runs}
