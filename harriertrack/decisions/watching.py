"""How the platform's list is followed: which call is next, how long it may take, what its answer is worth.

IDLE until the module subscribes, then one call after another until one fails; whether and when to try again
is the module's. No I/O, no clock: whoever carries calls asks here.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from harriertrack.decisions.life import IllegalStep

# Of the time after which the rules hold a silent head for told: a call that hangs must be given up, asked
# again and answered well within it.
WAIT_PARTS = 4
# A call's answer may come so long after its wait: discovery serves its callers in turn.
PATIENCE_US = 1_200_000


class Watch(StrEnum):
    """Where the watch is."""

    IDLE = "idle"  # not subscribed, or a call failed
    CATCHING_UP = "catching up"  # the first call since: its answer is news even if nothing changed
    FOLLOWING = "following"


class Worth(StrEnum):
    """What to do with an answer."""

    TAKE = "take"  # tell the module, and ask on at once
    SKIP = "skip"  # nothing new: ask on at once
    STALE = "stale"  # older than what is held: a failed call; the next one asks for the whole list


@dataclass(frozen=True, slots=True)
class Call:
    """A call to make: changes since a version (None: the whole list); times are microseconds."""

    since: int | None
    wait_us: int
    within_us: int


class Watching:
    """The state of the watch. `ask_within_us` 0: the rules set no such time."""

    def __init__(self, ask_within_us: int, version: int | None) -> None:
        self.state = Watch.IDLE
        self.version = version
        self._wait_us = (ask_within_us or 10_000_000) // WAIT_PARTS
        self._whole = version is None
        self._wanted = False  # the module follows, whether or not a call is under way

    def subscribe(self, on: bool) -> bool:
        """Follow from now on, or stop; return whether that changes anything."""
        self._wanted = on
        if on == (self.state is not Watch.IDLE):
            return False
        self.state = Watch.CATCHING_UP if on else Watch.IDLE
        return True

    def restart(self) -> bool:
        """The source has moved: whatever is under way is void; return whether to ask the new one now.

        Also where the last call failed and the module waits to try again: it waits for the old source, and
        what the new one tells soon counts as told.
        """
        if self._wanted:
            self.state = Watch.CATCHING_UP
        return self._wanted

    def call(self) -> Call:
        """Return the call to make now. Raises IllegalStep where there is no watch."""
        if self.state is Watch.IDLE:
            raise IllegalStep("nobody follows the list")
        wait = 0 if self.state is Watch.CATCHING_UP else self._wait_us
        return Call(None if self._whole else self.version, wait, wait + PATIENCE_US)

    def answered(self, version: int, full: bool, entries: int) -> Worth:
        """Take an answer's version; return what it is worth. Raises IllegalStep where there is no watch."""
        if self.state is Watch.IDLE:
            raise IllegalStep("an answer without a watch")
        if not self._whole and self.version is not None and version < self.version:
            # A source that began anew, or one that lags: only a whole list says what is true there.
            self.state, self._whole = Watch.IDLE, True
            return Worth.STALE
        if self._whole and not full:
            self.state = Watch.IDLE
            return Worth.STALE
        news = entries > 0 or full or self.state is Watch.CATCHING_UP
        self.version, self._whole, self.state = version, False, Watch.FOLLOWING
        return Worth.TAKE if news else Worth.SKIP

    def failed(self) -> None:
        """A call failed: the module will say when to follow again."""
        self.state = Watch.IDLE
