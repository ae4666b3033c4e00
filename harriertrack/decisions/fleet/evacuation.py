"""The fleet's word on each zone: used, out, tried by a few, or used again by ever more heads.

One head decides, from what all of them see; who that is, and that there is one at most, is the business of
the terms (terms.py). What it tells apart:

- a zone that failed: nearly all nodes there, as all heads together see them, answer nothing;
- a head that is cut off itself: nothing answers it anywhere, and its word does not count;
- one bad node, lost answers everywhere, a slow or overloaded zone: most nodes there answer something;
- heads that see a zone differently: it stays, and each head helps itself, as without a word;
- what is everywhere: if all zones fail at once none is left, and the last one never is.

A zone that is out is tried by a few heads for all, and comes back head by head, each treating its nodes as
just started; it steps back when it hurts, and waits longer after each relapse. Pure.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from enum import Enum
from zlib import crc32

from harriertrack.decisions.fleet.evidence import Sight
from harriertrack.decisions.fleet.terms import rank
from harriertrack.decisions.interface import NodeEntry, NodeState

WHOLE = 1 << 32  # of a checksum


class Stage(Enum):
    """What a zone is to the fleet."""

    IN = "in"
    OUT = "out"
    TRYING = "trying"
    RETURNING = "returning"


@dataclass(frozen=True, slots=True)
class ZoneRules:
    """The figures."""

    gone: float = 0.8  # of the nodes that are asked answer nothing
    gone_us: int = 300_000  # for so long
    fresh_us: int = 1_500_000  # what a head said before counts no more
    heads: int = 2  # that must see it, where there are as many
    wait_us: int = 1_000_000  # from out to the first tries; doubles with each relapse
    most_wait_us: int = 60_000_000
    tries: int = 3  # heads that try
    turn_us: int = 3_000_000  # after which others do
    answers: float = 0.7  # of what is tried, for a return to begin
    first: float = 0.1  # share of the heads that return first
    growth: float = 1.6
    step_us: int = 1_000_000
    hurts: float = 0.2  # silent nodes, for a step back
    calm_us: int = 120_000_000  # in use for so long, a zone's relapses are forgotten
    told_us: int = 3_000_000  # how long a word holds after it was heard last


@dataclass(frozen=True, slots=True)
class Word:
    """The fleet's word on one zone; `turn` says who tries."""

    zone: str
    stage: Stage
    share: float
    turn: int
    why: str = ""


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
            self.zones[word.zone] = Zone(word.stage, now, word.share, word.turn, 1 if word.share < 1 else 0,
                                         stepped_at=now, why=word.why)  # fmt: skip

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
                found[sight.zone] = Sum(one.good + sight.good, one.bad + sight.bad, one.heads + 1)
        return found

    def decide(self, now: int, zones: Iterable[str], heads: int) -> None:
        """Look at every zone."""
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
                    self._in(now, zone, name in failing and not everywhere, seen)
                case Stage.OUT:
                    wait = self.rules.wait_us << min(max(zone.relapses - 1, 0), 16)
                    if now >= zone.since + min(wait, self.rules.most_wait_us):
                        self._change(now, zone, Stage.TRYING, 0.0, f"after {zone.relapses} failures")
                        zone.turn += 1
                case Stage.TRYING:
                    self._trying(now, zone, seen)
                case Stage.RETURNING:
                    self._returning(now, zone, seen, needed)

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
        zone.relapses += 1
        zone.gone_since = None
        self._change(now, zone, Stage.OUT, 0.0, why)

    def _trying(self, now: int, zone: Zone, seen: Sum) -> None:
        rules = self.rules
        if seen.good and 1 - seen.silent >= rules.answers and now >= zone.since + rules.gone_us:
            self._change(now, zone, Stage.RETURNING, rules.first, f"{seen.good} nodes answer")
            zone.stepped_at = now
        elif now >= zone.since + rules.turn_us:
            zone.since = now
            zone.turn += 1

    def _returning(self, now: int, zone: Zone, seen: Sum, needed: int) -> None:
        rules = self.rules
        if seen.silent >= rules.gone and seen.heads >= needed:
            self._leave(now, zone, f"again {seen.bad} of {seen.good + seen.bad} nodes silent")
        elif now >= zone.stepped_at + rules.step_us:
            zone.stepped_at = now
            if seen.silent >= rules.hurts:
                zone.share = max(rules.first / 2, zone.share / 2)
            else:
                zone.share = min(1.0, zone.share * rules.growth)
            if zone.share >= 1.0:
                self._change(now, zone, Stage.IN, 1.0, "all heads use it")

    def _change(self, now: int, zone: Zone, stage: Stage, share: float, why: str) -> None:
        zone.stage, zone.since, zone.share, zone.why = stage, now, share, why

    def words(self) -> tuple[Word, ...]:
        """Return the word on every zone that is not simply in use."""
        return tuple(
            Word(name, zone.stage, zone.share, zone.turn, zone.why)
            for name, zone in sorted(self.zones.items()) if zone.stage is not Stage.IN
        )  # fmt: skip


def uses(word: Word, me: str, present: Iterable[str], tries: int) -> bool:
    """Whether a head uses a zone under a word, so that all heads together keep to it."""
    if word.stage is Stage.IN:
        return True
    if word.stage is Stage.OUT:
        return False
    if word.stage is Stage.RETURNING:
        return crc32(f"{word.zone}\0{me}".encode()) < word.share * WHOLE
    return rank(f"{word.zone}\0{word.turn}", me, present) < tries


class Overlay:
    """The list as one head's module is told it: nodes of zones that it does not use are gone for it."""

    def __init__(self) -> None:
        self._unused: set[str] = set()
        self._again: dict[str, int] = {}  # zones that are used again, and since when

    def follow(self, now: int, words: Iterable[Word], me: str, present: Iterable[str], tries: int) -> bool:
        """Take the words that hold now; return whether the list is to be told anew."""
        names = list(present)
        unused = {word.zone for word in words if not uses(word, me, names, tries)}
        if unused == self._unused:
            return False
        self._again = {zone: at for zone, at in self._again.items() if zone not in unused}
        self._again.update(dict.fromkeys(self._unused - unused, now))
        self._unused = unused
        return True

    @property
    def unused(self) -> frozenset[str]:
        """Return the zones that this head does not use."""
        return frozenset(self._unused)

    def shown(self, entry: NodeEntry) -> NodeEntry:
        """Return an entry as the module is told it; a node that is used again counts as just started."""
        if entry.zone in self._unused and entry.state is NodeState.UP:
            return NodeEntry(entry.node, entry.shard, NodeState.GONE, entry.zone, entry.started_us)
        started = max(entry.started_us, self._again.get(entry.zone, 0))
        if started != entry.started_us and entry.state is NodeState.UP:
            return NodeEntry(entry.node, entry.shard, entry.state, entry.zone, started)
        return entry
