"""The watch over the platform's node list: the next call, its time limits, and the use of its answer.

The state is IDLE until the list is followed; then one call follows another until one fails. In pull mode the
decision module says whether to follow the list and when to retry, within the time that the rules let a head
go without a call. In push mode everything that the agent on this machine has counts as announced at once,
whether or not this process has read it: the head follows the list by itself from its start, and retries a
failed call within a fraction of the drain grace. No I/O, no clock: the code that makes the calls consults
this class.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from random import Random

from harriertrack.decisions.lifecycle import IllegalTransition

# If a head makes no call for `ask_within_us`, the rules treat changes as announced to it anyway. A watch call
# waits for this fraction of that time ...
WAIT_PARTS = 4
# ... and never longer than this. A change missed by a silent watch counts as announced after 6 s: within that
# time the silence must be detected and another call made, retried and answered.
MAX_WAIT_US = 2_500_000
# How long after its wait a call may still be answered: discovery serves its callers one after another.
ANSWER_ALLOWANCE_US = 1_200_000
# A change counts as announced this long after discovery had it and was reachable, whatever failed before, and
# this long after the watch that missed it fell silent ...
ANNOUNCED_AFTER_US = 6_000_000
# ... less the time that a busy head needs to find an answer, read it and act on it.
MARGIN_US = 300_000
# The latest start of a call whose answer still arrives by then.
LATEST_CALL_US = ANNOUNCED_AFTER_US - MARGIN_US - ANSWER_ALLOWANCE_US
# Discovery may recover just after a call began, and one more call may fail: the answer of the third must
# arrive in time. So calls that fail begin at most this far apart, however they fail.
CYCLE_US = LATEST_CALL_US // 2
# The earliest retry after a call that used up its time: at most ten calls a second, never a busy loop.
MIN_RETRY_US = 100_000
# The wait before a call beside an overdue one is shortened at random by up to this fraction.
JITTER_SHARE = 0.2
# A retry may wait for this fraction of the time allowed without a call, less what the next call may take ...
RETRY_FRACTION = (3, 4)
MODULE_RETRY_US = 300_000  # ... but never less than the decision module's own shortest wait.
# What a new source has counts as announced 4 s after the source was named ...
MOVED_ANNOUNCED_US = 4_000_000
# ... so until it has answered, failing calls begin at most this far apart, or the module's shortest wait
# after an overdue one: the third is answered in time.
MOVED_RETRY_US = 1_000_000
# The agent runs on this machine, and the decision module goes on sending reads to a drained node for half of
# the grace: a call without an answer and the wait after it together stay below that half.
PUSHED_ALLOWANCE_PARTS, PUSHED_RETRY_PARTS = 4, 8
# Time limits include 50 ms of slack, half of this: with a shorter grace, or none, the head is no faster.
PUSHED_MIN_GRACE_US = 100_000
# Consecutive failures double a shorter wait until calls begin this far apart: one call every 40 ms costs
# little, and its answer still arrives within the 50 ms. A busy agent has more time, as overdue calls stay
# open.
PUSHED_CYCLE_US = 40_000
# A late watch call is not a silent one yet: its changes count as announced after 6 s, not after the grace.
PUSHED_WATCH_ALLOWANCE_US = 300_000
# A head whose agent does not answer is not ready: what the agent had counts from the head's start. Outages
# last 8 s, and the agent receives no updates during one, so one that was in progress at the start is over by
# then. Nine in ten restarted heads have to be ready within 10 s: the rest is for imports and the first call.
STARTUP_HOLD_US = 8_000_000


class WatchState(StrEnum):
    """State of the watch."""

    IDLE = "idle"  # the list is not followed, or a call failed
    CATCHING_UP = "catching up"  # the first call since then: its answer is applied even if nothing changed
    FOLLOWING = "following"


class UpdateOutcome(StrEnum):
    """What to do with an answer."""

    APPLY = "take"  # pass it to the decision module, and call again at once
    SKIP = "skip"  # nothing new: call again at once
    # Older than the list in hand: request the full list at once, or with the next call if the answer is late.
    # If the full list was requested already, the call has failed.
    STALE = "stale"


@dataclass(frozen=True, slots=True)
class Call:
    """A call to make: for the changes since a version (None: the full list); times are in microseconds."""

    since: int | None
    wait_us: int
    timeout_us: int


class DiscoveryWatch:
    """The state machine of the watch.

    `ask_within_us`, in pull mode: how long the rules let a head go without a call (0: no limit). `pushed`:
    what the agent has counts as announced at once; `grace_us` is then how long after that new requests may
    still go to a drained node.
    """

    def __init__(self, ask_within_us: int, version: int | None, pushed: bool = False,
                 grace_us: int = 0, started: int | None = None, seed: int = 0) -> None:  # fmt: skip
        self.state = WatchState.IDLE
        self.version = version
        self.pushed = pushed
        self.startup_hold_us = STARTUP_HOLD_US if pushed else 0  # how long a start waits for the first answer
        self._ask_within_us, self._grace_us = ask_within_us, max(grace_us, PUSHED_MIN_GRACE_US)
        self._late_grace_us = 0 if pushed else grace_us  # how late an answer may be without missing the grace
        self._failures = 0  # consecutive
        # When the call began that ended the last watch, and when that call failed. A new process may follow
        # one whose watch was silent.
        self._silent_since = None if started is None else started - ANNOUNCED_AFTER_US
        self._watch_ended_at = started or 0
        self._wait_us = min(MAX_WAIT_US, (ask_within_us or 4 * MAX_WAIT_US) // WAIT_PARTS)
        self._needs_full = version is None  # the next call requests the full list
        self._followed = False  # the list is followed, whether or not a call is in progress
        self._moved = False  # the current source has not answered yet
        self._random = Random(seed)
        self._answered_from = started  # when the last answered call began, or this head

    def subscribe(self, on: bool) -> bool:
        """Start or stop following the list; return whether that changes anything."""
        self._followed = on
        if on == (self.state is not WatchState.IDLE):
            return False
        self.state = WatchState.CATCHING_UP if on else WatchState.IDLE
        return True

    def restart(self, now: int) -> bool:
        """The source has moved and calls in progress are void; return whether to call the new one now.

        That is so even while the module waits to retry after a failed call: its wait was for the old source,
        and what the new one has soon counts as announced. What a silent watch of the old one missed still
        counts when it would have.
        """
        self._interrupt_watch(now)
        self._moved, self._failures = True, 0
        if self._answered_from is not None:
            self._answered_from = min(self._answered_from, now + MOVED_ANNOUNCED_US - ANNOUNCED_AFTER_US)
        if self._followed:
            self.state = WatchState.CATCHING_UP
        return self._followed

    def refresh(self, now: int) -> bool:
        """Make the next call ask for an immediate answer (after a standstill); return whether to call."""
        self._interrupt_watch(now)
        if self._followed:
            self.state = WatchState.CATCHING_UP
        return self._followed

    def _interrupt_watch(self, now: int) -> None:
        """Note that the watch ends without an answer: it may have been silent since its last one."""
        if self.state is WatchState.FOLLOWING and self._answered_from is not None:
            self._silent_since, self._watch_ended_at = self._answered_from, now

    def next_call(self) -> Call:
        """Return the call to make now. Raises IllegalTransition if the list is not followed."""
        if self.state is WatchState.IDLE:
            raise IllegalTransition("the node list is not followed")
        wait = 0 if self.state is WatchState.CATCHING_UP else self._wait_us
        return Call(None if self._needs_full else self.version, wait, wait + self._answer_allowance(wait))

    def _answer_allowance(self, wait_us: int) -> int:
        if not self.pushed:
            return ANSWER_ALLOWANCE_US
        allowance = self._grace_us // PUSHED_ALLOWANCE_PARTS
        return min(ANSWER_ALLOWANCE_US, max(allowance, PUSHED_WATCH_ALLOWANCE_US) if wait_us else allowance)

    def _pushed_retry(self, elapsed_us: int) -> int:
        """Return the wait after a call to the agent: doubled with each failure after the first, capped."""
        least_us = self._grace_us // PUSHED_RETRY_PARTS
        doublings = min(8, max(0, self._failures - 1))
        return max(least_us, min(PUSHED_CYCLE_US - elapsed_us, least_us << doublings))

    def handle_answer(self, version: int, full: bool, entries: int) -> UpdateOutcome:
        """Handle an answer; return what to do with it. Raises IllegalTransition if not following."""
        if self.state is WatchState.IDLE:
            raise IllegalTransition("an answer came while the node list is not followed")
        if not self._needs_full and self.version is not None and version < self.version:
            # A source that started over, or one that lags behind: only a full list shows its state.
            self.state, self._needs_full = WatchState.CATCHING_UP, True
            return UpdateOutcome.STALE
        if self._needs_full and not full:
            self.state = WatchState.IDLE
            return UpdateOutcome.STALE
        changed = entries > 0 or full or self.state is WatchState.CATCHING_UP
        self.state = WatchState.FOLLOWING
        return self._accept(version, changed)

    def handle_late_answer(self, version: int, full: bool) -> UpdateOutcome:
        """Handle the answer of a call that was overdue: it counts if it is newer than the list in hand.

        If no other call is in progress the watch continues from it: a new call would queue again at the
        source.
        """
        if not self._needs_full and self.version is not None and version < self.version:
            self._needs_full = True  # as in `handle_answer`: the next call requests the full list
            return UpdateOutcome.STALE
        if self._needs_full and not full:
            return UpdateOutcome.STALE
        changed = self._needs_full or version != self.version
        if self.state is WatchState.IDLE:
            self.state = WatchState.FOLLOWING
        return self._accept(version, changed)

    def _accept(self, version: int, changed: bool) -> UpdateOutcome:
        """Note a usable answer: the source has answered, and its list is now the one in hand."""
        self.version, self._needs_full = version, False
        self._moved, self._failures, self._silent_since = False, 0, None
        return UpdateOutcome.APPLY if changed else UpdateOutcome.SKIP

    def effective_at(self, started_at: int, received_at: int) -> int:
        """Return the latest time from which an answer's changes count as announced; record its call's start.

        A change since the start of the last answered call counts at the earliest 6 s after that start, even
        if this head receives it only now.
        """
        announced_at = received_at
        if not self.pushed and self._answered_from is not None:
            announced_at = min(received_at, self._answered_from + ANNOUNCED_AFTER_US)
        self._answered_from = started_at
        return announced_at

    def handle_overdue(self, now: int, started_at: int) -> int:
        """A call exceeds its time; return after how long to make another one beside it.

        The jitter keeps heads that started together from calling together each time in the same order, which
        would never let the last of them be served.
        """
        retry_us = self._retry_delay(now, started_at)
        if self.pushed:
            return retry_us
        return retry_us - int(retry_us * JITTER_SHARE * self._random.random())

    def handle_late_failure(self) -> int:
        """An overdue call has failed in the end; return how much later than planned to make the next one.

        A source that rejects calls after they have waited is overloaded, and may still be working on them. A
        change that arrives late begins no grace of its own, so two calls may each be delayed by half of it.
        """
        max_delay_us = min(self._late_grace_us, CYCLE_US) // 2
        return int(max_delay_us * (1 + self._random.random()) / 2) if max_delay_us else 0

    def handle_failure(self, now: int, started_at: int) -> int:
        """A call has failed; return after how long to retry, unless a call is requested before."""
        retry_us = self._retry_delay(now, started_at)
        bound_us = self._missed_changes_bound(now, started_at)
        return retry_us if bound_us is None else min(retry_us, bound_us)

    def _missed_changes_bound(self, now: int, started_at: int) -> int | None:
        """Return how long a retry may wait while the grace of what a silent watch missed may run.

        Such a change counts as announced 6 s after the silence, even if the source is out of reach then, so
        the first answer after its return has to come within the grace. None: no answer can still help, or
        calls are made often enough for it anyway.
        """
        if self.pushed or self._silent_since is None or started_at - self._silent_since < LATEST_CALL_US:
            return None
        if now >= self._watch_ended_at + ANNOUNCED_AFTER_US + self._late_grace_us:
            return None
        pace_us = self._late_grace_us - MARGIN_US - (now - started_at)
        return max(MODULE_RETRY_US, pace_us, self._silent_since + ANNOUNCED_AFTER_US - now)

    def _retry_delay(self, now: int, started_at: int) -> int:
        """Record a call without an answer; return after how long to make the next one at the latest."""
        if self.state is WatchState.FOLLOWING:
            self._silent_since, self._watch_ended_at = started_at, now
        self.state = WatchState.IDLE
        self._failures += 1
        elapsed = now - started_at
        bounds = [CYCLE_US - elapsed]
        if self._silent_since is not None and started_at - self._silent_since < LATEST_CALL_US:
            bounds.append(LATEST_CALL_US - (now - self._silent_since))
        if self._moved:
            bounds.append(max(MODULE_RETRY_US, MOVED_RETRY_US - elapsed))
        if self.pushed:
            bounds.append(self._pushed_retry(elapsed))
            return max(min(MIN_RETRY_US, bounds[-1]), min(bounds))
        if self._ask_within_us:
            more, parts = RETRY_FRACTION
            bounds.append(max(MODULE_RETRY_US, self._ask_within_us * more // parts - ANSWER_ALLOWANCE_US))
        return max(MIN_RETRY_US, min(bounds))
