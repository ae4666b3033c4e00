"""The rig whose heads and nodes are processes on loopback."""

from __future__ import annotations

import shutil
import signal
from collections.abc import Callable
from pathlib import Path
from typing import cast

import msgspec

from harriertrack.config.formatting import format_settings
from harriertrack.config.settings import (
    ConsulSettings,
    FleetSeedSettings,
    FleetSettings,
    ListEndpointSettings,
    ListServiceSettings,
    NodeListSettings,
    NodeSettings,
    NodeStandInSettings,
)
from harriertrack.config.sexp import SettingsError
from harriertrack.lab.fleet import regions
from harriertrack.lab.fleet.processes import launchers
from harriertrack.lab.fleet.processes.children import Children, FleetProcessError, Process
from harriertrack.lab.fleet.processes.logs import Logs
from harriertrack.lab.fleet.processes.loopback_addresses import LoopbackAddresses
from harriertrack.lab.fleet.processes.machine import Machine
from harriertrack.lab.fleet.processes.nodes import ShelfProcess
from harriertrack.lab.fleet.processes.timeouts import PASSING_US, READY_US, RESUME_ALLOWANCE_US, TURN_US
from harriertrack.lab.fleet.processes.witness import WitnessProcess
from harriertrack.lab.fleet.rig import POLL_US, SEEDS, FleetRig, head_settings
from harriertrack.lab.fleet.scenario import SIMULATED, FleetDaySettings, StepSettings
from harriertrack.lab.rig import HeadSlot
from harriertrack.rules import recording as rec
from harriertrack.runtime.datagrams import SocketDatagrams
from harriertrack.runtime.hub import Cancelled, DeadlineExceeded, Hub, Task
from harriertrack.runtime.signals import on_signals
from harriertrack.runtime.streams import SocketNetwork
from harriertrack.standin.node import ShardStorage
from harriertrack.standin.relay import MemberRelays, NetworkFault

SLOW_US = 20_000  # extra network delay for each unit of a step's slowdown factor


class ProcessFleet(FleetRig):
    """A fleet whose heads and nodes are processes on loopback."""

    def __init__(self, hub: Hub, network: SocketNetwork, day: FleetDaySettings, heads: int, seed: int,
                 recorder: rec.Recorder, folder: Path, fleet: bool = True) -> None:  # fmt: skip
        super().__init__(hub, network, day, heads, seed, recorder, str(folder), fleet)
        self._folder = folder
        self.addresses = LoopbackAddresses()
        self.relay = MemberRelays(hub, SocketDatagrams(hub), self.faults.network_faults, self.addresses.host)
        self.relay.tap = self.observer.datagram
        self.children = Children(folder, day.scoring is not None)
        self._logs = Logs(self)
        self._witness = WitnessProcess(self, self.addresses.next())
        self._advertised: dict[str, tuple[str, int]] = {}  # addresses at which heads find each other: relays
        self._nbd = {f"head{number}": self.addresses.next() for number in range(heads)}
        self._listen: dict[str, tuple[str, int]] = {}

    def cpu_s(self) -> dict[str, float]:
        """Return the processor time used by each running head."""
        names = [slot.name for slot in self.heads]
        return {name: one.cpu_s for name, one in self.children.running.items() if name in names}

    def path(self, name: str) -> Path:
        """Return the path of a file of this day."""
        return self._folder / name

    def _facts(self) -> rec.Facts:
        # Messages of heads and answers to clients pass through relays in this process; on a machine that is
        # busy with all these processes they are delayed.
        return msgspec.structs.replace(super()._facts(), answer_slack_us=PASSING_US, flight_us=PASSING_US)

    # -- building

    def build(self) -> None:
        """Start the nodes, and create slots, relays and node lists for the heads."""
        day = self.day
        names = [f"head{number}" for number in range(day.heads)]
        for name in names:
            self._listen[name] = self.addresses.next()
            self._advertised[name] = self.relay.add_member(name, self._listen[name])
        for number in range(day.nodes):
            self.add_node(f"node{number}", number)
        zones = {name: shelf.settings.zone for name, shelf in self.nodes.items()}
        if self.fleet_day.budgets is not None:
            self._witness.start()
        entrances = []
        for name in names:
            nodes = tuple(
                NodeSettings(
                    name=node, address=self._link(name, node, shelf.address), shard=shard, zone=zones[node]
                )  # fmt: skip
                for shard, (node, shelf) in enumerate(self.nodes.items())
                if not self.fleet_day.regions or regions.region_of(node) == regions.region_of(name)
            )
            entrances.append(ListEndpointSettings(name=name, listen=self.addresses.next(), nodes=nodes))
        path = self.path("list.sexp")
        path.write_text(format_settings("list-service", ListServiceSettings(entrances=tuple(entrances))))
        arguments = ["standin", "list", str(path), "--record", str(self.path("list.rec"))]
        listing = self.start_process("list", arguments)
        for shelf in self.nodes.values():  # after all started: imports run in parallel
            cast(ShelfProcess, shelf).await_listening()
        if self.fleet_day.budgets is not None:
            self._witness.await_listening()
        self.await_listening(listing, entrances[-1].listen)
        for number, (name, entrance) in enumerate(zip(names, entrances, strict=True)):
            slot = self.add_numbered_head(number)
            consul = ConsulSettings(address=self._link(name, "list", entrance.listen), wait_us=5_000_000)
            slot.settings = msgspec.structs.replace(
                slot.settings, listen=self._nbd[name],
                node_list=NodeListSettings(consul=consul),
            )  # fmt: skip
            self.path(f"{name}.sexp").write_text(format_settings("head", slot.settings))
        if self.fleet_day.regions:
            for name in names:
                regions.set_partner_address(self, name, self._nbd[name])
        self.scope.spawn("logs", self._logs.follow)
        self.scope.spawn("processors", Machine(self).watch)

    def cut_zone(self, zone: str, slots: list[HeadSlot], us: int) -> None:
        """Cut the relays between some heads and a zone's nodes for a time; the nodes keep running."""
        sources = frozenset(slot.name for slot in slots)
        nodes = frozenset(shelf.settings.name for shelf in self.in_zone(zone))
        self.faults.begin(NetworkFault(sources, nodes, cut=True), us)

    def slow_zone(self, zone: str, times: float, us: int) -> None:
        """Delay traffic between heads and a zone's nodes for a time, as if the nodes were slow."""
        sources = frozenset(slot.name for slot in self.heads)
        nodes = frozenset(shelf.settings.name for shelf in self.in_zone(zone))
        self.faults.begin(NetworkFault(sources, nodes, late_us=int(times * SLOW_US)), us)

    def back_up_witness(self) -> None:
        """Save a backup of the witness's state."""
        self._witness.backup()

    def take_witness_down(self, us: int, old: bool) -> None:
        """Stop the witness for a time; `old`: it restarts with the backup's state."""
        self._witness.take_down(us, old)

    def _link(self, head: str, party: str, address: tuple[str, int]) -> tuple[str, int]:
        """Create a stream relay between a head and another party; return the address that the head uses."""
        return self.streams.route(head, party, address, self.scope)

    def new_node(  # type: ignore[override]
        self, settings: NodeStandInSettings, rack: ShardStorage, meter: object, seed: int
    ) -> ShelfProcess:
        """Start a storage node as a process."""
        settings = msgspec.structs.replace(settings, listen=self.addresses.next())
        return ShelfProcess(self, settings)

    def await_listening(self, process: Process, address: tuple[str, int]) -> None:
        """Wait until a process accepts connections. Raises FleetProcessError."""
        deadline_us = self.hub.now() + READY_US
        while True:
            try:
                self.network.connect(address, deadline_us).close()
                return
            except ConnectionRefusedError:
                if process.ended or self.hub.now() > deadline_us:
                    raise FleetProcessError(f"{process.name} does not listen; see {process.log}") from None
                self.hub.sleep(POLL_US)
            except (OSError, DeadlineExceeded) as error:
                raise FleetProcessError(f"{process.name}: {error}; see {process.log}") from error

    def start_process(self, name: str, arguments: list[str], group: bool = False) -> Process:
        """Start a child process with a log in the day's folder."""
        return self.children.start(name, arguments, group)

    def await_witness(self) -> None:
        """Wait until the witness serves again after it was taken down."""
        if self.fleet_day.budgets is not None:
            self._witness.await_restart()

    @property
    def witness_address(self) -> tuple[str, int]:
        """Return the witness's address for operators."""
        return self._witness.address

    def witness_of(self, name: str) -> tuple[str, int]:
        """Return the address at which a head reaches the witness: a relay's."""
        return self._link(name, "witness", self._witness.address)

    def fleet_settings_of(self, name: str) -> FleetSettings | None:
        """Return a head's fleet settings."""
        if not self.with_fleet:
            return None
        day = self.fleet_day
        seeds = tuple(
            FleetSeedSettings(name=one, address=self._advertised[one])
            for one in list(self._advertised)[:SEEDS]
        )
        return FleetSettings(
            name=name, listen=self._listen[name], advertise=self._advertised[name], seeds=seeds,
            budgets=head_settings.budgets_of(day, self.witness_of(name))
            if day.budgets is not None else None,
            zones=head_settings.zones_of(day, name), changes=day.changes, closing=day.closing,
            scoring=head_settings.scoring_of(day),
            **head_settings.figures(day),  # type: ignore[arg-type]
        )  # fmt: skip

    # -- heads

    def client_address(self, slot: HeadSlot) -> tuple[str, int] | None:
        """Return a head's address for clients; None while it is not running."""
        return self._nbd[slot.name] if slot.name in self.children.running else None

    def has_launcher(self, slot: HeadSlot) -> bool:
        """Whether a launcher runs for a head."""
        return self.fleet_day.launched and slot.name in self.children.running

    def launch(self, slot: HeadSlot, step: StepSettings) -> None:
        """Start a head, after its previous instance has terminated, which still holds its addresses."""
        while self._logs.is_terminating(slot):
            self.hub.sleep(POLL_US)
        if step.fresh:
            shutil.rmtree(self.path(slot.name), ignore_errors=True)
        self.record_lifecycle(slot, "started")
        if self.fleet_day.launched:
            launchers.start(self, slot)
            self.hub.sleep(TURN_US)
            return
        arguments = ["head", str(self.path(f"{slot.name}.sexp"))]
        if step.clock_rate != 1.0:
            arguments += ["--clock-rate", str(step.clock_rate)]
        if self.markets is not None:
            self.markets.set_clock(slot, step)
            arguments += ["--clock-ahead", str(self.markets.ahead_us(slot) / 1e6)]
        if step.later:
            arguments.append("--as-later")
        if self.is_liar(slot):
            arguments.append("--as-liar")
        if self.fleet_day.scoring_later is not None:
            settings = head_settings.settings_at_start(self.fleet_day, slot.settings, step)
            self.path(f"{slot.name}.sexp").write_text(format_settings("head", settings))
        self.start_process(slot.name, arguments)
        self.hub.sleep(TURN_US)  # dozens of simultaneous starts would delay the relays
        for connection in slot.connections:
            connection.address = self.client_address(slot)

    def kill(self, slot: HeadSlot) -> None:
        """Kill a head immediately."""
        self._logs.read(slot)
        self.record_lifecycle(slot, "killed")
        self._disconnect_clients(slot)
        process = self.children.running.pop(slot.name)
        self.recorder.add(rec.HeadLifecycle(t=self.hub.now(), head=slot.name, number=0, up=False))
        process.signal(signal.SIGKILL)
        while not process.ended:  # polled, as the relays run in this process and must not block
            self.hub.sleep(TURN_US)

    def suspend(self, slot: HeadSlot, us: int) -> None:
        """Suspend a head for a time, and record it."""
        process = self.children.running[slot.name]
        self._logs.read(slot)
        self.record_lifecycle(slot, "stopped")
        suspended_at_us = self.hub.now()
        process.signal(signal.SIGSTOP)

        def resume() -> None:
            duration_us = self.hub.now() - suspended_at_us + RESUME_ALLOWANCE_US
            self.recorder.add(rec.HeadPaused(t=suspended_at_us, head=slot.name, us=duration_us, unread=True))
            if self.children.running.get(slot.name) is process:
                self.record_lifecycle(slot, "went-on")
            process.signal(signal.SIGCONT)

        self.run_after(us, resume)

    def pause_unrecorded(self, slot: HeadSlot, us: int) -> None:
        """Suspend a head briefly, without a lifecycle record."""
        process = self.children.running.get(slot.name)
        if process is not None:
            process.signal(signal.SIGSTOP)
            self.run_after(us, lambda: process.signal(signal.SIGCONT))

    def leave(self, slot: HeadSlot) -> None:
        """Ask a head to terminate."""
        self._disconnect_clients(slot)
        self._logs.await_end(slot, self.children.ask_to_end(slot.name))

    def _disconnect_clients(self, slot: HeadSlot) -> None:
        for connection in slot.connections:
            connection.address = None

    # -- cleanup

    def close(self) -> None:
        """Terminate every process that this rig started, by process id, and collect the nodes' recordings."""
        self.relay.close()
        self.children.end_all()
        for name in (*self.nodes, "list"):
            path = self.path(f"{name}.rec")
            if path.exists():
                for record in rec.read(str(path)):
                    self.recorder.add(record)
                path.unlink()


class Interrupted(FleetProcessError):
    """This process received SIGINT or SIGTERM."""


def check_for_processes(day: FleetDaySettings) -> None:
    """Check that a day has no steps that run in simulated time only. Raises SettingsError."""
    for number, step in enumerate(day.steps, start=1):
        if step.name in SIMULATED:
            raise SettingsError(f"{day.name}: step {number} {step.name.value}: in simulated time only")


def play_processes(day: FleetDaySettings, heads: int, seed: int, recorder: rec.Recorder, folder: Path,
                   fleet: bool = True, started: Callable[[ProcessFleet], None] = lambda _rig: None,
                   ) -> ProcessFleet:  # fmt: skip
    """Run a fleet day with processes; the recorder holds the result. Raises FleetProcessError."""
    hub = Hub(seed=seed)
    rig = ProcessFleet(hub, SocketNetwork(hub), day, heads, seed, recorder, folder, fleet)
    started(rig)
    tasks: list[Task] = []

    def main() -> None:
        tasks.append(hub.current())
        rig.run()

    try:
        with on_signals(hub, (signal.SIGINT, signal.SIGTERM), lambda _number: tasks[0].cancel()):
            hub.run(main)
    except Cancelled:
        raise Interrupted("interrupted") from None
    finally:
        rig.close()  # in every case: no child process may be left running
    return rig
