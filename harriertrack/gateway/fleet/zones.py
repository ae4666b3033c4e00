"""A head's part in leaving zones and returning together, on the hub.

What it sees goes to who decides, in a term as those of the budgets' ledgers; that one's word comes back, and
shows in the list that the module is told. Decided is all of it in decisions/fleet (`Evidence`, `Evacuation`,
`Overlay`).
"""

from __future__ import annotations

from collections.abc import Iterable
from urllib.parse import quote

from harriertrack.config.settings import FleetSettings, ZonesSettings
from harriertrack.decisions.fleet.budgets import Term
from harriertrack.decisions.fleet.zones.cost import Cost
from harriertrack.decisions.fleet.zones.evacuation import Evacuation
from harriertrack.decisions.fleet.zones.evidence import Evidence
from harriertrack.decisions.fleet.zones.overlay import Overlay
from harriertrack.decisions.fleet.zones.zone_decision import ZoneDecision, ZoneRules, valid_decisions
from harriertrack.decisions.interface import NodeEntry, NodeState
from harriertrack.gateway.fleet.decider import FleetDecider
from harriertrack.gateway.fleet.parameters import parameters_from
from harriertrack.gateway.listing import Listing
from harriertrack.gateway.parts import HeadParts
from harriertrack.gateway.witness import FAILURES, WitnessClient
from harriertrack.membership.fleet.messages import Record
from harriertrack.membership.fleet.status_document import ZoneLeaveCost, ZonesStatus, ZoneStatus
from harriertrack.membership.fleet.swim import Swim
from harriertrack.membership.fleet.topic_datagrams import ZoneDecisions, ZoneObservations

LOOK_US = 100_000
TELL_US = 500_000  # what is seen is told so often, and each 100 ms while something is wrong
WORD_US = 1_000_000  # the word is told so often, and at once when it changes
WISH_US = 2_000_000  # operators' wishes are looked for so often
PATH = "/v1/kv/harriertrack/zones"  # at the witness: what operators wish, a key for each zone


def read_operator_hold(witness: WitnessClient, zone: str) -> str:
    """Return what operators wish of a zone: "out", "in" or "". Raises what calls raise."""
    key = witness.key(f"{PATH}/{quote(zone, safe='')}")
    wish = key.value.decode("utf-8", "replace") if key is not None else ""
    return wish if wish in ("out", "in") else ""


def write_operator_hold(witness: WitnessClient, zone: str, wish: str) -> None:
    """Wish a zone "out" or "in"; "" takes the wish back. A key for each: two operators do not collide."""
    witness.put(f"{PATH}/{quote(zone, safe='')}", wish.encode())


def rules_of(settings: ZonesSettings) -> ZoneRules:
    """Return the figures."""
    return parameters_from(ZoneRules, settings)


def _said(words: Iterable[ZoneDecision]) -> list[tuple[object, ...]]:
    """Return what of words is news when it changes."""
    return [(word.zone, word.stage, word.share, word.trial_round) for word in words]


def _leaving_told(cost: Cost) -> ZoneLeaveCost:
    halves = (cost.pinned + cost.movable, cost.pinned, cost.movable, cost.reserved, cost.spare, cost.absorbed,
              cost.absorbed_reserved, cost.refused)  # fmt: skip
    return ZoneLeaveCost(*(2.0 * one for one in halves))  # counted is in half a second


class Zones:
    """This head's part."""

    def __init__(self, parts: HeadParts, fleet: FleetSettings, settings: ZonesSettings, evidence: Evidence,
                 listing: Listing, swim: Swim, deciding: FleetDecider) -> None:  # fmt: skip
        self._parts, self._hub, self._rules = parts, parts.hub, rules_of(settings)
        self._evidence, self._listing, self._swim, self._deciding = evidence, listing, swim, deciding
        self._overlay = Overlay()
        self._zones: list[str] = []
        self._starts: dict[str, list[int]] = {}  # by zone: when its nodes started, as the list says
        self._words: tuple[ZoneDecision, ...] = ()
        self._heard_at = self._said_at = self._told_at = self._wished_at = 0
        self._heard_in: Term | None = None  # the term of these words
        self._greets = any(seed.name == fleet.name for seed in fleet.seeds)
        self._term: Term | None = None  # in which this head decides
        self._decides: Evacuation | None = None
        self._wishes: dict[str, str] = {}
        listing.on_source_update, listing.overlay = self._listed, self._overlay.visible_entry
        deciding.on_zone_report, deciding.on_zone_decisions = self.handle_report, self.handle_decisions

    def start(self) -> None:
        """Take part from now on."""
        self._parts.scope.spawn("zones", self._run)
        self._parts.scope.spawn("zones' wishes", self._follow_wishes)

    def reconfigure(self, settings: ZonesSettings) -> None:
        """Go by other figures from now on, also as who decides."""
        self._rules = rules_of(settings)
        if self._decides is not None:
            self._decides.rules = self._rules

    def _listed(self, entries: list[NodeEntry]) -> None:
        self._evidence.set_nodes(entries)
        self._starts = {}
        for entry in entries:
            starts = self._starts.setdefault(entry.zone, [])
            if entry.state is NodeState.UP:
                starts.append(entry.started_us)
        self._zones = sorted(self._starts)

    def _run(self) -> None:
        while True:
            self._look(self._hub.now())
            self._hub.sleep(LOOK_US)

    def _look(self, now: int) -> None:
        sights = self._evidence.report(now)
        keeps = self._deciding.deciding_term(now)
        self._decide(now, keeps)
        if keeps is not None and self._decides is not None:
            self._decides.record_report(now, self._swim.me.name, sights)
        elif sights and (any(one.silent for one in sights) or now >= self._said_at + TELL_US):
            self._said_at = now
            self._deciding.send_to_decider(ZoneObservations(self._swim.me.name, sights))
        if (held := valid_decisions(self._words, now - self._heard_at, self._rules.told_us)) != self._words:
            self._parts.note("fleet zones: no word any more")
            self._words = held
        self._show(now)

    def _decide(self, now: int, term: Term | None) -> None:
        """Decide if this is the head that does; begin anew with each term."""
        if term is None:
            self._term = self._decides = None
            return
        if term != self._term or self._decides is None:
            self._term, self._decides = term, Evacuation(self._rules)
            self._decides.resume(now, self._words)
        decides, before = self._decides, self._words
        self._decides.apply_holds(now, self._wishes)
        decides.decide(now, self._zones, len(self._swim.view.present), self._starts)
        words = decides.decisions(now)
        self._heard(now, term, words)
        if _said(words) != _said(before) or now >= self._told_at + WORD_US:
            self._told_at = now
            self._deciding.broadcast(ZoneDecisions(term, words))

    def handle_report(self, now: int, seen: ZoneObservations) -> None:
        """Another head says what it sees."""
        if self._decides is not None:
            self._decides.record_report(now, seen.head, seen.observations)

    def handle_decisions(self, now: int, told: ZoneDecisions) -> None:
        """The word of the one who decides."""
        if self._deciding.accept_term(now, told.term):
            self._heard(now, told.term, told.decisions)
            self._show(now)

    def send_decisions_to(self, record: Record) -> None:
        """Tell the words to a head that has just started, before it tries what is out: it asked a seed first.

        It hears them a moment after it said that it is there; nobody else hears of it as soon as seeds do.
        """
        if self._words and self._heard_in is not None and (self._greets or self._decides is not None):
            self._deciding.send(record.address, ZoneDecisions(self._heard_in, self._words))

    def _heard(self, now: int, term: Term, words: tuple[ZoneDecision, ...]) -> None:
        self._heard_at, self._heard_in = now, term
        known = {word.zone: word for word in self._words}
        for word in words:
            if (before := known.pop(word.zone, None)) is None or before.stage is not word.stage:
                self._parts.note("fleet zone", zone=word.zone, stage=word.stage.value, why=word.reason)
        for zone in known:
            self._parts.note("fleet zone", zone=zone, stage="in", why="")
        self._words = words

    def _show(self, now: int) -> None:
        names = list(self._swim.view.present)
        before = self._overlay.unused_zones
        reached = self._evidence.reachable_zones(now, self._rules.answers) if self._words else ()
        if self._overlay.apply_decisions(
            now, self._words, self._swim.me.name, names, self._rules.tries, reached
        ):
            unused = self._overlay.unused_zones
            under = {word.zone for word in self._words}
            for zone in sorted(before ^ unused):
                # The last step of a return is that there is no word any more.
                word = zone in under or now < self._heard_at + WORD_US
                self._evidence.forget_zone(zone)
                self._parts.note("zone used" if zone in before else "zone unused", zone=zone,
                                 unused=len(unused), zones=len(self._zones), word=word)  # fmt: skip
            self._listing.republish()

    # -- operators

    def _follow_wishes(self) -> None:
        """Look what operators wish, while this head decides (a task)."""
        while True:
            self._hub.sleep(WISH_US)
            if self._decides is None:
                continue
            try:
                fresh = {zone: read_operator_hold(self._deciding.witness, zone) for zone in self._zones}
            except FAILURES:
                continue  # what was wished last holds
            for zone, wish in fresh.items():
                if wish != self._wishes.get(zone, ""):
                    self._parts.note("fleet zone wish", zone=zone, wish=wish or "none")
            self._wishes = fresh

    def document(self, now: int) -> ZonesStatus:
        """Return what this head tells of zones."""
        words = {word.zone: word for word in self._words}
        sights = {sight.zone: sight for sight in self._evidence.report(now)}
        sums = self._decides.summarize(now) if self._decides is not None else {}
        told = []
        for zone in self._zones:
            word, sight, whole = words.get(zone), sights.get(zone), sums.get(zone)
            told.append(
                ZoneStatus(
                    zone, word.stage.value if word is not None else "in",
                    word.share if word is not None else 1.0,
                    zone not in self._overlay.unused_zones,
                    word.reason if word is not None else "",
                    sight.responding if sight is not None else 0, sight.silent if sight is not None else 0,
                    whole.responding if whole is not None else None,
                    whole.silent if whole is not None else None,
                    whole.heads if whole is not None else None, self._wishes.get(zone, ""),
                    _leaving_told(self._decides.cost(zone, sums)) if self._decides is not None else None,
                )
            )  # fmt: skip
        heard_s = max(0, now - self._heard_at) / 1e6 if self._heard_at else None
        keeper = self._deciding.decider_address
        decider = f"{keeper[0]}:{keeper[1]}" if keeper is not None and self._decides is None else ""
        return ZonesStatus(self._decides is not None, heard_s, told, decider)
