"""The rig of one day of a fleet, whatever its heads are made of."""

from __future__ import annotations

import random
from collections.abc import Callable

import msgspec

from harriertrack.decisions.fleet.rollout.launch_state import LaunchRules
from harriertrack.gateway.witness import WitnessClient
from harriertrack.lab.fleet import limits, markets, regions
from harriertrack.lab.fleet.rig import facts, nodes, operating, told
from harriertrack.lab.fleet.rig.faults import Faults
from harriertrack.lab.fleet.rig.hearing import Hearing
from harriertrack.lab.fleet.rig.insisting import insist
from harriertrack.lab.fleet.rig.parties import heads_of
from harriertrack.lab.fleet.rig.streams import Streams
from harriertrack.lab.fleet.rig.traffic import FOREVER_US, day_of
from harriertrack.lab.fleet.scenario import FleetDaySettings, StepSettings, Verb
from harriertrack.lab.rig import SETTLE_US, HeadSlot, Rig
from harriertrack.rules import recording as rec
from harriertrack.rules.fleet import FleetViews
from harriertrack.runtime.hub import Hub
from harriertrack.runtime.streams import MemoryNetwork, Network
from harriertrack.standin.list_service import ListService
from harriertrack.standin.node_server import NodeServer
from harriertrack.standin.relay import NetworkFaults

LOOK_US = 20_000
LAUNCH = LaunchRules(ready_us=5_000_000, prove_us=4_000_000, drain_us=5_000_000)  # of heads with launchers
SEEDS = 2
DELAY_US = (100, 600)  # of a datagram in simulated time


class FleetRig(Rig):
    """Clients, the list and the steps of a day; what heads and nodes are made of, the kinds of rig say."""

    def __init__(self, hub: Hub, network: Network, day: FleetDaySettings, heads: int, seed: int,
                 recorder: rec.Recorder, state_dir: str | None = None,
                 fleet: bool = True) -> None:  # fmt: skip
        self.fleet_day, self.with_fleet = day, fleet
        super().__init__(hub, network, day_of(day, heads), seed, recorder, state_dir)
        self.faults = Faults(
            self, NetworkFaults(seed, DELAY_US if isinstance(network, MemoryNetwork) else (0, 0))
        )
        self.streams = Streams(hub, network)
        self.views = FleetViews()
        self.drawn = random.Random(seed)
        self._last_until = 0  # when what the day did to the fleet is over
        self.markets = markets.Markets(self, seed) if day.closing is not None else None
        self.limits = limits.limits_of(self) if fleet else None
        self.hearing = Hearing(self)
        for end in facts.of_rollouts(day):
            recorder.add(end)
        if fleet:
            self._record_facts()

    def _record_facts(self) -> None:
        day, record = self.fleet_day, self.recorder.add
        for zones in facts.of_zones(day):
            record(zones)
        if day.scoring is not None:
            record(facts.of_weights(day, day.scoring, self.day.heads))
        for pace in facts.of_regions(day, self.plans, self.volumes):
            record(pace)
        for budget in facts.of_budgets(day, self.plans, self.volumes):
            record(budget)

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
        who = heads_of(self, step)
        match step.name:
            case Verb.START:
                for slot in who:
                    if slot.name not in self.views.alive and not self.launched(slot):
                        self.launch(slot, step)
            case Verb.KILL:
                for slot in who:
                    if slot.name in self.views.alive:
                        self.kill(slot)
            case Verb.STOP:
                for slot in who:
                    if slot.name in self.views.running_members():
                        self.stand(slot, step.for_us)
            case Verb.STARVE:
                for slot in who:
                    if slot.name in self.views.running_members():
                        self.scope.spawn(f"starves {slot.name}", self.faults.starve, slot, step)
            case Verb.LEAVE:
                for slot in who:
                    if slot.name in self.views.running_members():
                        self.record_lifecycle(slot, "leaving")
                        self.leave(slot)
            case Verb.WEATHER:
                self.faults.step(step)
            case Verb.HEAL:
                self.faults.heal()
            case Verb.AGREE:
                awake = self.views.running_members()
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
                self.cut_zone(step.zone, who, step.for_us)
            case Verb.SLOW:
                self.zone_slow(step.zone, step.times, step.for_us)
            case Verb.WISH:
                insist(self.hub, step, lambda _again: operating.wish_zone(self, step))
            case Verb.PROPOSE | Verb.CHANGE:
                insist(self.hub, step, lambda again: operating.change(self, step, again))
            case Verb.LIMIT if self.limits is not None:
                changing = self.limits
                insist(self.hub, step, lambda _again: changing.step(step, who))
            case Verb.MARKET | Verb.CLOCK | Verb.NEAR_CLOSE if self.markets is not None:
                trading = self.markets
                insist(self.hub, step, lambda _again: trading.step(step, who))
            case Verb.DRAIN:
                nodes.drain(self, step.part, step.for_us)
            case Verb.COLD:
                nodes.come_back_cold(self, step.part, step.for_us)
            case Verb.QUIET:
                self._quiet()
            case Verb.DECIDED:
                operating.await_decided(self, step)
            case Verb.BACKUP:
                self.backup()
            case Verb.DARK:
                self.dark(step.for_us, step.old)
            case Verb.REST:
                self.hub.sleep(step.for_us)

    def lasts(self, us: int) -> None:
        """Remember that something that the day does lasts for so long."""
        self._last_until = max(self._last_until, self.hub.now() + us)

    def later(self, us: int, act: Callable[[], None]) -> None:
        """Do something after a time."""
        self.lasts(us)
        super().later(us, act)

    def _quiet(self) -> None:
        """Wait for the end of what lasts, heal all else, and put on record that it is quiet."""
        while self.hub.now() < self._last_until:
            self.hub.sleep_until(self._last_until)
        self.await_witness()
        self.faults.heal()
        self.recorder.add(rec.FaultsOver(t=self.hub.now()))

    def await_witness(self) -> None:
        """Wait until the witness is there again, where it was taken away."""

    @property
    def witness_address(self) -> tuple[str, int]:
        """Return where operators find the witness."""
        raise NotImplementedError

    def operator(self) -> WitnessClient:
        """Return the operator's way to the witness."""
        return operating.operator(self)

    def change(self, step: StepSettings) -> None:
        """Do as an operator does who proposes a version of a thing, or says what becomes of it."""
        operating.change(self, step)

    def _lead(self, names: list[str], times: float) -> None:
        """Let traffic go to some heads alone; a volume that none of them serves has none."""
        for flow in self.flows:
            flow.heads, flow.factor = frozenset(names), times

    def lies(self, slot: HeadSlot) -> bool:
        """Whether a head is a liar."""
        return told.lies(self.fleet_day, slot.name, [one.name for one in self.heads])

    def _agree(self, names: list[str], within_us: int) -> None:
        began = self.hub.now()
        while not (reached := self.views.is_agreed_by(names)) and self.hub.now() - began < within_us:
            self.hub.sleep(LOOK_US)
        now = self.hub.now()
        self.recorder.add(
            rec.AgreementCheck(
                t=now, members=names, within_us=within_us, after_us=now - began, reached=reached
            )
        )

    def place_head(self, number: int) -> HeadSlot:
        """Make a place for a head by its number."""
        if not self.fleet_day.regions:
            return super().place_head(number)
        day, name = self.day, f"head{number}"
        mine = [one for at, one in enumerate(self.volumes) if regions.serves(one, at, number, day.heads)]
        region = regions.settings_of(self, name, self.witness_of(name))
        return self.add_head(name, day.zones[number % len(day.zones)], mine, self.listing_at(name), region)

    def add_flows(self) -> None:
        """Start the clients of each volume; of those of two regions most ask at home."""
        super().add_flows()
        moving = [one for one in self.volumes if one.regions is not None and one.name.startswith("moving")]
        for at, volume in enumerate(moving):
            flow = self.add_flow(volume, self.fleet_day.rate * (1 + at % 2) / 2)
            flow.leader = 0

    def manners(self, volume: str) -> tuple[bool, int]:
        """Return how a volume's clients wait; those of two regions hear hints."""
        return super().manners(volume) if volume.startswith("vol") else (True, self.day.patience_us)

    def listing_at(self, name: str) -> ListService:
        """Return the list service of a head or node."""
        return self.listing

    def listing_of(self, shelf: NodeServer) -> ListService:
        """Return the list service that names a node."""
        return self.listing_at(shelf.settings.name)

    def witness_of(self, name: str) -> tuple[str, int]:
        """Return where a head finds the witness."""
        return self.witness_address

    def _facts(self) -> rec.Facts:
        return msgspec.structs.replace(super()._facts(), regions=self.fleet_day.regions)

    def record_lifecycle(self, slot: HeadSlot, how: str) -> None:
        """Record what became of a head."""
        record = rec.MemberLifecycle(t=self.hub.now(), member=slot.name, how=how)  # type: ignore[arg-type]
        self.views.apply(record)
        self.recorder.add(record)

    # -- what heads are made of

    def launched(self, slot: HeadSlot) -> bool:
        """Whether a launcher is at work for a head, which is to start the next version of it just now."""
        raise NotImplementedError

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

    def in_zone(self, zone: str) -> list[NodeServer]:
        """Return the nodes of a zone."""
        return [shelf for shelf in self.shelves.values() if shelf.settings.zone == zone]

    def cut_zone(self, zone: str, who: list[HeadSlot], us: int) -> None:
        """Let nothing pass between some heads and a zone's nodes for a time."""
        raise NotImplementedError

    def zone_slow(self, zone: str, times: float, us: int) -> None:
        """Let a zone's nodes work slower for a time."""
        raise NotImplementedError

    def backup(self) -> None:
        """Keep aside what the witness knows."""
        raise NotImplementedError

    def dark(self, us: int, old: bool) -> None:
        """Take the witness away for a time; `old`: it comes back as of the backup."""
        raise NotImplementedError

    def weather_changed(self) -> None:
        """Let streams follow the faults in force; datagrams ask at each."""
        self.streams.follow(self.faults.weather, self.shelves)

    def close(self) -> None:
        """End all that was started."""
