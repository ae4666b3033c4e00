"""The fleet's word on each zone: used, out, tried by a few, or used again by ever more heads.

One head decides, from what all of them see; who that is, and that there is one at most, is the business of
the terms (terms.py). What it tells apart:

- a zone that failed: nearly all nodes there, as all heads together see them, answer nothing;
- a head that is cut off itself: nothing answers it anywhere, and its word does not count;
- one bad node, lost answers everywhere, a slow or overloaded zone: most nodes there answer something;
- heads that see a zone differently: it stays, and each head helps itself, as without a word;
- a zone that still serves more than is lost there (bearing.py): leaving it would cost more than it saves;
- what is everywhere: if all zones fail at once none is left, and the last one never is.

A zone that is out is tried by a few heads for all, and comes back head by head, each treating its nodes as
just started; it steps back when it hurts, and waits longer after each relapse. Pure.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass
from types import MappingProxyType

from harriertrack.decisions.fleet.zones.bearing import Cost, Load, cost_of
from harriertrack.decisions.fleet.zones.evidence import Sight
from harriertrack.decisions.fleet.zones.words import Stage, Word, ZoneRules


@dataclass(slots=True, eq=False)
class Zone:
    """A zone, as who decides holds it."""

    stage: Stage = Stage.IN
    since: int = 0
    share: float = 1.0
    turn: int = 0
    relapses: int = 0
    gone_since: int | None = None
    stepped_at: int = 0
    left_at: int = 0
    back_at: int = 0  # when its latest return began
    why: str = ""
    held: str = ""  # an operator's: "out", or "in" for no automatic leaving


@dataclass(slots=True)
class _Seen:
    at: int
    sights: tuple[Sight, ...]


@dataclass(frozen=True, slots=True)
class Sum:
    """What all heads that count see of a zone."""

    good: int = 0
    bad: int = 0
    heads: int = 0
    load: Load = Load()

    @property
    def silent(self) -> float:
        """Return which part of the nodes asked answer nothing."""
        return self.bad / (self.good + self.bad) if self.good + self.bad else 0.0


class Evacuation:
    """Decides on all zones, while its head may."""

    def __init__(self, rules: ZoneRules) -> None:
        self.rules = rules
        self.zones: dict[str, Zone] = {}
        self._seen: dict[str, _Seen] = {}

    def saw(self, now: int, head: str, sights: tuple[Sight, ...]) -> None:
        """A head says what it sees."""
        self._seen[head] = _Seen(now, sights)

    def take_up(self, now: int, words: Iterable[Word]) -> None:
        """Go on from what the one who decided before said last."""
        for word in words:
            back_at = now - word.warm_us
            self.zones[word.zone] = Zone(
                word.stage, back_at, word.share, word.turn, relapses=1, stepped_at=now,
                left_at=now - word.left_us, back_at=back_at, why=word.why,
            )  # fmt: skip

    def hold(self, now: int, wishes: Mapping[str, str]) -> None:
        """Take what operators wish: zone to "out", "in" (never left by itself), or "" for no wish.

        The last zone that is in use is not left by a wish either, as long as it is that.
        """
        for name, wish in wishes.items():
            zone = self.zones.get(name)
            if zone is None or zone.held == wish or (wish == "out" and not self._others(zone)):
                continue
            before, zone.held = zone.held, wish
            if wish == "out":
                self._change(now, zone, Stage.OUT, 0.0, "an operator's wish")
            elif before == "out":
                self._change(now, zone, Stage.TRYING, 0.0, "an operator's wish to return")
                zone.turn += 1
            elif wish == "in" and zone.stage is not Stage.IN:
                self._change(now, zone, Stage.IN, 1.0, "an operator's wish")

    def sums(self, now: int) -> dict[str, Sum]:
        """Return what is seen of each zone by the heads that are not cut off themselves."""
        found: dict[str, Sum] = {}
        for head, seen in list(self._seen.items()):
            if seen.at < now - self.rules.fresh_us:
                del self._seen[head]
                continue
            if not any(sight.good for sight in seen.sights) and len(seen.sights) != 1:
                continue  # nothing answers it anywhere
            for sight in seen.sights:
                one = found.get(sight.zone, Sum())
                found[sight.zone] = Sum(one.good + sight.good, one.bad + sight.bad, one.heads + 1,
                                        one.load + sight)  # fmt: skip
        return found

    def cost(self, name: str, sums: Mapping[str, Sum]) -> Cost:
        """Return what leaving a zone costs, as it is with the others now."""
        others = (
            other for other, zone in self.zones.items() if other != name and zone.stage is Stage.IN
            and sums.get(other, Sum()).silent < self.rules.gone
        )  # fmt: skip
        return cost_of(sums.get(name, Sum()).load, [sums.get(other, Sum()).load for other in others])

    def decide(self, now: int, zones: Iterable[str], heads: int,
               starts: Mapping[str, Collection[int]] = MappingProxyType({})) -> None:  # fmt: skip
        """Look at every zone; `starts`: when its nodes started, as the list says."""
        sums = self.sums(now)
        known = {name: sums.get(name, Sum()) for name in zones}
        for name in known:
            self.zones.setdefault(name, Zone(since=now))
        needed = min(self.rules.heads, max(1, heads))
        failing = {
            name for name, seen in known.items() if seen.silent >= self.rules.gone and seen.heads >= needed
        }
        everywhere = len(failing) == len(known)
        for name, seen in known.items():
            zone = self.zones[name]
            if zone.held == "out":
                continue
            match zone.stage:
                case Stage.IN:
                    fails = name in failing and not everywhere and self.cost(name, sums).worth
                    self._in(now, zone, fails, seen)
                case Stage.OUT:
                    self._out(now, zone, starts.get(name, ()))
                case Stage.TRYING:
                    self._trying(now, zone, seen, heads)
                case Stage.RETURNING:
                    self._returning(now, zone, seen, name in failing and self.cost(name, sums).worth)

    def _others(self, zone: Zone) -> bool:
        return any(one is not zone and one.stage is Stage.IN for one in self.zones.values())

    def _in(self, now: int, zone: Zone, fails: bool, seen: Sum) -> None:
        if not fails:
            zone.gone_since = None
            if zone.relapses and now >= zone.since + self.rules.calm_us:
                zone.relapses = 0
            return
        if zone.gone_since is None:
            zone.gone_since = now
        if now >= zone.gone_since + self.rules.gone_us and self._others(zone) and not zone.held:
            self._leave(now, zone, f"{seen.bad} of {seen.good + seen.bad} nodes silent, {seen.heads} heads")

    def _leave(self, now: int, zone: Zone, why: str) -> None:
        # A use that was longer than the time out before it was worth it: the next wait is the shortest again.
        paid = now - zone.back_at >= zone.back_at - zone.left_at
        zone.relapses = 1 if paid else zone.relapses + 1
        zone.gone_since = None
        self._change(now, zone, Stage.OUT, 0.0, why)

    def _out(self, now: int, zone: Zone, starts: Collection[int]) -> None:
        wait = min(self.rules.wait_us << min(max(zone.relapses - 1, 0), 16), self.rules.most_wait_us)
        started = sum(at > zone.since for at in starts)
        if zone.relapses <= 1 and started >= max(1.0, self.rules.answers * len(starts)):
            self._change(now, zone, Stage.TRYING, 0.0, f"the list says that {started} nodes started")
        elif now >= zone.since + wait:
            self._change(now, zone, Stage.TRYING, 0.0, f"after {zone.relapses} failures")
        else:
            return
        zone.turn += 1

    def _trying(self, now: int, zone: Zone, seen: Sum, heads: int) -> None:
        rules = self.rules
        if seen.good and 1 - seen.silent >= rules.answers and now >= zone.since + rules.gone_us:
            first = min(1.0, max(rules.first, rules.tries / max(1, heads)))  # who tries goes on
            self._change(now, zone, Stage.RETURNING, first, f"{seen.good} nodes answer")
            zone.stepped_at = zone.back_at = now
        elif now >= zone.since + rules.turn_us:
            zone.since = now
            zone.turn += 1
        elif not seen.good + seen.bad and now >= max(zone.since, zone.stepped_at) + rules.step_us:
            # Nobody has asked there: of heads that ask seldom it takes more to try.
            zone.stepped_at = now
            zone.share = min(rules.first, max(2 * zone.share, rules.tries / max(1, heads)))

    def _returning(self, now: int, zone: Zone, seen: Sum, fails: bool) -> None:
        rules = self.rules
        if fails:
            self._leave(now, zone, f"again {seen.bad} of {seen.good + seen.bad} nodes silent")
        elif now >= zone.stepped_at + rules.step_us:
            zone.stepped_at = now
            if seen.silent >= rules.hurts:
                zone.share = max(rules.first / 2, zone.share / 2)
            elif zone.share >= 1.0:
                self._change(now, zone, Stage.IN, 1.0, "all heads use it")
            else:
                zone.share = min(1.0, zone.share * rules.growth)

    def _change(self, now: int, zone: Zone, stage: Stage, share: float, why: str) -> None:
        zone.stage, zone.since, zone.share, zone.why = stage, now, share, why
        if stage is Stage.OUT:
            zone.left_at = now

    def words(self, now: int) -> tuple[Word, ...]:
        """Return the word on every zone that is not simply in use."""
        return tuple(
            Word(name, zone.stage, zone.share, zone.turn, zone.why,
                 now - zone.since if zone.stage is Stage.RETURNING else 0, zone.held == "out",
                 now - zone.left_at)
            for name, zone in sorted(self.zones.items()) if zone.stage is not Stage.IN
        )  # fmt: skip
