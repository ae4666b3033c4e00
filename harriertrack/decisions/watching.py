"""How the platform's list is followed: which call is next, how long it may take, what its answer is worth.

IDLE until the list is followed, then one call after another until one fails. Where the list is asked for, the
module says whether to follow and when to try again, within what the rules let a head go without a call. Where
it is pushed, what this machine's agent has counts at once, whether or not this process has heard it: the head
follows by itself from its first moment, and what fails is asked anew within a part of the drains' grace.
No I/O, no clock: whoever carries calls asks here.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from harriertrack.decisions.life import IllegalStep

# Of the time after which the rules hold a head that does not ask for told: a watch waits so long a call ...
WAIT_PARTS = 4
# ... and never longer than this. What a watch that falls silent misses counts as told after 6 s: until then
# the silence must be noticed, and a call made, tried again and answered.
WAIT_MOST_US = 2_500_000
# A call's answer may come so long after its wait: discovery serves its callers in turn.
PATIENCE_US = 1_200_000
# Of the time without a call, so much may pass after one that failed, less what the next may take; ...
AGAIN_PARTS = (3, 4)
AGAIN_LEAST_US = 300_000  # ... but the module's shortest wait is always its own.
# What a new source has to tell counts 4 s after it was named: until it has answered, no wait is longer.
MOVED_AGAIN_US = 1_000_000
# The agent answers on this machine, and the module goes on sending a drained node its reads for half of the
# grace: a silent call and the wait after it together stay under that half.
PUSHED_PATIENCE_PARTS, PUSHED_AGAIN_PARTS = 4, 8
GRACE_US = 2_000_000  # where the rules name none
# A head whose agent is silent is not ready: what the agent has counts from the head's first moment. The
# platform gives a head 30 s to be ready; a silent agent must not take all of them.
HOLD_US = 20_000_000


class Watch(StrEnum):
    """Where the watch is."""

    IDLE = "idle"  # not followed, or a call failed
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
    """The state of the watch.

    `ask_within_us`, where the list is asked for: how long the rules let a head go without a call (0: they set
    no such time). `pushed`: what the agent has counts; `grace_us` is then how long after it nothing new may
    go to a drained node (0: no such rule).
    """

    def __init__(self, ask_within_us: int, version: int | None, pushed: bool = False,
                 grace_us: int = 0) -> None:  # fmt: skip
        self.state = Watch.IDLE
        self.version = version
        self.pushed = pushed
        self.hold_us = HOLD_US if pushed else 0  # how long a start waits for the first answer
        self._ask_within_us, self._grace_us = ask_within_us, grace_us or GRACE_US
        self._patience_us = self._grace_us // PUSHED_PATIENCE_PARTS if pushed else PATIENCE_US
        self._wait_us = min(WAIT_MOST_US, (ask_within_us or 4 * WAIT_MOST_US) // WAIT_PARTS)
        self._whole = version is None
        self._wanted = False  # the list is followed, whether or not a call is under way
        self._moved = False  # and its present source has not answered yet

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
        self._moved = True
        if self._wanted:
            self.state = Watch.CATCHING_UP
        return self._wanted

    def call(self) -> Call:
        """Return the call to make now. Raises IllegalStep where there is no watch."""
        if self.state is Watch.IDLE:
            raise IllegalStep("nobody follows the list")
        wait = 0 if self.state is Watch.CATCHING_UP else self._wait_us
        return Call(None if self._whole else self.version, wait, wait + self._patience_us)

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
        self._moved = False
        return Worth.TAKE if news else Worth.SKIP

    def failed(self) -> int | None:
        """A call failed; return after how long to ask anew if nobody has said so before (None: never)."""
        self.state = Watch.IDLE
        if self.pushed:
            return self._grace_us // PUSHED_AGAIN_PARTS
        if not self._ask_within_us:
            return MOVED_AGAIN_US if self._moved else None
        more, parts = AGAIN_PARTS
        again = max(AGAIN_LEAST_US, self._ask_within_us * more // parts - PATIENCE_US)
        return min(again, MOVED_AGAIN_US) if self._moved else again
