"""The rig of one fleet day, independent of whether heads are simulated or processes."""

from __future__ import annotations

import random
from collections.abc import Callable

import msgspec

from harriertrack.decisions.fleet.rollout.launch_state import LaunchRules
from harriertrack.gateway.witness import WitnessClient
from harriertrack.lab.fleet import limits, markets, regions
from harriertrack.lab.fleet.rig import facts, head_settings, nodes, operator_actions
from harriertrack.lab.fleet.rig.faults import Faults
from harriertrack.lab.fleet.rig.log_observer import LogObserver
from harriertrack.lab.fleet.rig.operator_retries import retry_unanswered
from harriertrack.lab.fleet.rig.parties import heads_of
from harriertrack.lab.fleet.rig.streams import StreamRelays
from harriertrack.lab.fleet.rig.traffic import FOREVER_US, day_of
from harriertrack.lab.fleet.scenario import FleetDaySettings, StepSettings, Verb
from harriertrack.lab.rig import SETTLE_US, HeadSlot, Rig
from harriertrack.rules import recording as rec
from harriertrack.rules.fleet import FleetViews
from harriertrack.runtime.hub import Hub
from harriertrack.runtime.memory_streams import MemoryNetwork
from harriertrack.runtime.streams import Network
from harriertrack.standin.list_service import ListService
from harriertrack.standin.node_server import NodeServer
from harriertrack.standin.relay import NetworkFaults

POLL_US = 20_000
# For heads that run below launchers.
LAUNCH = LaunchRules(ready_us=5_000_000, prove_us=4_000_000, drain_us=5_000_000)
SEEDS = 2
DELAY_US = (100, 600)  # delay of a datagram in simulated time: least and most


class FleetRig(Rig):
    """Clients, the list service and the steps of a day; subclasses provide heads and nodes."""

    def __init__(self, hub: Hub, network: Network, day: FleetDaySettings, heads: int, seed: int,
                 recorder: rec.Recorder, state_dir: str | None = None,
                 fleet: bool = True) -> None:  # fmt: skip
        self.fleet_day, self.with_fleet = day, fleet
        super().__init__(hub, network, day_of(day, heads), seed, recorder, state_dir)
        self.faults = Faults(
            self, NetworkFaults(seed, DELAY_US if isinstance(network, MemoryNetwork) else (0, 0))
        )
        self.streams = StreamRelays(hub, network)
        self.views = FleetViews()
        self.rng = random.Random(seed)
        self._faults_end_us = 0  # when the last timed fault of the day is over
        self.markets = markets.Markets(self, seed) if day.closing is not None else None
        self.limits = limits.limits_of(self) if fleet else None
        self.observer = LogObserver(self)
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

    # -- running the day

    def run(self) -> None:
        """Run the day to its end (the rig's task)."""
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
                    scope.spawn("machine", self._record_machine_pauses)
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
        latest_us = self.hub.now() + max(one.deadline_us for one in self.classes) + 2 * SETTLE_US
        while self.hub.now() < latest_us and any(one.open for one in connections):
            self.hub.sleep(50_000)
        self.hub.sleep(SETTLE_US)

    def step(self, step: StepSettings) -> None:
        """Run one step."""
        slots = heads_of(self, step)
        match step.name:
            case Verb.START:
                for slot in slots:
                    if slot.name not in self.views.alive and not self.has_launcher(slot):
                        self.launch(slot, step)
            case Verb.KILL:
                for slot in slots:
                    if slot.name in self.views.alive:
                        self.kill(slot)
            case Verb.STOP:
                for slot in slots:
                    if slot.name in self.views.running_members():
                        self.suspend(slot, step.for_us)
            case Verb.STARVE:
                for slot in slots:
                    if slot.name in self.views.running_members():
                        self.scope.spawn(f"starves {slot.name}", self.faults.starve, slot, step)
            case Verb.LEAVE:
                for slot in slots:
                    if slot.name in self.views.running_members():
                        self.record_lifecycle(slot, "leaving")
                        self.leave(slot)
            case Verb.WEATHER:
                self.faults.step(step)
            case Verb.HEAL:
                self.faults.heal()
            case Verb.AGREE:
                running = self.views.running_members()
                self._agree([slot.name for slot in slots if slot.name in running], step.within_us)
            case Verb.DEMAND:
                self._send_traffic_to([slot.name for slot in slots], step.times)
            case Verb.JUMP:
                end_us = self.hub.now() + step.for_us
                while self.hub.now() < end_us:
                    for slot in slots:
                        if self.hub.now() < end_us:
                            self._send_traffic_to([slot.name], step.times)
                            self.hub.sleep(step.every_us)
            case Verb.ZONE:
                self.cut_zone(step.zone, slots, step.for_us)
            case Verb.SLOW:
                self.slow_zone(step.zone, step.times, step.for_us)
            case Verb.WISH:
                retry_unanswered(self.hub, step, lambda _is_retry: operator_actions.wish_zone(self, step))
            case Verb.PROPOSE | Verb.CHANGE:
                retry_unanswered(
                    self.hub, step, lambda is_retry: operator_actions.change(self, step, is_retry)
                )
            case Verb.LIMIT if self.limits is not None:
                day_limits = self.limits
                retry_unanswered(self.hub, step, lambda _is_retry: day_limits.step(step, slots))
            case Verb.MARKET | Verb.CLOCK | Verb.NEAR_CLOSE if self.markets is not None:
                day_markets = self.markets
                retry_unanswered(self.hub, step, lambda _is_retry: day_markets.step(step, slots))
            case Verb.DRAIN:
                nodes.drain(self, step.part, step.for_us)
            case Verb.COLD:
                nodes.come_back_cold(self, step.part, step.for_us)
            case Verb.QUIET:
                self._end_faults()
            case Verb.DECIDED:
                operator_actions.await_decided(self, step)
            case Verb.BACKUP:
                self.back_up_witness()
            case Verb.DARK:
                self.take_witness_down(step.for_us, step.old)
            case Verb.REST:
                self.hub.sleep(step.for_us)

    def extend_fault_time(self, us: int) -> None:
        """Extend the time until which faults of the day last, counted from now."""
        self._faults_end_us = max(self._faults_end_us, self.hub.now() + us)

    def run_after(self, us: int, act: Callable[[], None]) -> None:
        """Run `act` after a time; the faults of the day last at least until then."""
        self.extend_fault_time(us)
        super().run_after(us, act)

    def _end_faults(self) -> None:
        """Wait until timed faults are over, heal all others, and record that no fault is left."""
        while self.hub.now() < self._faults_end_us:
            self.hub.sleep_until(self._faults_end_us)
        self.await_witness()
        self.faults.heal()
        self.recorder.add(rec.FaultsOver(t=self.hub.now()))

    def await_witness(self) -> None:
        """Wait until the witness serves again after it was taken down."""

    @property
    def witness_address(self) -> tuple[str, int]:
        """Return the witness's address for operators."""
        raise NotImplementedError

    def operator(self) -> WitnessClient:
        """Return the operator's client of the witness."""
        return operator_actions.operator(self)

    def change(self, step: StepSettings) -> None:
        """Act as the operator: propose a version of a thing, or change the state of its current one."""
        operator_actions.change(self, step)

    def _send_traffic_to(self, names: list[str], times: float) -> None:
        """Send client traffic to some heads only; a volume that none of them serves gets none."""
        for flow in self.flows:
            flow.heads, flow.rate_factor = frozenset(names), times

    def is_liar(self, slot: HeadSlot) -> bool:
        """Whether a head sends false weights."""
        return head_settings.is_liar(self.fleet_day, slot.name, [one.name for one in self.heads])

    def _agree(self, names: list[str], within_us: int) -> None:
        started_us = self.hub.now()
        while not (reached := self.views.is_agreed_by(names)) and self.hub.now() - started_us < within_us:
            self.hub.sleep(POLL_US)
        now = self.hub.now()
        self.recorder.add(
            rec.AgreementCheck(
                t=now, members=names, within_us=within_us, after_us=now - started_us, reached=reached
            )
        )

    def add_numbered_head(self, number: int) -> HeadSlot:
        """Create the slot of a head by its number."""
        if not self.fleet_day.regions:
            return super().add_numbered_head(number)
        day, name = self.day, f"head{number}"
        served = [one for at, one in enumerate(self.volumes) if regions.serves(one, at, number, day.heads)]
        region = regions.settings_of(self, name, self.witness_of(name))
        return self.add_head(name, day.zones[number % len(day.zones)], served, self.listing_at(name), region)

    def add_flows(self) -> None:
        """Start the clients of each volume; for volumes of two regions, most send to the home region."""
        super().add_flows()
        moving = [one for one in self.volumes if one.regions is not None and one.name.startswith("moving")]
        for at, volume in enumerate(moving):
            flow = self.add_flow(volume, self.fleet_day.rate * (1 + at % 2) / 2)
            flow.preferred_connection = 0

    def hints_and_patience(self, volume: str) -> tuple[bool, int]:
        """Return how a volume's clients wait; those of volumes of two regions follow hints."""
        return (
            super().hints_and_patience(volume) if volume.startswith("vol") else (True, self.day.patience_us)
        )

    def listing_at(self, name: str) -> ListService:
        """Return the list service of a head or node."""
        return self.list_service

    def list_service_of(self, shelf: NodeServer) -> ListService:
        """Return the list service that names a node."""
        return self.listing_at(shelf.settings.name)

    def witness_of(self, name: str) -> tuple[str, int]:
        """Return the address at which a head reaches the witness."""
        return self.witness_address

    def _facts(self) -> rec.Facts:
        return msgspec.structs.replace(super()._facts(), regions=self.fleet_day.regions)

    def record_lifecycle(self, slot: HeadSlot, how: str) -> None:
        """Record that a head started, was killed, stopped, resumed or is leaving."""
        record = rec.MemberLifecycle(t=self.hub.now(), member=slot.name, how=how)  # type: ignore[arg-type]
        self.views.apply(record)
        self.recorder.add(record)

    # -- provided by subclasses

    def has_launcher(self, slot: HeadSlot) -> bool:
        """Whether a launcher runs for a head; it may be starting the head's next version right now."""
        raise NotImplementedError

    def launch(self, slot: HeadSlot, step: StepSettings) -> None:
        """Start a head."""
        raise NotImplementedError

    def kill(self, slot: HeadSlot) -> None:
        """Kill a head immediately."""
        raise NotImplementedError

    def suspend(self, slot: HeadSlot, us: int) -> None:
        """Suspend a head for a time, and record it."""
        raise NotImplementedError

    def pause_unrecorded(self, slot: HeadSlot, us: int) -> None:
        """Suspend a head briefly, without a lifecycle record."""
        raise NotImplementedError

    def leave(self, slot: HeadSlot) -> None:
        """Ask a head to terminate."""
        raise NotImplementedError

    def in_zone(self, zone: str) -> list[NodeServer]:
        """Return the nodes of a zone."""
        return [shelf for shelf in self.nodes.values() if shelf.settings.zone == zone]

    def cut_zone(self, zone: str, slots: list[HeadSlot], us: int) -> None:
        """Block all traffic between some heads and a zone's nodes for a time."""
        raise NotImplementedError

    def slow_zone(self, zone: str, times: float, us: int) -> None:
        """Slow a zone's nodes down for a time."""
        raise NotImplementedError

    def back_up_witness(self) -> None:
        """Save a backup of the witness's state."""
        raise NotImplementedError

    def take_witness_down(self, us: int, old: bool) -> None:
        """Stop the witness for a time; `old`: it restarts with the backup's state."""
        raise NotImplementedError

    def apply_network_faults(self) -> None:
        """Apply the active faults to streams; datagrams look them up each time."""
        self.streams.apply(self.faults.network_faults, self.nodes)

    def close(self) -> None:
        """End everything that was started."""
