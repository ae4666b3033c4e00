"""Fleet-wide evacuation of zones and return to them, on one head.

Each head reports its observations to the deciding head, whose decisions come back and change the node list
that the decision module sees. The logic is in decisions/fleet (`Evidence`, `Evacuation`, `Overlay`).
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

POLL_US = 100_000
REPORT_US = 500_000  # between reports of observations; every 100 ms while a node is silent
ANNOUNCE_US = 1_000_000  # between announcements of the decisions; at once when they change
HOLDS_POLL_US = 2_000_000  # between reads of the operators' holds
PATH = "/v1/kv/harriertrack/zones"  # at the witness: the operators' holds, a key for each zone


def read_operator_hold(witness: WitnessClient, zone: str) -> str:
    """Return the operators' hold on a zone: "out", "in" or "". Raises what calls to the witness raise."""
    key = witness.key(f"{PATH}/{quote(zone, safe='')}")
    hold = key.value.decode("utf-8", "replace") if key is not None else ""
    return hold if hold in ("out", "in") else ""


def write_operator_hold(witness: WitnessClient, zone: str, hold: str) -> None:
    """Hold a zone "out" or "in"; "" removes the hold. One key per zone, so that operators do not conflict."""
    witness.put(f"{PATH}/{quote(zone, safe='')}", hold.encode())


def rules_of(settings: ZonesSettings) -> ZoneRules:
    """Return the parameters of the decisions."""
    return parameters_from(ZoneRules, settings)


def _announced_parts(decisions: Iterable[ZoneDecision]) -> list[tuple[object, ...]]:
    """Return the parts of decisions whose change is announced at once."""
    return [(decision.zone, decision.stage, decision.share, decision.trial_round) for decision in decisions]


def _leaving_status(cost: Cost) -> ZoneLeaveCost:
    halves = (cost.pinned + cost.movable, cost.pinned, cost.movable, cost.reserved, cost.spare, cost.absorbed,
              cost.absorbed_reserved, cost.refused)  # fmt: skip
    return ZoneLeaveCost(*(2.0 * one for one in halves))  # costs are counted over half a second


class Zones:
    """Reports, applies and, in its term, makes the decisions on zones."""

    def __init__(self, parts: HeadParts, fleet: FleetSettings, settings: ZonesSettings, evidence: Evidence,
                 listing: Listing, swim: Swim, decider: FleetDecider) -> None:  # fmt: skip
        self._parts, self._hub, self._rules = parts, parts.hub, rules_of(settings)
        self._evidence, self._listing, self._swim, self._decider = evidence, listing, swim, decider
        self._overlay = Overlay()
        self._zones: list[str] = []
        self._starts: dict[str, list[int]] = {}  # by zone: start times of its nodes in the node list
        self._decisions: tuple[ZoneDecision, ...] = ()
        self._received_at = self._reported_at = self._announced_at = self._holds_read_at = 0
        self._received_term: Term | None = None  # the term of these decisions
        self._is_seed = any(seed.name == fleet.name for seed in fleet.seeds)
        self._term: Term | None = None  # the term in which this head decides
        self._evacuation: Evacuation | None = None
        self._holds: dict[str, str] = {}
        listing.on_source_update, listing.overlay = self._apply_list, self._overlay.visible_entry
        decider.on_zone_report, decider.on_zone_decisions = self.handle_report, self.handle_decisions

    def start(self) -> None:
        """Start the tasks."""
        self._parts.scope.spawn("zones", self._run)
        self._parts.scope.spawn("zones' wishes", self._poll_holds)

    def reconfigure(self, settings: ZonesSettings) -> None:
        """Apply other settings, also to decisions in progress."""
        self._rules = rules_of(settings)
        if self._evacuation is not None:
            self._evacuation.rules = self._rules

    def _apply_list(self, entries: list[NodeEntry]) -> None:
        self._evidence.set_nodes(entries)
        self._starts = {}
        for entry in entries:
            starts = self._starts.setdefault(entry.zone, [])
            if entry.state is NodeState.UP:
                starts.append(entry.started_us)
        self._zones = sorted(self._starts)

    def _run(self) -> None:
        while True:
            self._poll(self._hub.now())
            self._hub.sleep(POLL_US)

    def _poll(self, now: int) -> None:
        observations = self._evidence.report(now)
        term = self._decider.deciding_term(now)
        self._decide(now, term)
        if term is not None and self._evacuation is not None:
            self._evacuation.record_report(now, self._swim.me.name, observations)
        elif observations and (
            any(one.silent for one in observations) or now >= self._reported_at + REPORT_US
        ):
            self._reported_at = now
            self._decider.send_to_decider(ZoneObservations(self._swim.me.name, observations))
        if (
            valid := valid_decisions(self._decisions, now - self._received_at, self._rules.told_us)
        ) != self._decisions:
            self._parts.note("fleet zones: no word any more")
            self._decisions = valid
        self._apply_overlay(now)

    def _decide(self, now: int, term: Term | None) -> None:
        """Decide in a term of this head, with new state in each term; announce what changed."""
        if term is None:
            self._term = self._evacuation = None
            return
        if term != self._term or self._evacuation is None:
            self._term, self._evacuation = term, Evacuation(self._rules)
            self._evacuation.resume(now, self._decisions)
        evacuation, before = self._evacuation, self._decisions
        self._evacuation.apply_holds(now, self._holds)
        evacuation.decide(now, self._zones, len(self._swim.view.present), self._starts)
        decisions = evacuation.decisions(now)
        self._accept_decisions(now, term, decisions)
        if _announced_parts(decisions) != _announced_parts(before) or now >= self._announced_at + ANNOUNCE_US:
            self._announced_at = now
            self._decider.broadcast(ZoneDecisions(term, decisions))

    def handle_report(self, now: int, seen: ZoneObservations) -> None:
        """Record another head's observations."""
        if self._evacuation is not None:
            self._evacuation.record_report(now, seen.head, seen.observations)

    def handle_decisions(self, now: int, told: ZoneDecisions) -> None:
        """Apply the deciding head's decisions."""
        if self._decider.accept_term(now, told.term):
            self._accept_decisions(now, told.term, told.decisions)
            self._apply_overlay(now)

    def send_decisions_to(self, record: Record) -> None:
        """Send the decisions to a head that has just started, before it uses a zone that is out.

        Only the deciding head and seeds send them: a new head contacts a seed first, so seeds see it join
        before all others.
        """
        if (
            self._decisions
            and self._received_term is not None
            and (self._is_seed or self._evacuation is not None)
        ):
            self._decider.send(record.address, ZoneDecisions(self._received_term, self._decisions))

    def _accept_decisions(self, now: int, term: Term, decisions: tuple[ZoneDecision, ...]) -> None:
        self._received_at, self._received_term = now, term
        known = {decision.zone: decision for decision in self._decisions}
        for decision in decisions:
            if (before := known.pop(decision.zone, None)) is None or before.stage is not decision.stage:
                self._parts.note(
                    "fleet zone", zone=decision.zone, stage=decision.stage.value, why=decision.reason
                )
        for zone in known:
            self._parts.note("fleet zone", zone=zone, stage="in", why="")
        self._decisions = decisions

    def _apply_overlay(self, now: int) -> None:
        names = list(self._swim.view.present)
        before = self._overlay.unused_zones
        reached = self._evidence.reachable_zones(now, self._rules.answers) if self._decisions else ()
        if self._overlay.apply_decisions(
            now, self._decisions, self._swim.me.name, names, self._rules.tries, reached
        ):
            unused = self._overlay.unused_zones
            decided = {decision.zone for decision in self._decisions}
            for zone in sorted(before ^ unused):
                # A return ends when there is no decision on the zone any more.
                announced = zone in decided or now < self._received_at + ANNOUNCE_US
                self._evidence.forget_zone(zone)
                self._parts.note("zone used" if zone in before else "zone unused", zone=zone,
                                 unused=len(unused), zones=len(self._zones), word=announced)  # fmt: skip
            self._listing.republish()

    # -- operators

    def _poll_holds(self) -> None:
        """Read the operators' holds while this head decides (a task)."""
        while True:
            self._hub.sleep(HOLDS_POLL_US)
            if self._evacuation is None:
                continue
            try:
                fresh = {zone: read_operator_hold(self._decider.witness, zone) for zone in self._zones}
            except FAILURES:
                continue  # the holds read last stay in force
            for zone, hold in fresh.items():
                if hold != self._holds.get(zone, ""):
                    self._parts.note("fleet zone wish", zone=zone, wish=hold or "none")
            self._holds = fresh

    def document(self, now: int) -> ZonesStatus:
        """Return this head's status of zones."""
        decisions = {decision.zone: decision for decision in self._decisions}
        observations = {observation.zone: observation for observation in self._evidence.report(now)}
        summaries = self._evacuation.summarize(now) if self._evacuation is not None else {}
        told = []
        for zone in self._zones:
            decision, observation, summary = decisions.get(zone), observations.get(zone), summaries.get(zone)
            told.append(
                ZoneStatus(
                    zone, decision.stage.value if decision is not None else "in",
                    decision.share if decision is not None else 1.0,
                    zone not in self._overlay.unused_zones,
                    decision.reason if decision is not None else "",
                    observation.responding if observation is not None else 0,
                    observation.silent if observation is not None else 0,
                    summary.responding if summary is not None else None,
                    summary.silent if summary is not None else None,
                    summary.heads if summary is not None else None, self._holds.get(zone, ""),
                    _leaving_status(self._evacuation.cost(zone, summaries))
                    if self._evacuation is not None else None,
                )
            )  # fmt: skip
        heard_s = max(0, now - self._received_at) / 1e6 if self._received_at else None
        address = self._decider.decider_address
        decider = f"{address[0]}:{address[1]}" if address is not None and self._evacuation is None else ""
        return ZonesStatus(self._evacuation is not None, heard_s, told, decider)
