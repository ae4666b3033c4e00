"""A fleet under faults: real heads with clients, storage nodes and a list, and what happens to them.

The same steps play in simulated time (here, the heads on one virtual hub) and over processes
(lab/fleet/processes.py). What heads tell of their views, and what clients and nodes saw, is recorded; the
rules are judged from the recording alone.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import replace
from functools import partial

import msgspec

from harriertrack.config.settings import (
    BudgetsSettings,
    BudgetUse,
    FleetFigures,
    FleetSeedSettings,
    FleetSettings,
    HeadSettings,
    ScoringSettings,
    ZonesSettings,
)
from harriertrack.decisions.fleet.budgets import Ask, Grant
from harriertrack.decisions.fleet.changes.record import Record
from harriertrack.decisions.fleet.changes.standing import OVER, Standing
from harriertrack.decisions.fleet.changes.writing import propose, wish
from harriertrack.decisions.fleet.rollout.launching import Kept, LaunchRules
from harriertrack.decisions.fleet.rollout.rollout import in_stages
from harriertrack.decisions.fleet.scoring.rules import MOST_LOG
from harriertrack.gateway.fleet.changes import keeping
from harriertrack.gateway.fleet.seats import DECIDES
from harriertrack.gateway.fleet.zones import set_wish
from harriertrack.gateway.head import Wiring
from harriertrack.gateway.witness import WitnessClient
from harriertrack.lab.day import DaySettings
from harriertrack.lab.fleet import limits, markets, regions, shares, staging, weights
from harriertrack.lab.fleet.later import LaterDatagrams
from harriertrack.lab.fleet.launched import SimulatedLauncher
from harriertrack.lab.fleet.rehearsal import Rehearsal, WorseLinks
from harriertrack.lab.fleet.scenario import (
    ROLES,
    ZONES,
    DayBudgets,
    FleetDaySettings,
    StepSettings,
    Verb,
    chosen,
)
from harriertrack.lab.fleet.weights import BROKEN, PLUGIN, LyingDatagrams, Tally
from harriertrack.lab.rig import REGIONS, SETTLE_US, HeadSlot, Rig
from harriertrack.lab.troubles import for_a_while
from harriertrack.membership.fleet import budgeting
from harriertrack.membership.fleet.budgeting import MARK
from harriertrack.rules import recording as rec
from harriertrack.rules.fleet import Views
from harriertrack.runtime.datagrams import DatagramNetwork, MemoryDatagrams
from harriertrack.runtime.hub import Hub, Task
from harriertrack.runtime.streams import MemoryNetwork, Network
from harriertrack.standin.link import Link
from harriertrack.standin.listservice import ListService
from harriertrack.standin.relay import Fault, Weather
from harriertrack.standin.shelf import Shelf
from harriertrack.standin.witness import Witness
from harriertrack.storage.changes import ChangesCache

LOOK_US = 20_000
DECIDED_US = 500_000
LAUNCH = LaunchRules(ready_us=5_000_000, prove_us=4_000_000, drain_us=5_000_000)  # of heads with launchers
FOREVER_US = 24 * 3600 * 1_000_000
SEEDS = 2
OUTSIDE = ("list", "witness")  # parties that are no heads or nodes
DELAY_US = (100, 600)  # of a datagram in simulated time
FIRST_PORT = 40_000
TRIM_US = 2_500_000  # trims after closes hurry no more than writes do
FLEET = "fleet"  # the name of the rig's
TOLD = ("state", "life", "incarnation", "there", "digest", "by")  # of a log line


def day_of(day: FleetDaySettings, heads: int) -> DaySettings:
    """Return the day of clients and nodes that goes on beside a fleet's day."""
    beside = []
    if day.closing is not None:
        beside = markets.volumes(day.markets, heads, day.hosts, day.shelves, day.extent_bytes,
                                 day.desks, day.regions)  # fmt: skip
    return DaySettings(
        name=day.name, about=day.about, length_us=FOREVER_US, heads=heads, nodes=day.shelves,
        zones=ZONES, rate=day.rate * heads, volumes=day.volumes or heads, shared=day.shared,
        hosts=day.hosts, beside=tuple(beside), volume_bytes=64 << 20, extent_bytes=day.extent_bytes,
        request_us=300, unit_us=200, move_deadline_us=TRIM_US if day.closing is not None else 400_000,
        cores=4, queue=256, limit=day.limit, limit_burst=day.limit_burst, limit_slack=day.limit_slack,
    )  # fmt: skip


class FleetRig(Rig):
    """The rig of one day of a fleet, whatever the heads are made of."""

    def __init__(self, hub: Hub, network: Network, day: FleetDaySettings, heads: int, seed: int,
                 recorder: rec.Recorder, state_dir: str | None = None,
                 fleet: bool = True) -> None:  # fmt: skip
        self.fleet_day, self.with_fleet = day, fleet
        super().__init__(hub, network, day_of(day, heads), seed, recorder, state_dir)
        self.weather = Weather(seed, DELAY_US if isinstance(network, MemoryNetwork) else (0, 0))
        self.views = Views()
        self._drawn = random.Random(seed)
        self.markets = markets.Markets(self, seed) if day.closing is not None else None
        self.between = regions.Between(self) if day.regions else None
        self.links: dict[tuple[str, str], Link] = {}  # streams from heads to others, which weather moves
        self.limits = limits.limits_of(self) if fleet else None
        self._cut: list[str] = []
        self._decider = ""  # as its log said last
        for end in day.ends:
            recorder.add(rec.RolloutEnd(t=0, thing=end.name, version=end.version))
        if day.zones is not None and fleet:
            recorder.add(rec.ZoneFacts(t=0, zones=list(ZONES), may_leave=list(day.may_leave)))
        self.tally = Tally(recorder)
        if day.scoring is not None and fleet:
            recorder.add(self.weight_facts(day.scoring))
        if day.budgets is not None and fleet:
            fixed = {one.name: one.fixed for one in day.budgets.budgets}.get(BudgetUse.LIMITS, 1.0)
            plans = {plan.name: plan for plan in self.plans}
            for volume in self.volumes:
                if (plan := plans[volume.plan]).limit:
                    recorder.add(
                        rec.BudgetFacts(t=0, budget=f"limits/{volume.name}", rate=plan.limit,
                                        burst=plan.limit_burst, moving=(1 - fixed) * plan.limit)
                    )  # fmt: skip

    # -- what happens

    def run(self) -> None:
        """Play the day to its end (the rig's task)."""
        hub = self.hub
        with hub.scope(f"fleet day {self.day.name}") as scope:
            self.scope = scope
            try:
                self.build()
                self.add_flows()
                if self.markets is not None:
                    self.markets.open()
                for flow in self.flows:
                    scope.spawn(f"flow {flow.model.name}", flow.run, hub.now() + FOREVER_US)
                if not isinstance(self.network, MemoryNetwork):
                    scope.spawn("machine", self._watch_machine)
                for step in self.fleet_day.steps:
                    self.step(step)
                self._finish()
            finally:
                self.close()
            scope.cancel()

    def _finish(self) -> None:
        for flow in self.flows:
            flow.closed = True
        if self.markets is not None:
            self.markets.close()
        connections = [one for slot in self.heads for one in slot.connections]
        for connection in connections:
            connection.forget_unsent()
        last = self.hub.now() + max(one.deadline_us for one in self.classes) + 2 * SETTLE_US
        while self.hub.now() < last and any(one.open for one in connections):
            self.hub.sleep(50_000)
        self.hub.sleep(SETTLE_US)

    def step(self, step: StepSettings) -> None:
        """Do one step."""
        who = self._who(step)
        match step.name:
            case Verb.START:
                for slot in who:
                    if slot.name not in self.views.running:
                        self.launch(slot, step)
            case Verb.KILL:
                for slot in who:
                    if slot.name in self.views.running:
                        self.kill(slot)
            case Verb.STOP:
                for slot in who:
                    if slot.name in self.views.awake():
                        self.stand(slot, step.for_us)
            case Verb.STARVE:
                for slot in who:
                    if slot.name in self.views.awake():
                        self.scope.spawn(f"starves {slot.name}", self._starve, slot, step)
            case Verb.LEAVE:
                for slot in who:
                    if slot.name in self.views.awake():
                        self.lived(slot, "leaving")
                        self.leave(slot)
            case Verb.WEATHER:
                self._strike(step)
            case Verb.HEAL:
                self.weather.clear()
                self.weather_changed()
            case Verb.AGREE:
                awake = self.views.awake()
                self._agree([slot.name for slot in who if slot.name in awake], step.within_us)
            case Verb.DEMAND:
                self._lead([slot.name for slot in who], step.times)
            case Verb.JUMP:
                until = self.hub.now() + step.for_us
                while self.hub.now() < until:
                    for slot in who:
                        if self.hub.now() < until:
                            self._lead([slot.name], step.times)
                            self.hub.sleep(step.every_us)
            case Verb.ZONE:
                self.zone_dark(step.zone, who, step.for_us)
            case Verb.SLOW:
                self.zone_slow(step.zone, step.times, step.for_us)
            case Verb.WISH:
                self.wish(step.zone, step.wish)
            case Verb.PROPOSE | Verb.CHANGE:
                self.change(step)
            case Verb.LIMIT if self.limits is not None:
                self.limits.step(step, who)
            case Verb.MARKET | Verb.CLOCK | Verb.NEAR_CLOSE if self.markets is not None:
                self.markets.step(step, who)
            case Verb.DECIDED:
                self._await_decided(step)
            case Verb.BACKUP:
                self.backup()
            case Verb.DARK:
                self.dark(step.for_us, step.old)
            case Verb.REST:
                self.hub.sleep(step.for_us)

    def change(self, step: StepSettings) -> None:
        """Do as an operator does who proposes a version of a thing, or says what becomes of it."""
        now_ms, thing = self.hub.clock.wall() // 1000, step.thing

        def make(record: Record) -> Record:
            if step.name is Verb.CHANGE:
                return wish(record, thing, Standing(step.to), "operator", now_ms, "the day says so")
            holds = record.in_force(thing)
            base = holds.number if holds is not None else 0
            return propose(record, thing, base, step.body, "operator", now_ms, "the day says so", step.plan,
                           step.although)  # fmt: skip

        client = WitnessClient(self.hub, self.network, self.witness_address, 1_000_000, "operator")
        found = keeping.write(client, make)
        last = found.record.under_way(thing) or found.record.of(thing)[-1]
        self.recorder.add(
            rec.Proposed(t=self.hub.now(), thing=thing, version=last.number, standing=last.standing.value)
        )
        staged = self.fleet_day.changes is not None and self.fleet_day.changes.rollout is not None
        if step.name is Verb.PROPOSE and staged and in_stages(thing):
            self.recorder.add(staging.facts_of(self.hub.now(), last, self.heads))

    @property
    def witness_address(self) -> tuple[str, int]:
        """Return where operators find the witness."""
        raise NotImplementedError

    def _await_decided(self, step: StepSettings) -> None:
        until = self.hub.now() + step.within_us
        while self.hub.now() < until:
            told = [one for one in self.recorder.records if isinstance(one, rec.Proposed)]
            last = next(one for one in reversed(told) if one.thing == step.thing)
            if any(isinstance(one, rec.RolloutStep) and (one.thing, one.version) == (last.thing, last.version)
                   and Standing(one.standing) in (*OVER, Standing.IN_FORCE)
                   for one in reversed(self.recorder.records)):  # fmt: skip
                return
            self.hub.sleep(DECIDED_US)

    def _lead(self, names: list[str], times: float) -> None:
        """Let traffic go to some heads alone; a volume that none of them serves has none."""
        for flow in self.flows:
            flow.heads, flow.factor = frozenset(names), times

    def budgets_of(self, witness: tuple[str, int]) -> BudgetsSettings | None:
        """Return what a head is told of budgets."""
        plan = self.fleet_day.budgets
        if plan is None:
            return None
        figures = {field: getattr(plan, field) for field in DayBudgets.__struct_fields__}
        return BudgetsSettings(witness=witness, **figures)

    def zones_of(self, name: str) -> ZonesSettings | None:
        """Return what a head is told of leaving zones."""
        day, number = self.fleet_day, int(name.removeprefix("head"))
        return day.zones if number % 10 < round(10 * day.zones_at) else None

    def weight_facts(self, scoring: ScoringSettings) -> rec.WeightFacts:
        """Return what must hold of weights on this day."""
        day = self.fleet_day
        names = [f"head{number}" for number in range(self.day.heads)]
        return rec.WeightFacts(
            t=0, most=MOST_LOG, rate=scoring.rate, fresh_us=scoring.stale_us, sway=day.sway,
            notes_bytes=2.0 * day.figures.topic_bytes,  # what a second brings, and what was spared
            liars=chosen(day.liars, names), broken=list(BROKEN),
        )  # fmt: skip

    def scoring_of(self, step: StepSettings | None = None) -> ScoringSettings | None:
        """Return what a head is told of scoring; a later version may be told other things."""
        day = self.fleet_day
        later = step is not None and step.later and day.scoring_later is not None
        return day.scoring_later if later else day.scoring

    def told_by(self, slot: HeadSlot, step: StepSettings) -> HeadSettings:
        """Return the settings with which a head is started."""
        fleet = slot.settings.fleet
        if fleet is None or self.fleet_day.scoring_later is None:
            return slot.settings
        told = msgspec.structs.replace(fleet, scoring=self.scoring_of(step))
        return msgspec.structs.replace(slot.settings, fleet=told)

    def lies(self, slot: HeadSlot) -> bool:
        """Whether a head is a liar."""
        return slot.name in chosen(self.fleet_day.liars, [one.name for one in self.heads])

    def passed(self, name: str, data: bytes, arrives: bool) -> None:
        """Record what heads tell each other: of budgets asks as they leave, grants as they come."""
        if self.fleet_day.scoring is not None and not arrives:
            self.tally.passed(self.hub.now(), name, data)
        if data[:1] != MARK:
            return
        try:
            said = budgeting.decode(FLEET, data)
        except budgeting.MalformedDatagram:
            return
        if isinstance(said, Ask) and not arrives:
            self.recorder.add(shares.asked(self.hub.now(), said))
        elif isinstance(said, Grant) and arrives:
            self.recorder.add(shares.granted(self.hub.now(), said))

    def _who(self, step: StepSettings) -> list[HeadSlot]:
        names = chosen(step.who, [slot.name for slot in self.heads])
        names += [name for word in step.who if word in ROLES for name in self._roles(word)]
        if step.part < 1.0:
            names = self._drawn.sample(names, max(1, round(step.part * len(names))))
        return [slot for slot in self.heads if slot.name in names]

    def _roles(self, word: str) -> list[str]:
        """Return the heads that have a role now, as far as they told."""
        if word == "decider":
            return [self._decider] if self._decider else []
        steps = [one for one in self.recorder.records if isinstance(one, rec.RolloutStep) and one.heads]
        new = set(steps[-1].heads if steps else ())
        zones = {slot.zone for slot in self.heads if slot.name in new}
        return [slot.name for slot in self.heads
                if slot.name in new or (word == "new-zone" and slot.zone in zones)]  # fmt: skip

    def _strike(self, step: StepSettings) -> None:
        heads = [slot.name for slot in self.heads]
        sources = chosen(step.who, heads)
        if step.part < 1.0:
            sources = self._drawn.sample(sources, max(1, round(step.part * len(sources))))
        targets = chosen(step.other, heads, tuple(sources))
        for words, found in ((step.who, sources), (step.other, targets)):
            found += [name for name in words if name in self.shelves or name in OUTSIDE]
            if "shelves" in words:
                found += list(self.shelves)
        fault = Fault(
            frozenset(sources), frozenset(targets), not step.one_way, step.cut, step.lost, step.twice,
            step.late_us, step.jitter_us, step.least_bytes,
        )  # fmt: skip
        self.strike(fault, step.for_us)
        if step.cut and not step.one_way:
            self._cut = [name for name in sources if name in heads]
            self.weather_changed()

    def strike(self, fault: Fault, us: int, ends: Callable[[], None] = lambda: None) -> None:
        """Let a fault begin, for a time or (0) until all are healed; `ends` is called just before its end."""
        number = self.weather.add(fault)
        self.weather_changed()

        def end() -> None:
            ends()
            self.weather.end(number)
            self.weather_changed()

        if us:
            self.later(us, end)

    def _starve(self, slot: HeadSlot, step: StepSettings) -> None:
        """Let a head have the processor for a part of the time only (a task). It lives: that is no fault."""
        until, still = self.hub.now() + step.for_us, int(step.share * step.every_us)
        while self.hub.now() < until and slot.name in self.views.running:
            self.pause(slot, still)
            self.recorder.add(rec.Stood(t=self.hub.now(), head=slot.name, us=still))
            self.hub.sleep(self._drawn.randrange(step.every_us // 2, 3 * step.every_us // 2))

    def _agree(self, names: list[str], within_us: int) -> None:
        began = self.hub.now()
        while not (reached := self.views.agree(names)) and self.hub.now() - began < within_us:
            self.hub.sleep(LOOK_US)
        now = self.hub.now()
        self.recorder.add(
            rec.Agreed(t=now, members=names, within_us=within_us, after_us=now - began, reached=reached)
        )

    def weather_changed(self) -> None:
        """Tell that faults began or ended."""
        self.recorder.add(rec.Weather(t=self.hub.now(), faults=len(self.weather)))
        self._cut = self._cut if len(self.weather) else []
        self.recorder.add(rec.CutOff(t=self.hub.now(), heads=self._cut))
        for (head, party), link in self.links.items():
            for way, source, target in ((link.there, head, party), (link.back, party, head)):
                way.blocked = self.weather.cut(source, target)
                way.delay_us = self.weather.late_us(source, target)
            link.changed()

    def place_head(self, number: int) -> HeadSlot:
        """Make a place for a head by its number."""
        if self.between is None:
            return super().place_head(number)
        day, name = self.day, f"head{number}"
        mine = [one for at, one in enumerate(self.volumes) if regions.serves(one, at, number, day.heads)]
        region = self.between.settings_of(name, self.witness_of(name))
        return self.add_head(name, day.zones[number % len(day.zones)], mine, self.listing_at(name), region)

    def listing_at(self, name: str) -> ListService:
        """Return the list service of a head or node."""
        return self.listing

    def listing_of(self, shelf: Shelf) -> ListService:
        """Return the list service that names a node."""
        return self.listing_at(shelf.settings.name)

    def witness_of(self, name: str) -> tuple[str, int]:
        """Return where a head finds the witness."""
        return self.witness_address

    def _facts(self) -> rec.Facts:
        return msgspec.structs.replace(super()._facts(), regions=self.fleet_day.regions)

    def lived(self, slot: HeadSlot, how: str) -> None:
        """Record what became of a head."""
        record = rec.Lived(t=self.hub.now(), member=slot.name, how=how)  # type: ignore[arg-type]
        self.views.take(record)
        self.recorder.add(record)

    def heard(self, slot: HeadSlot, event: str, fields: dict[str, object]) -> None:
        """Take a line of a head's log."""
        if event in ("zone used", "zone unused"):
            used = event == "zone used"
            self.recorder.add(
                rec.ZoneUse(t=self.hub.now(), head=slot.name, zone=str(fields["zone"]), used=used)
            )
        if self.markets is not None:
            self.markets.heard(slot, event, fields)
        if self.limits is not None:
            self.limits.heard(slot, event, fields)
        if event == "fleet changes":
            numbers = {name: int(str(fields[name])) for name in ("revision", "digest", "epoch")}
            latest = msgspec.convert(fields["latest"], dict[str, int])
            self.recorder.add(rec.WentBy(t=self.hub.now(), head=slot.name, latest=latest, **numbers))
        if event in ("fleet change taken", "fleet change turned down"):
            self.recorder.add(
                rec.TookVersion(t=self.hub.now(), head=slot.name, thing=str(fields["thing"]),
                                version=int(str(fields["version"])), why=str(fields.get("why", "")))
            )  # fmt: skip
        if (said := weights.told(self.hub.now(), slot.name, event, fields)) is not None:
            self.recorder.add(said)
        if event == "fleet budgets: term begins" and int(str(fields["ledger"])) == DECIDES:
            self._decider = slot.name
        if event == "rollout":
            self.recorder.add(staging.step_of(self.hub.now(), slot.name, fields))
        if event == "fleet member":
            told = {name: fields[name] for name in TOLD}
            told.update(t=self.hub.now(), member=slot.name, about=fields["member"])
            record = msgspec.convert(told, rec.Viewed)
            self.views.take(record)
            self.recorder.add(record)

    # -- what heads are made of

    def launch(self, slot: HeadSlot, step: StepSettings) -> None:
        """Start a head."""
        raise NotImplementedError

    def kill(self, slot: HeadSlot) -> None:
        """End a head at once."""
        raise NotImplementedError

    def stand(self, slot: HeadSlot, us: int) -> None:
        """Let a head stand still for a time."""
        raise NotImplementedError

    def pause(self, slot: HeadSlot, us: int) -> None:
        """Let a head stand still for a moment that nobody need hear of."""
        raise NotImplementedError

    def leave(self, slot: HeadSlot) -> None:
        """Ask a head to end."""
        raise NotImplementedError

    def in_zone(self, zone: str) -> list[Shelf]:
        """Return the nodes of a zone."""
        return [shelf for shelf in self.shelves.values() if shelf.settings.zone == zone]

    def zone_dark(self, zone: str, who: list[HeadSlot], us: int) -> None:
        """Let nothing pass between some heads and a zone's nodes for a time."""
        raise NotImplementedError

    def zone_slow(self, zone: str, times: float, us: int) -> None:
        """Let a zone's nodes work slower for a time."""
        raise NotImplementedError

    def wish(self, zone: str, wish: str) -> None:
        """Do as an operator does who wishes a zone out or in."""
        raise NotImplementedError

    def backup(self) -> None:
        """Keep aside what the witness knows."""
        raise NotImplementedError

    def dark(self, us: int, old: bool) -> None:
        """Take the witness away for a time; `old`: it comes back as of the backup."""
        raise NotImplementedError

    def close(self) -> None:
        """End all that was started."""

    def figures(self) -> dict[str, object]:
        """Return the protocol's figures of the day."""
        figures = self.fleet_day.figures
        return {field: getattr(figures, field) for field in FleetFigures.__struct_fields__}


class SimulatedFleet(FleetRig):
    """Heads on one hub in simulated time."""

    def __init__(self, hub: Hub, network: Network, day: FleetDaySettings, heads: int, seed: int,
                 recorder: rec.Recorder, state_dir: str | None = None,
                 fleet: bool = True) -> None:  # fmt: skip
        super().__init__(hub, network, day, heads, seed, recorder, state_dir, fleet)
        self.datagrams = MemoryDatagrams(hub, self.weather.fate)
        self.datagrams.tap = self.passed
        self.witness = Witness(hub, network)
        self._listings = {name: self.new_listing() for name in REGIONS} if day.regions else {}
        self._kept = b""
        self._later: set[str] = set()
        self._bad: dict[str, Rehearsal] = {}  # what runs at heads whose version is worse
        self._launchers: dict[str, SimulatedLauncher] = {}
        self._launching: dict[str, Task] = {}
        self._disks: dict[str, Kept] = {}  # what launchers keep
        self._changes: dict[str, ChangesCache] = {}  # what each head keeps of the record of changes
        self._still_until: dict[str, int] = {}

    def build(self) -> None:
        """Start the nodes and the list, and make places for the heads."""
        day = self.day
        for listing in self._listings.values() or [self.listing]:
            listing.start(self.scope)
        if self.fleet_day.budgets is not None:
            self.witness.start(self.scope)
        for number in range(day.nodes):
            self.add_node(f"node{number}", number)
        for number in range(day.heads):
            self.place_head(number)

    @property
    def witness_address(self) -> tuple[str, int]:
        """Return where operators find the witness."""
        return self.witness.address

    def fleet_of(self, name: str) -> FleetSettings | None:
        """Return what a head is told of its fleet."""
        if not self.with_fleet:
            return None
        number = int(name.removeprefix("head"))
        seeds = tuple(
            FleetSeedSettings(name=f"head{one}", address=("127.0.0.1", FIRST_PORT + one))
            for one in range(SEEDS)
        )
        return FleetSettings(
            name=name, listen=("127.0.0.1", FIRST_PORT + number), seeds=seeds,
            budgets=self.budgets_of(self.witness_of(name)), zones=self.zones_of(name),
            changes=self.fleet_day.changes, closing=self.fleet_day.closing, scoring=self.scoring_of(),
            **self.figures(),  # type: ignore[arg-type]
        )  # fmt: skip

    def listing_at(self, name: str) -> ListService:
        """Return the list service of a head or node."""
        return self._listings[regions.region_of(name)] if self._listings else self.listing

    def witness_of(self, name: str) -> tuple[str, int]:
        """Return where a head finds the witness; on days of two regions through a relay."""
        if self.between is None or not self.with_fleet:
            return self.witness.address
        link = self.between.link(name, "witness")
        link.set_target(self.witness.address)
        return link.address

    def start_head(self, slot: HeadSlot) -> None:
        """Start a head, and let its partner's relay lead to it."""
        super().start_head(slot)
        if self.between is not None and slot.head is not None:
            self.between.link(regions.partner_of(slot.name), slot.name).set_target(slot.head.address)

    def wiring(self, slot: HeadSlot) -> Wiring:
        """Return what a head is made of."""
        datagrams: DatagramNetwork = self.datagrams
        if slot.name in self._later:
            datagrams = LaterDatagrams(datagrams)
        if self.lies(slot):
            datagrams = LyingDatagrams(datagrams)
        kept = self._changes.setdefault(slot.name, ChangesCache(None))
        wall = self.markets.wall_of(slot) if self.markets is not None else None
        made = Wiring(datagrams=datagrams, kept=kept, wall=wall, scorers=(PLUGIN,),
                      handover=self._launchers.get(slot.name))  # fmt: skip
        bad = self._bad.get(slot.name)
        return replace(made, links=partial(WorseLinks, rehearsal=bad)) if bad is not None else made

    def note_of(self, slot: HeadSlot) -> Callable[..., None]:
        """Return what hears a head's log."""
        return lambda event, **fields: self.heard(slot, event, fields)

    def launch(self, slot: HeadSlot, step: StepSettings) -> None:
        """Start a head."""
        self.lived(slot, "started")
        if step.fresh:
            self._changes.pop(slot.name, None)
        if self.markets is not None:
            self.markets.set_clock(slot, step)
        (self._later.add if step.later else self._later.discard)(slot.name)
        slot.settings = self.told_by(slot, step)
        if not self.fleet_day.launched:
            self.start_head(slot)
            return
        launcher = SimulatedLauncher(
            self, slot, LAUNCH, self._disks.get(slot.name, Kept()),
            lambda kept: self._disks.__setitem__(slot.name, kept),
        )  # fmt: skip
        self._launchers[slot.name] = launcher
        slot.head = slot.task = None
        self._launching[slot.name] = self.scope.spawn(f"launcher {slot.name}", launcher.run)
        while slot.head is None:
            self.hub.sleep(LOOK_US)
        slot.head.ready.wait()

    def start_child(self, slot: HeadSlot, rehearsal: Rehearsal) -> None:
        """Start a head of a version; it serves when this returns, unless it is mute."""
        if slot.name not in self.views.running:
            self.lived(slot, "started")
        if rehearsal.class_name:
            self._bad[slot.name] = rehearsal
        else:
            self._bad.pop(slot.name, None)
        self.start_head(slot)

    def crash(self, slot: HeadSlot) -> None:
        """A head ends by itself."""
        self.lived(slot, "killed")
        self.kill_head(slot)

    def kill(self, slot: HeadSlot) -> None:
        """End a head at once; one that stands still, when it goes on: its tasks can't be ended before."""
        self.hub.sleep_until(self._still_until.get(slot.name, 0))
        if (launching := self._launching.pop(slot.name, None)) is not None:
            launching.cancel()
        self.lived(slot, "killed")
        self.kill_head(slot)

    def stand(self, slot: HeadSlot, us: int) -> None:
        """Let a head stand still for a time."""
        self.lived(slot, "stopped")
        self.recorder.add(rec.Stood(t=self.hub.now(), head=slot.name, us=us))
        self.pause(slot, us)
        self.later(us, lambda: self.lived(slot, "went-on") if slot.name in self.views.running else None)

    def pause(self, slot: HeadSlot, us: int) -> None:
        """Let a head stand still for a moment that nobody need hear of."""
        self._still_until[slot.name] = self.hub.now() + us
        self.hub.freeze(slot.head, us)

    def leave(self, slot: HeadSlot) -> None:
        """Ask a head to end."""
        assert slot.head is not None
        for connection in slot.connections:
            connection.address = None
        slot.head.stop()

    def zone_dark(self, zone: str, who: list[HeadSlot], us: int) -> None:
        """Let a zone's machines go silent, and come back cold; or for some heads only, be out of reach."""
        struck = self.in_zone(zone)
        if len(who) == len(self.heads):
            for shelf in struck:
                if shelf.up:
                    shelf.stop(silent=True)

            def back() -> None:
                for shelf in struck:
                    if not shelf.up:
                        self.restart_node(shelf)

            self.later(us, back)
            return
        ids = frozenset(slot.head.head_id for slot in who if slot.head is not None)
        self._faulty(struck, us, cut_off=ids)

    def zone_slow(self, zone: str, times: float, us: int) -> None:
        """Let a zone's nodes work slower for a time."""
        self._faulty(self.in_zone(zone), us, slow=times)

    def _faulty(self, struck: list[Shelf], us: int, **faults: object) -> None:
        self.scope.spawn("nodes at fault", partial(for_a_while, self, struck, us, **faults))

    def wish(self, zone: str, wish: str) -> None:
        """Do as an operator does who wishes a zone out or in."""
        client = WitnessClient(self.hub, self.network, self.witness.address, 1_000_000, "operator")
        set_wish(client, zone, wish)

    def backup(self) -> None:
        """Keep aside what the witness knows."""
        self._kept = self.witness.kept()

    def dark(self, us: int, old: bool) -> None:
        """Take the witness away for a time; `old`: it comes back as of the backup."""
        self.witness.down = True

        def back() -> None:
            self.witness.down = False
            if old and self._kept:
                self.witness.take_up(self._kept)

        self.later(us, back)


def simulate(day: FleetDaySettings, heads: int, seed: int, recorder: rec.Recorder,
             fleet: bool = True) -> FleetRig:  # fmt: skip
    """Play a fleet's day in simulated time; all is in the recorder then."""
    hub = Hub.virtual(seed)
    rig = SimulatedFleet(hub, MemoryNetwork(hub), day, heads, seed, recorder, None, fleet)
    hub.run(rig.run)
    return rig
