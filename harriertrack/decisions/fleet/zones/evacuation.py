"""The fleet's decision on each zone: in use, out, tried by a few heads, or used again by more and more heads.

One head decides, based on the observations of all heads; terms (terms.py) ensure that there is at most one
decider. It distinguishes:

- a failed zone: nearly all its nodes are silent, in the observations of all heads together;
- a head that is cut off itself: it gets answers from no zone, and its report does not count;
- one bad node, answers lost everywhere, a slow or overloaded zone: most of the zone's nodes still answer;
- heads whose observations of a zone differ: it stays in use, and each head avoids silent nodes by itself;
- a zone that still serves more requests than are lost there (cost.py): leaving costs more than it saves;
- a failure of all zones at once: none is left, and the last zone in use never is.

A zone that is out is tried by a few heads on behalf of all, and returns head by head, each treating its nodes
as cold; a return is slowed or reverted when nodes are silent, and waits longer after each relapse. Pure.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from types import MappingProxyType

from harriertrack.decisions.fleet.zones.cost import Cost, Load, leaving_cost
from harriertrack.decisions.fleet.zones.evidence import ZoneObservation
from harriertrack.decisions.fleet.zones.zone_decision import ZoneDecision, ZoneRules, ZoneStage


@dataclass(slots=True, eq=False)
class ZoneState:
    """The decider's state of a zone."""

    stage: ZoneStage = ZoneStage.IN
    since: int = 0
    share: float = 1.0
    trial_round: int = 0
    relapses: int = 0
    failed_since: int | None = None
    stepped_at: int = 0
    left_at: int = 0
    returned_at: int = 0  # start of its latest return
    reason: str = ""
    operator_hold: str = ""  # "out", or "in": never left automatically


@dataclass(slots=True)
class _Report:
    received_at: int
    observations: tuple[ZoneObservation, ...]


@dataclass(frozen=True, slots=True)
class ZoneSummary:
    """Sum of all valid observations of a zone."""

    responding: int = 0
    silent: int = 0
    heads: int = 0
    load: Load = Load()

    @property
    def silent_share(self) -> float:
        """Return the silent part of the nodes that got requests."""
        return self.silent / (self.responding + self.silent) if self.responding + self.silent else 0.0


class Evacuation:
    """Decides on all zones while its head is the decider."""

    def __init__(self, rules: ZoneRules) -> None:
        self.rules = rules
        self.zones: dict[str, ZoneState] = {}
        self._reports: dict[str, _Report] = {}

    def record_report(self, now: int, head: str, observations: tuple[ZoneObservation, ...]) -> None:
        """Record a head's observations."""
        self._reports[head] = _Report(now, observations)

    def resume(self, now: int, decisions: Iterable[ZoneDecision]) -> None:
        """Continue from the last decisions of the previous decider."""
        for one in decisions:
            returned_at = now - one.warm_us
            self.zones[one.zone] = ZoneState(
                one.stage, returned_at, one.share, one.trial_round, relapses=1, stepped_at=now,
                left_at=now - one.left_us, returned_at=returned_at, reason=one.reason,
            )  # fmt: skip

    def apply_holds(self, now: int, holds: Mapping[str, str]) -> None:
        """Apply operators' holds: by zone "out", "in" (never left automatically), or "" for none.

        While a zone is the last one in use, a hold does not take it out either.
        """
        for name, hold in holds.items():
            zone = self.zones.get(name)
            if (
                zone is None
                or zone.operator_hold == hold
                or (hold == "out" and not self._others_in_use(zone))
            ):
                continue
            before, zone.operator_hold = zone.operator_hold, hold
            if hold == "out":
                self._change(now, zone, ZoneStage.OUT, 0.0, "an operator's wish")
            elif before == "out":
                self._change(now, zone, ZoneStage.TRYING, 0.0, "an operator's wish to return")
                zone.trial_round += 1
            elif hold == "in" and zone.stage is not ZoneStage.IN:
                self._change(now, zone, ZoneStage.IN, 1.0, "an operator's wish")

    def summarize(self, now: int) -> dict[str, ZoneSummary]:
        """Sum the observations of each zone over all heads that are not cut off themselves."""
        found: dict[str, ZoneSummary] = {}
        for head, report in list(self._reports.items()):
            if report.received_at < now - self.rules.fresh_us:
                del self._reports[head]
                continue
            if not any(one.responding for one in report.observations) and len(report.observations) != 1:
                continue  # no zone answers it
            for one in report.observations:
                total = found.get(one.zone, ZoneSummary())
                found[one.zone] = ZoneSummary(total.responding + one.responding, total.silent + one.silent,
                                              total.heads + 1, total.load + one)  # fmt: skip
        return found

    def cost(self, name: str, summaries: Mapping[str, ZoneSummary]) -> Cost:
        """Return the cost of leaving a zone, given the present load of the others."""
        others = (
            other for other, zone in self.zones.items() if other != name and zone.stage is ZoneStage.IN
            and summaries.get(other, ZoneSummary()).silent_share < self.rules.gone
        )  # fmt: skip
        return leaving_cost(
            summaries.get(name, ZoneSummary()).load,
            [summaries.get(other, ZoneSummary()).load for other in others],
        )

    def decide(self, now: int, zones: Iterable[str], heads: int,
               starts: Mapping[str, Collection[int]] = MappingProxyType({})) -> None:  # fmt: skip
        """Update every zone; `starts`: start times of its nodes from the node list."""
        summaries = self.summarize(now)
        known = {name: summaries.get(name, ZoneSummary()) for name in zones}
        for name in known:
            self.zones.setdefault(name, ZoneState(since=now))
        needed = min(self.rules.heads, max(1, heads))
        failing = {
            name
            for name, summary in known.items()
            if summary.silent_share >= self.rules.gone and summary.heads >= needed
        }
        everywhere = len(failing) == len(known)
        for name, summary in known.items():
            zone = self.zones[name]
            if zone.operator_hold == "out":
                continue
            match zone.stage:
                case ZoneStage.IN:
                    fails = name in failing and not everywhere and self.cost(name, summaries).worthwhile
                    self._update_in(now, zone, fails, summary)
                case ZoneStage.OUT:
                    self._update_out(now, zone, starts.get(name, ()))
                case ZoneStage.TRYING:
                    self._update_trying(now, zone, summary, heads)
                case ZoneStage.RETURNING:
                    self._update_returning(
                        now, zone, summary, name in failing and self.cost(name, summaries).worthwhile
                    )

    def _others_in_use(self, zone: ZoneState) -> bool:
        return any(one is not zone and one.stage is ZoneStage.IN for one in self.zones.values())

    def _update_in(self, now: int, zone: ZoneState, fails: bool, summary: ZoneSummary) -> None:
        if not fails:
            zone.failed_since = None
            if zone.relapses and now >= zone.since + self.rules.calm_us:
                zone.relapses = 0
            return
        if zone.failed_since is None:
            zone.failed_since = now
        if (
            now >= zone.failed_since + self.rules.gone_us
            and self._others_in_use(zone)
            and not zone.operator_hold
        ):
            self._leave(
                now,
                zone,
                f"{summary.silent} of {summary.responding + summary.silent} nodes silent, "
                f"{summary.heads} heads",
            )

    def _leave(self, now: int, zone: ZoneState, why: str) -> None:
        # If the zone was used for longer than it had been out before, the next wait starts at the shortest.
        paid_off = now - zone.returned_at >= zone.returned_at - zone.left_at
        zone.relapses = 1 if paid_off else zone.relapses + 1
        zone.failed_since = None
        self._change(now, zone, ZoneStage.OUT, 0.0, why)

    def _update_out(self, now: int, zone: ZoneState, starts: Collection[int]) -> None:
        wait = min(self.rules.wait_us << min(max(zone.relapses - 1, 0), 16), self.rules.most_wait_us)
        started = sum(at > zone.since for at in starts)
        if zone.relapses <= 1 and started >= max(1.0, self.rules.answers * len(starts)):
            self._change(now, zone, ZoneStage.TRYING, 0.0, f"the list says that {started} nodes started")
        elif now >= zone.since + wait:
            self._change(now, zone, ZoneStage.TRYING, 0.0, f"after {zone.relapses} failures")
        else:
            return
        zone.trial_round += 1

    def _update_trying(self, now: int, zone: ZoneState, summary: ZoneSummary, heads: int) -> None:
        rules = self.rules
        if (
            summary.responding
            and 1 - summary.silent_share >= rules.answers
            and now >= zone.since + rules.gone_us
        ):
            # The heads that made trials continue.
            first = min(1.0, max(rules.first, rules.tries / max(1, heads)))
            self._change(now, zone, ZoneStage.RETURNING, first, f"{summary.responding} nodes answer")
            zone.stepped_at = zone.returned_at = now
        elif now >= zone.since + rules.turn_us:
            zone.since = now
            zone.trial_round += 1
        elif (
            not summary.responding + summary.silent
            and now >= max(zone.since, zone.stepped_at) + rules.step_us
        ):
            # No head sent requests there: with low traffic more heads have to make trials.
            zone.stepped_at = now
            zone.share = min(rules.first, max(2 * zone.share, rules.tries / max(1, heads)))

    def _update_returning(self, now: int, zone: ZoneState, summary: ZoneSummary, fails: bool) -> None:
        rules = self.rules
        if fails:
            self._leave(
                now, zone, f"again {summary.silent} of {summary.responding + summary.silent} nodes silent"
            )
        elif now >= zone.stepped_at + rules.step_us:
            zone.stepped_at = now
            if summary.silent_share >= rules.hurts:
                zone.share = max(rules.first / 2, zone.share / 2)
            elif zone.share >= 1.0:
                self._change(now, zone, ZoneStage.IN, 1.0, "all heads use it")
            else:
                zone.share = min(1.0, zone.share * rules.growth)

    def _change(self, now: int, zone: ZoneState, stage: ZoneStage, share: float, why: str) -> None:
        zone.stage, zone.since, zone.share, zone.reason = stage, now, share, why
        if stage is ZoneStage.OUT:
            zone.left_at = now

    def decisions(self, now: int) -> tuple[ZoneDecision, ...]:
        """Return the decision on every zone that is not fully in use."""
        return tuple(
            ZoneDecision(name, zone.stage, zone.share, zone.trial_round, zone.reason,
                 now - zone.since if zone.stage is ZoneStage.RETURNING else 0, zone.operator_hold == "out",
                 now - zone.left_at)
            for name, zone in sorted(self.zones.items()) if zone.stage is not ZoneStage.IN
        )  # fmt: skip
