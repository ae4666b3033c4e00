"""Checks a recording of the platform's heads against its rules, across the ends of their processes.

A drain counts for a head, not for a process: what an earlier process was told, or a saved list says, holds
against the later one. Sources: the platform's protocol page, "The rules on sockets" and "Figures", and its
standing terms for drains, clients that leave and cold nodes. Rule 0: no crash.
"""

from __future__ import annotations

from bisect import bisect_left, bisect_right
from collections import defaultdict
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from math import sqrt

from harriertrack.rules import platform_recording as rec
from harriertrack.rules.breach import Breach

SLACK_US = 50_000  # every time limit is longer by this
LATE_ANSWER_US = 500_000  # an answer this late earns nothing; later it is lost
CLIENT_LEFT_US = 100_000  # attempts may begin up to this long after a client has left
ANNOUNCED_AFTER_US = 6_000_000  # a change counts at the latest this long after discovery had it
MOVED_ANNOUNCED_US = 4_000_000  # where lists are pushed, a new source counts this long after SIGHUP
LIMIT_SLACK_US = 150_000  # a limit's slack grows by what it allows in this time
SMALL_COUNT = 30  # requests that a cold node bears, up to which chance has three deviations, else two
REFUSALS = (429, 503)


@dataclass(slots=True, eq=False)
class RequestHistory:
    """A request: when it was sent (twice where a close crossed it), how it ended, its attempts."""

    sent: list[rec.RequestSent] = field(default_factory=list)
    ended: list[rec.RequestEnded] = field(default_factory=list)
    attempts: list[rec.AttemptReceived] = field(default_factory=list)
    never_ran: set[int] = field(default_factory=set)  # serial numbers of attempts with that proof
    returned_at: int | None = None  # when it was sent again after its client had left

    @property
    def name(self) -> str:
        """Describe the request; one that no client sent by its attempts."""
        if not self.sent:
            return f"request {self.attempts[0].trace!r} that no client sent"
        return f"request {self.sent[0].trace} of {self.sent[0].head} ({self.sent[0].class_name})"

    @property
    def attempts_before_return(self) -> list[rec.AttemptReceived]:
        """Return the attempts but those that came after it was sent again."""
        return [
            attempt for attempt in self.attempts if self.returned_at is None or attempt.t < self.returned_at
        ]

    def may_have_run(self, attempt: rec.AttemptReceived) -> bool:
        """Whether no answer proves that an attempt was not executed."""
        return attempt.serial not in self.never_ran


class PlatformRun:
    """A recording, by request, node and head."""

    def __init__(self, records: Iterable[rec.Record]) -> None:
        self.requests: dict[str, RequestHistory] = defaultdict(RequestHistory)
        self.attempts: list[rec.AttemptReceived] = []
        self.changes: dict[str, list[rec.NodeChanged]] = defaultdict(list)
        self.written: dict[str, list[rec.ListWritten]] = defaultdict(list)
        self.starts: dict[str, list[rec.ProcessStarted]] = defaultdict(list)
        self.reloads: dict[str, list[int]] = defaultdict(list)
        self.stops: dict[str, list[rec.ProcessSignalled]] = defaultdict(list)  # SIGSTOP and SIGCONT in turn
        self.ends: dict[str, list[rec.ProcessEnded]] = defaultdict(list)
        self.outages: list[rec.OutageChanged] = []
        self.silences: list[int] = []
        self.delays: list[rec.RecorderDelayed] = []
        self.memory: list[rec.MemorySampled] = []
        self.facts: rec.RunFacts
        for record in records:
            self._add(record)
        self.classes = {one.name: one for one in self.facts.classes}

    def _add(self, record: rec.Record) -> None:
        match record:
            case rec.RunFacts():
                self.facts = record
            case rec.NodeChanged():
                self.changes[record.node].append(record)
            case rec.ListWritten():
                self.written[record.head].append(record)
            case rec.ProcessStarted():
                self.starts[record.head].append(record)
            case rec.ProcessSignalled() if record.signal == "SIGHUP":
                self.reloads[record.head].append(record.t)
            case rec.ProcessSignalled() if record.signal in ("SIGSTOP", "SIGCONT"):
                self.stops[record.head].append(record)
            case rec.ProcessEnded():
                self.ends[record.head].append(record)
            case rec.OutageChanged():
                self.outages.append(record)
            case rec.WatchesSilenced():
                self.silences.append(record.t)
            case rec.RequestSent():
                self.requests[record.trace].sent.append(record)
            case rec.RequestEnded():
                self.requests[record.trace].ended.append(record)
            case rec.RequestReturned():
                self.requests[record.trace].returned_at = record.t
            case rec.MemorySampled():
                self.memory.append(record)
            case rec.AttemptReceived() if self._is_hostile(record):
                pass
            case rec.AttemptReceived():
                self.requests[record.trace].attempts.append(record)
                self.attempts.append(record)
            case rec.AttemptAnswered() if record.never_ran:
                self.requests[record.trace].never_ran.add(record.serial)
            case rec.RecorderDelayed():
                self.delays.append(record)

    def _is_hostile(self, attempt: rec.AttemptReceived) -> bool:
        return bool(self.facts.first_hostile_id) and attempt.trace >= self.facts.first_hostile_id

    def slack_us(self, begin_us: int, end_us: int) -> int:
        """Return how much later than a time limit an event in between may have been recorded."""
        overlaps = (min(one.t + one.us, end_us) - max(one.t, begin_us) for one in self.delays)
        return SLACK_US + sum(max(0, overlap) for overlap in overlaps)

    def stopped_us(self, head: str, begin_us: int, end_us: int) -> int:
        """Return for how long between two times a head's process was stopped, and could answer nothing."""
        stops = self.stops[head]
        overlaps = (
            min(resumed.t, end_us) - max(stopped.t, begin_us)
            for stopped, resumed in zip(stops[::2], stops[1::2], strict=False)
        )
        return sum(max(0, overlap) for overlap in overlaps)

    def reachable_from(self, t: int) -> int:
        """Return when discovery can be reached at, or first after, a time."""
        for outage, end in zip(self.outages[::2], self.outages[1::2], strict=False):
            if outage.t <= t < end.t:
                return end.t
        return t

    def _silent_from(self, head: str, t: int) -> int | None:
        """Return when a head's watch fell silent, if nothing was written to the head from then to `t`."""
        silences = [at for at in self.silences if at <= t]
        if not silences or any(silences[-1] <= one.t <= t for one in self.written[head]):
            return None
        return silences[-1]

    def announced_at(self, head: str, change: rec.NodeChanged) -> int:
        """Return from when a node's drain or end counts as announced to a head, whichever process it has."""
        reachable_at = self.reachable_from(change.t)
        silent_from = self._silent_from(head, change.t)
        if silent_from is not None:
            latest = max(reachable_at, silent_from + ANNOUNCED_AFTER_US)
        elif self.facts.pushed:
            moved = [t + MOVED_ANNOUNCED_US for t in self.reloads[head] if t <= reachable_at]
            latest = max([reachable_at, *moved[-1:]])
        else:
            latest = reachable_at + ANNOUNCED_AFTER_US
        times = [latest]
        states = [(one.t, one.states) for one in self.written[head]]
        states += [(one.t, one.states) for one in self.starts[head]]
        times += [
            t for t, named in states if t >= change.t and named.get(change.node, "in_service") != "in_service"
        ]
        return min(times)


def answered_once_in_time(run: PlatformRun) -> Iterator[Breach]:
    """Rule 1: each request taken gets one final answer in time, and nothing is sent for it afterwards."""
    for history in run.requests.values():
        if not history.sent:
            yield Breach(1, history.attempts[0].t, history.attempts[0].trace, "sent, though no client asked")
            continue
        sent, ended = history.sent[-1], history.ended[-1] if history.ended else None
        if ended is None:
            yield Breach(1, sent.t, history.name, "neither answered nor closed")
            continue
        if len(history.ended) > 1:
            yield Breach(1, ended.t, history.name, f"{len(history.ended)} answers")
        latest = sent.t + sent.wait_us + LATE_ANSWER_US + run.stopped_us(sent.head, sent.t, ended.t)
        if ended.status and ended.t > latest + run.slack_us(sent.t, ended.t):
            yield Breach(1, ended.t, history.name, f"answered {ended.t - latest} us too late")
        unanswered = not ended.status and ended.how not in ("left", "not taken")
        given_up = ended.how == "silent" and ended.t <= latest  # while the head's process was stopped
        if unanswered and not given_up and not _may_end_unanswered(run, ended, sent):
            yield Breach(1, ended.t, history.name, f"not answered: {ended.how}")
        if _closed_after_forwarding(history) and not _may_end_unanswered(run, ended, history.sent[0]):
            yield Breach(1, ended.t, history.name, "forwarded, and its connection closed without an answer")
        over_us = CLIENT_LEFT_US if ended.how == "left" else 0
        for attempt in history.attempts_before_return:
            if attempt.t > ended.t + over_us + run.slack_us(ended.t, attempt.t):
                why = f"sent to {attempt.node} {attempt.t - ended.t} us after its end"
                yield Breach(1, attempt.t, history.name, why)


def _closed_after_forwarding(history: RequestHistory) -> bool:
    """Whether the head closed a connection over a request that it had read and forwarded."""
    if not history.attempts:
        return False
    sent_again = len(history.sent) > 1 and history.attempts[0].t < history.sent[1].t
    return sent_again or history.ended[-1].how == "not taken"


def _may_end_unanswered(run: PlatformRun, ended: rec.RequestEnded, sent: rec.RequestSent) -> bool:
    """Whether a head was killed without notice while it had the request, or shut a connection of a crowd."""
    if run.facts.crowd and sent.fresh and ended.how != "silent":
        return True
    killed = (one for one in run.ends[sent.head] if not one.planned)
    return any(sent.t <= one.t <= ended.t + run.slack_us(sent.t, ended.t) for one in killed)


def no_effect_twice(run: PlatformRun) -> Iterator[Breach]:
    """Rule 2: unsafe requests run once, keyed ones again only at the same node and in their window."""
    for history in run.requests.values():
        if not history.sent or not history.attempts:
            continue
        facts = run.classes[history.sent[0].class_name]
        if facts.effect == "safe":
            continue
        first: rec.AttemptReceived | None = None  # that may have run
        for attempt in history.attempts:
            if first is not None:
                late_us = attempt.t - first.t - facts.window_us
                in_group = facts.effect == "keyed" and attempt.node == first.node
                if not in_group or late_us > run.slack_us(first.t, attempt.t):
                    yield Breach(2, attempt.t, history.name, f"sent again to {attempt.node}, may have run")
            elif history.may_have_run(attempt):
                first = attempt
        refused = next((one for one in history.ended if one.status in REFUSALS), None)
        if first is not None and refused is not None:
            yield Breach(2, refused.t, history.name, f"refused, though it may have run at {first.node}")


def returned_ids_run_once(run: PlatformRun) -> Iterator[Breach]:
    """Rule 2: an id that reached a node is not sent again when it comes again after its client had left."""
    for history in run.requests.values():
        before = len(history.attempts_before_return)
        if before and len(history.attempts) > before:
            attempt = history.attempts[before]
            yield Breach(2, attempt.t, history.name, f"came again, and was sent again to {attempt.node}")


def memory_kept(run: PlatformRun) -> Iterator[Breach]:
    """Rule 0: no process passes its memory limit; the first time of each head is named."""
    named: set[str] = set()
    for sample in run.memory:
        if 0 < run.facts.memory_bytes < sample.held_bytes and sample.head not in named:
            named.add(sample.head)
            held, most = sample.held_bytes >> 20, run.facts.memory_bytes >> 20
            yield Breach(0, sample.t, sample.head, f"holds {held} MiB of memory, and may hold {most}")


def drains_kept(run: PlatformRun) -> Iterator[Breach]:
    """Rule 3: nothing new goes to a node later than the grace after its drain or end was announced."""
    for attempt in run.attempts:
        history = run.requests[attempt.trace]
        change = _change_out_of_service(run.changes[attempt.node], attempt.t)
        if change is None or not history.sent:
            continue
        head = history.sent[0].head
        over = run.announced_at(head, change) + run.facts.drain_grace_us
        if attempt.t > over + run.slack_us(over, attempt.t):
            why = (
                f"sent to {attempt.node} {attempt.t - over} us after the grace, {change.state} at {change.t}"
            )
            yield Breach(3, attempt.t, history.name, why)


def _change_out_of_service(changes: list[rec.NodeChanged], t: int) -> rec.NodeChanged | None:
    """Return the change by which a node that is not in service at a time ceased to be."""
    found: rec.NodeChanged | None = None
    for change in changes:
        if change.t > t:
            break
        if change.state == "in_service":
            found = None
        elif found is None:
            found = change
    return found


def cold_nodes_spared(run: PlatformRun) -> Iterator[Breach]:
    """Rule 4: over a cold node come no more requests than it bears, most of them from heads that know it."""
    facts = run.facts
    for node, changes in run.changes.items():
        received = [attempt for attempt in run.attempts if attempt.node == node]
        times = [attempt.t for attempt in received]
        for start in (change for change in changes if change.rate):
            informed = {
                head
                for head, lists in run.written.items()
                if any(one.t >= start.t and one.states.get(node) == "in_service" for one in lists)
            }
            for last in range(bisect_left(times, start.t), bisect_right(times, start.t + facts.warm_us)):
                first = bisect_right(times, times[last] - facts.fall_us)
                count = last - max(first, bisect_left(times, start.t)) + 1
                warmed = min(1.0, (times[last] - start.t) / facts.warm_us)
                share = facts.cold_share + (1 - facts.cold_share) * warmed
                borne = facts.fall_multiple * start.rate * share * facts.fall_us / 1e6
                chance = 3 * sqrt(borne) + 3 if borne < SMALL_COUNT else 2 * sqrt(borne) + 2
                window = received[first : last + 1]
                told = sum(run.requests[one.trace].sent[0].head in informed for one in window)
                if count > borne + chance and told * 3 > 2 * len(window):
                    yield Breach(
                        4, times[last], node, f"cold, got {count} requests where it bears {borne:.0f}"
                    )
                    break


def attempts_within_bounds(run: PlatformRun) -> Iterator[Breach]:
    """Rule 6: a request has at most so many attempts."""
    for history in run.requests.values():
        if len(history.attempts) > run.facts.max_attempts:
            attempt = history.attempts[run.facts.max_attempts]
            yield Breach(6, attempt.t, history.name, f"{len(history.attempts)} attempts")


def limits_kept(run: PlatformRun) -> Iterator[Breach]:
    """Rule 7: the first attempts of all heads stay within a volume's limit."""
    firsts = sorted(
        (one for one in run.requests.values() if one.sent and one.attempts), key=_first_attempt_at
    )
    for limit in run.facts.limits:
        level, at = limit.burst, 0
        slack = limit.slack + limit.rate * LIMIT_SLACK_US / 1e6
        for history in firsts:
            if history.sent[0].volume != limit.volume:
                continue
            t = _first_attempt_at(history)
            level = min(limit.burst, level + limit.rate * (t - (at or t)) / 1e6) - history.sent[0].units
            at = t
            if level < -slack:
                yield Breach(7, t, limit.volume, f"{-level:.1f} units past its limit, slack {slack:.1f}")
                break


def _first_attempt_at(history: RequestHistory) -> int:
    return history.attempts[0].t


def no_crash(run: PlatformRun) -> Iterator[Breach]:
    """Rule 0: a process ends only when it is asked to, with status 0, or is killed."""
    for head, ends in run.ends.items():
        for end in ends:
            if end.status not in (0, -9) or (end.status == 0 and not end.planned):
                yield Breach(0, end.t, head, f"ended with status {end.status}")


RULES: tuple[Callable[[PlatformRun], Iterator[Breach]], ...] = (
    no_crash,
    memory_kept,
    answered_once_in_time,
    no_effect_twice,
    returned_ids_run_once,
    drains_kept,
    cold_nodes_spared,
    attempts_within_bounds,
    limits_kept,
)


def check(records: Iterable[rec.Record]) -> list[Breach]:
    """Check a recording; return all breaches in order of time."""
    run = PlatformRun(records)
    return sorted((breach for rule in RULES for breach in rule(run)), key=lambda breach: breach.t)
