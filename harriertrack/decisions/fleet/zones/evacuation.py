"""The fleet's word on each zone: used, out, tried by a few, or used again by ever more heads.

One head decides, from what all of them see; who that is, and that there is one at most, is the business of
the terms (terms.py). What it tells apart:

- a zone that failed: nearly all nodes there, as all heads together see them, answer nothing;
- a head that is cut off itself: nothing answers it anywhere, and its word does not count;
- one bad node, lost answers everywhere, a slow or overloaded zone: most nodes there answer something;
- heads that see a zone differently: it stays, and each head helps itself, as without a word;
- a zone that still serves more than is lost there (cost.py): leaving it would cost more than it saves;
- what is everywhere: if all zones fail at once none is left, and the last one never is.

A zone that is out is tried by a few heads for all, and comes back head by head, each treating its nodes as
just started; it steps back when it hurts, and waits longer after each relapse. Pure.
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
    """A zone, as who decides holds it."""

    stage: ZoneStage = ZoneStage.IN
    since: int = 0
    share: float = 1.0
    trial_round: int = 0
    relapses: int = 0
    failed_since: int | None = None
    stepped_at: int = 0
    left_at: int = 0
    returned_at: int = 0  # when its latest return began
    reason: str = ""
    operator_hold: str = ""  # an operator's: "out", or "in" for no automatic leaving


@dataclass(slots=True)
class _Seen:
    at: int
    sights: tuple[ZoneObservation, ...]


@dataclass(frozen=True, slots=True)
class ZoneSummary:
    """What all heads that count see of a zone."""

    responding: int = 0
    silent: int = 0
    heads: int = 0
    load: Load = Load()

    @property
    def silent_share(self) -> float:
        """Return which part of the nodes asked answer nothing."""
        return self.silent / (self.responding + self.silent) if self.responding + self.silent else 0.0


class Evacuation:
    """Decides on all zones, while its head may."""

    def __init__(self, rules: ZoneRules) -> None:
        self.rules = rules
        self.zones: dict[str, ZoneState] = {}
        self._seen: dict[str, _Seen] = {}

    def record_report(self, now: int, head: str, sights: tuple[ZoneObservation, ...]) -> None:
        """A head says what it sees."""
        self._seen[head] = _Seen(now, sights)

    def resume(self, now: int, words: Iterable[ZoneDecision]) -> None:
        """Go on from what the one who decided before said last."""
        for word in words:
            back_at = now - word.warm_us
            self.zones[word.zone] = ZoneState(
                word.stage, back_at, word.share, word.trial_round, relapses=1, stepped_at=now,
                left_at=now - word.left_us, returned_at=back_at, reason=word.reason,
            )  # fmt: skip

    def apply_holds(self, now: int, wishes: Mapping[str, str]) -> None:
        """Take what operators wish: zone to "out", "in" (never left by itself), or "" for no wish.

        The last zone that is in use is not left by a wish either, as long as it is that.
        """
        for name, wish in wishes.items():
            zone = self.zones.get(name)
            if zone is None or zone.operator_hold == wish or (wish == "out" and not self._others(zone)):
                continue
            before, zone.operator_hold = zone.operator_hold, wish
            if wish == "out":
                self._change(now, zone, ZoneStage.OUT, 0.0, "an operator's wish")
            elif before == "out":
                self._change(now, zone, ZoneStage.TRYING, 0.0, "an operator's wish to return")
                zone.trial_round += 1
            elif wish == "in" and zone.stage is not ZoneStage.IN:
                self._change(now, zone, ZoneStage.IN, 1.0, "an operator's wish")

    def summarize(self, now: int) -> dict[str, ZoneSummary]:
        """Return what is seen of each zone by the heads that are not cut off themselves."""
        found: dict[str, ZoneSummary] = {}
        for head, seen in list(self._seen.items()):
            if seen.at < now - self.rules.fresh_us:
                del self._seen[head]
                continue
            if not any(sight.responding for sight in seen.sights) and len(seen.sights) != 1:
                continue  # nothing answers it anywhere
            for sight in seen.sights:
                one = found.get(sight.zone, ZoneSummary())
                found[sight.zone] = ZoneSummary(one.responding + sight.responding, one.silent + sight.silent,
                                                one.heads + 1, one.load + sight)  # fmt: skip
        return found

    def cost(self, name: str, sums: Mapping[str, ZoneSummary]) -> Cost:
        """Return what leaving a zone costs, as it is with the others now."""
        others = (
            other for other, zone in self.zones.items() if other != name and zone.stage is ZoneStage.IN
            and sums.get(other, ZoneSummary()).silent_share < self.rules.gone
        )  # fmt: skip
        return leaving_cost(
            sums.get(name, ZoneSummary()).load, [sums.get(other, ZoneSummary()).load for other in others]
        )

    def decide(self, now: int, zones: Iterable[str], heads: int,
               starts: Mapping[str, Collection[int]] = MappingProxyType({})) -> None:  # fmt: skip
        """Look at every zone; `starts`: when its nodes started, as the list says."""
        sums = self.summarize(now)
        known = {name: sums.get(name, ZoneSummary()) for name in zones}
        for name in known:
            self.zones.setdefault(name, ZoneState(since=now))
        needed = min(self.rules.heads, max(1, heads))
        failing = {
            name
            for name, seen in known.items()
            if seen.silent_share >= self.rules.gone and seen.heads >= needed
        }
        everywhere = len(failing) == len(known)
        for name, seen in known.items():
            zone = self.zones[name]
            if zone.operator_hold == "out":
                continue
            match zone.stage:
                case ZoneStage.IN:
                    fails = name in failing and not everywhere and self.cost(name, sums).worthwhile
                    self._in(now, zone, fails, seen)
                case ZoneStage.OUT:
                    self._out(now, zone, starts.get(name, ()))
                case ZoneStage.TRYING:
                    self._trying(now, zone, seen, heads)
                case ZoneStage.RETURNING:
                    self._returning(now, zone, seen, name in failing and self.cost(name, sums).worthwhile)

    def _others(self, zone: ZoneState) -> bool:
        return any(one is not zone and one.stage is ZoneStage.IN for one in self.zones.values())

    def _in(self, now: int, zone: ZoneState, fails: bool, seen: ZoneSummary) -> None:
        if not fails:
            zone.failed_since = None
            if zone.relapses and now >= zone.since + self.rules.calm_us:
                zone.relapses = 0
            return
        if zone.failed_since is None:
            zone.failed_since = now
        if now >= zone.failed_since + self.rules.gone_us and self._others(zone) and not zone.operator_hold:
            self._leave(
                now,
                zone,
                f"{seen.silent} of {seen.responding + seen.silent} nodes silent, {seen.heads} heads",
            )

    def _leave(self, now: int, zone: ZoneState, why: str) -> None:
        # A use that was longer than the time out before it was worth it: the next wait is the shortest again.
        paid = now - zone.returned_at >= zone.returned_at - zone.left_at
        zone.relapses = 1 if paid else zone.relapses + 1
        zone.failed_since = None
        self._change(now, zone, ZoneStage.OUT, 0.0, why)

    def _out(self, now: int, zone: ZoneState, starts: Collection[int]) -> None:
        wait = min(self.rules.wait_us << min(max(zone.relapses - 1, 0), 16), self.rules.most_wait_us)
        started = sum(at > zone.since for at in starts)
        if zone.relapses <= 1 and started >= max(1.0, self.rules.answers * len(starts)):
            self._change(now, zone, ZoneStage.TRYING, 0.0, f"the list says that {started} nodes started")
        elif now >= zone.since + wait:
            self._change(now, zone, ZoneStage.TRYING, 0.0, f"after {zone.relapses} failures")
        else:
            return
        zone.trial_round += 1

    def _trying(self, now: int, zone: ZoneState, seen: ZoneSummary, heads: int) -> None:
        rules = self.rules
        if seen.responding and 1 - seen.silent_share >= rules.answers and now >= zone.since + rules.gone_us:
            first = min(1.0, max(rules.first, rules.tries / max(1, heads)))  # who tries goes on
            self._change(now, zone, ZoneStage.RETURNING, first, f"{seen.responding} nodes answer")
            zone.stepped_at = zone.returned_at = now
        elif now >= zone.since + rules.turn_us:
            zone.since = now
            zone.trial_round += 1
        elif not seen.responding + seen.silent and now >= max(zone.since, zone.stepped_at) + rules.step_us:
            # Nobody has asked there: of heads that ask seldom it takes more to try.
            zone.stepped_at = now
            zone.share = min(rules.first, max(2 * zone.share, rules.tries / max(1, heads)))

    def _returning(self, now: int, zone: ZoneState, seen: ZoneSummary, fails: bool) -> None:
        rules = self.rules
        if fails:
            self._leave(now, zone, f"again {seen.silent} of {seen.responding + seen.silent} nodes silent")
        elif now >= zone.stepped_at + rules.step_us:
            zone.stepped_at = now
            if seen.silent_share >= rules.hurts:
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
        """Return the word on every zone that is not simply in use."""
        return tuple(
            ZoneDecision(name, zone.stage, zone.share, zone.trial_round, zone.reason,
                 now - zone.since if zone.stage is ZoneStage.RETURNING else 0, zone.operator_hold == "out",
                 now - zone.left_at)
            for name, zone in sorted(self.zones.items()) if zone.stage is not ZoneStage.IN
        )  # fmt: skip
