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
from random import Random

from harriertrack.decisions.lifecycle import IllegalTransition

# Of the time after which the rules hold a head that does not ask for told: a watch waits so long a call ...
WAIT_PARTS = 4
# ... and never longer than this. What a watch that falls silent misses counts as told after 6 s: until then
# the silence must be noticed, and a call made, tried again and answered.
MAX_WAIT_US = 2_500_000
# A call's answer may come so long after its wait: discovery serves its callers in turn.
ANSWER_ALLOWANCE_US = 1_200_000
# A change counts as told so long after discovery had it and could be reached, whatever failed before, and so
# long after the watch that missed it fell silent; ...
ANNOUNCED_AFTER_US = 6_000_000
# ... less what a busy head needs to find an answer, read it and act on it.
MARGIN_US = 300_000
# The latest that a call may begin for its answer to be in hand by then.
LAST_CALL_US = ANNOUNCED_AFTER_US - MARGIN_US - ANSWER_ALLOWANCE_US
# Discovery may come back just after a call began, and one more may fail: the third one's answer has to be in
# hand. So calls that fail begin at most so far apart, however they fail.
CYCLE_US = LAST_CALL_US // 2
# A call that took up its time is followed so soon at the earliest: at most ten a second, never a busy loop.
AGAIN_SOONEST_US = 100_000
# The wait before a call beside one that is overdue is shorter by up to such a part of it.
JITTER_SHARE = 0.2
# Of the time without a call, so much may pass after one that failed, less what the next may take; ...
AGAIN_PARTS = (3, 4)
AGAIN_LEAST_US = 300_000  # ... but the module's shortest wait is always its own.
# What a new source has to tell counts 4 s after it was named ...
MOVED_TOLD_US = 4_000_000
# ... so until it has answered, calls that fail begin at most so far apart, or the module's shortest wait
# after one that was overdue: the third is answered in time.
MOVED_RETRY_US = 1_000_000
# The agent answers on this machine, and the module goes on sending a drained node its reads for half of the
# grace: a silent call and the wait after it together stay under that half.
PUSHED_PATIENCE_PARTS, PUSHED_AGAIN_PARTS = 4, 8
# Time limits are longer by 50 ms, half of this: with a shorter grace, or none, the head is no quicker.
PUSHED_GRACE_LEAST_US = 100_000
# Failures in a row double a shorter wait until calls begin so far apart: a call each 40 ms costs little, and
# its answer still comes within the 50 ms. A busy agent has more time: calls that are overdue stay open.
PUSHED_CYCLE_US = 40_000
# A watch that is late has not fallen silent yet: its time to count is 6 s, not the grace.
PUSHED_WATCH_PATIENCE_US = 300_000
# A head whose agent is silent is not ready: what the agent had counts from the head's first moment. Outages
# last 8 s, and the agent learns nothing in them: one that was there at the start is over by then. The rest of
# the 10 s in which nine in ten restarted heads have to be ready is for the imports and the first call.
STARTUP_HOLD_US = 8_000_000


class WatchState(StrEnum):
    """Where the watch is."""

    IDLE = "idle"  # not followed, or a call failed
    CATCHING_UP = "catching up"  # the first call since: its answer is news even if nothing changed
    FOLLOWING = "following"


class UpdateOutcome(StrEnum):
    """What to do with an answer."""

    APPLY = "take"  # tell the module, and ask on at once
    SKIP = "skip"  # nothing new: ask on at once
    # Older than what is held: the whole list is asked for at once, or by the next call where the answer is
    # late; if the whole list was asked for, it is a failed call.
    STALE = "stale"


@dataclass(frozen=True, slots=True)
class Call:
    """A call to make: changes since a version (None: the whole list); times are microseconds."""

    since: int | None
    wait_us: int
    timeout_us: int


class DiscoveryWatch:
    """The state of the watch.

    `ask_within_us`, where the list is asked for: how long the rules let a head go without a call (0: they set
    no such time). `pushed`: what the agent has counts; `grace_us` is then how long after it something new may
    still go to a drained node.
    """

    def __init__(self, ask_within_us: int, version: int | None, pushed: bool = False,
                 grace_us: int = 0, started: int | None = None, seed: int = 0) -> None:  # fmt: skip
        self.state = WatchState.IDLE
        self.version = version
        self.pushed = pushed
        self.startup_hold_us = STARTUP_HOLD_US if pushed else 0  # how long a start waits for the first answer
        self._ask_within_us, self._grace_us = ask_within_us, max(grace_us, PUSHED_GRACE_LEAST_US)
        self._late_grace_us = 0 if pushed else grace_us  # how long news that come late may still come
        self._failures = 0  # in a row
        self._silent_from: int | None = None  # when the call began with which the last watch ended
        self._wait_us = min(MAX_WAIT_US, (ask_within_us or 4 * MAX_WAIT_US) // WAIT_PARTS)
        self._whole = version is None
        self._wanted = False  # the list is followed, whether or not a call is under way
        self._moved = False  # and its present source has not answered yet
        self._random = Random(seed)
        self._heard_from = started  # when the last answered call began, or this head

    def subscribe(self, on: bool) -> bool:
        """Follow from now on, or stop; return whether that changes anything."""
        self._wanted = on
        if on == (self.state is not WatchState.IDLE):
            return False
        self.state = WatchState.CATCHING_UP if on else WatchState.IDLE
        return True

    def restart(self, now: int) -> bool:
        """The source has moved: whatever is under way is void; return whether to ask the new one now.

        Also where the last call failed and the module waits to try again: it waits for the old source, and
        what the new one tells soon counts as told.
        """
        self._moved, self._failures, self._silent_from = True, 0, None
        if self._heard_from is not None:
            self._heard_from = min(self._heard_from, now + MOVED_TOLD_US - ANNOUNCED_AFTER_US)
        if self._wanted:
            self.state = WatchState.CATCHING_UP
        return self._wanted

    def refresh(self) -> bool:
        """The head stood still: the next call is answered at once; return whether the list is followed."""
        if self._wanted:
            self.state = WatchState.CATCHING_UP
        return self._wanted

    def next_call(self) -> Call:
        """Return the call to make now. Raises IllegalTransition where there is no watch."""
        if self.state is WatchState.IDLE:
            raise IllegalTransition("nobody follows the list")
        wait = 0 if self.state is WatchState.CATCHING_UP else self._wait_us
        return Call(None if self._whole else self.version, wait, wait + self._patience(wait))

    def _patience(self, wait_us: int) -> int:
        if not self.pushed:
            return ANSWER_ALLOWANCE_US
        patience = self._grace_us // PUSHED_PATIENCE_PARTS
        return min(ANSWER_ALLOWANCE_US, max(patience, PUSHED_WATCH_PATIENCE_US) if wait_us else patience)

    def _pushed_again(self, took_us: int) -> int:
        """Return the wait after a call to the agent, doubled with each failure after the first to a bound."""
        least_us = self._grace_us // PUSHED_AGAIN_PARTS
        doublings = min(8, max(0, self._failures - 1))
        return max(least_us, min(PUSHED_CYCLE_US - took_us, least_us << doublings))

    def handle_answer(self, version: int, full: bool, entries: int) -> UpdateOutcome:
        """Take an answer's version; return what it is worth. Raises IllegalTransition without a watch."""
        if self.state is WatchState.IDLE:
            raise IllegalTransition("an answer without a watch")
        if not self._whole and self.version is not None and version < self.version:
            # A source that began anew, or one that lags: only a whole list says what is true there.
            self.state, self._whole = WatchState.CATCHING_UP, True
            return UpdateOutcome.STALE
        if self._whole and not full:
            self.state = WatchState.IDLE
            return UpdateOutcome.STALE
        news = entries > 0 or full or self.state is WatchState.CATCHING_UP
        self.version, self._whole, self.state = version, False, WatchState.FOLLOWING
        self._moved, self._failures, self._silent_from = False, 0, None
        return UpdateOutcome.APPLY if news else UpdateOutcome.SKIP

    def handle_late_answer(self, version: int, full: bool) -> UpdateOutcome:
        """Take the answer of a call that was overdue: what is newer than the list in hand.

        Where no other call is under way the watch goes on from it: a new one would wait for its turn again.
        """
        if not self._whole and self.version is not None and version < self.version:
            self._whole = True  # as in `answered`: the next call asks for the whole list
            return UpdateOutcome.STALE
        if self._whole and not full:
            return UpdateOutcome.STALE
        news = self._whole or version != self.version
        self.version, self._whole = version, False
        if self.state is WatchState.IDLE:
            self.state = WatchState.FOLLOWING
        self._moved, self._failures, self._silent_from = False, 0, None
        return UpdateOutcome.APPLY if news else UpdateOutcome.SKIP

    def effective_at(self, began: int, came_at: int) -> int:
        """Return since when the news of an answer counts, at the latest; go on from its call.

        What has changed since the last answered call began counts 6 s after that at the earliest, though this
        head hears it only now.
        """
        counts_at = came_at
        if not self.pushed and self._heard_from is not None:
            counts_at = min(came_at, self._heard_from + ANNOUNCED_AFTER_US)
        self._heard_from = began
        return counts_at

    def handle_overdue(self, now: int, began: int) -> int:
        """A call takes longer than it should; return after how long to make another one beside it.

        Heads that began together would come together each time, in the same order, and the last of them would
        never have their turn.
        """
        again_us = self.handle_failure(now, began)
        if self.pushed:
            return again_us
        return again_us - int(again_us * JITTER_SHARE * self._random.random())

    def handle_late_failure(self) -> int:
        """An overdue call has failed after all; return how much later than planned to make the next one.

        A source that turns calls down after they have waited has more than it can serve, and may go on to
        work on those. News that come late begin no grace of their own, so two calls may each be later by half
        of it.
        """
        most_us = min(self._late_grace_us, CYCLE_US) // 2
        return int(most_us * (1 + self._random.random()) / 2) if most_us else 0

    def handle_failure(self, now: int, began: int) -> int:
        """A call has failed; return after how long to ask anew, unless somebody asks for it before."""
        if self.state is WatchState.FOLLOWING:
            self._silent_from = began
        self.state = WatchState.IDLE
        self._failures += 1
        took = now - began
        bounds = [CYCLE_US - took]
        if self._silent_from is not None and began - self._silent_from < LAST_CALL_US:
            bounds.append(LAST_CALL_US - (now - self._silent_from))
        if self._moved:
            bounds.append(max(AGAIN_LEAST_US, MOVED_RETRY_US - took))
        if self.pushed:
            bounds.append(self._pushed_again(took))
            return max(min(AGAIN_SOONEST_US, bounds[-1]), min(bounds))
        if self._ask_within_us:
            more, parts = AGAIN_PARTS
            bounds.append(max(AGAIN_LEAST_US, self._ask_within_us * more // parts - ANSWER_ALLOWANCE_US))
        return max(AGAIN_SOONEST_US, min(bounds))
