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
from harriertrack.lab.fleet.processes.machine import Machine
from harriertrack.lab.fleet.processes.nodes import ShelfProcess
from harriertrack.lab.fleet.processes.places import Places
from harriertrack.lab.fleet.processes.waits import PASSING_US, READY_US, TURN_US, WOKE_US
from harriertrack.lab.fleet.processes.witness import WitnessProcess
from harriertrack.lab.fleet.rig import LOOK_US, SEEDS, FleetRig, told
from harriertrack.lab.fleet.scenario import SIMULATED, FleetDaySettings, StepSettings
from harriertrack.lab.rig import HeadSlot
from harriertrack.rules import recording as rec
from harriertrack.runtime.datagrams import SocketDatagrams
from harriertrack.runtime.hub import Cancelled, DeadlineExceeded, Hub, Task
from harriertrack.runtime.signals import on_signals
from harriertrack.runtime.streams import SocketNetwork
from harriertrack.standin.node import ShardStorage
from harriertrack.standin.relay import MemberRelays, NetworkFault

SLOW_US = 20_000  # what once slower takes longer on the way


class ProcessFleet(FleetRig):
    """Heads and nodes as processes on loopback."""

    def __init__(self, hub: Hub, network: SocketNetwork, day: FleetDaySettings, heads: int, seed: int,
                 recorder: rec.Recorder, folder: Path, fleet: bool = True) -> None:  # fmt: skip
        super().__init__(hub, network, day, heads, seed, recorder, str(folder), fleet)
        self._folder = folder
        self.places = Places()
        self.relay = MemberRelays(hub, SocketDatagrams(hub), self.faults.weather, self.places.host)
        self.relay.tap = self.hearing.datagram
        self.children = Children(folder, day.scoring is not None)
        self._logs = Logs(self)
        self._witness = WitnessProcess(self, self.places.next())
        self._there: dict[str, tuple[str, int]] = {}  # where heads are told by
        self._nbd = {f"head{number}": self.places.next() for number in range(heads)}
        self._inner: dict[str, tuple[str, int]] = {}

    def cpu_s(self) -> dict[str, float]:
        """Return the processor time that each running head has used."""
        names = [slot.name for slot in self.heads]
        return {name: one.cpu_s for name, one in self.children.running.items() if name in names}

    def path(self, name: str) -> Path:
        """Return where a file of this day lies."""
        return self._folder / name

    def _facts(self) -> rec.Facts:
        # What heads send passes relays of this process, and so do answers to its clients: on a machine that
        # is busy with all these processes they wait their turn.
        return msgspec.structs.replace(super()._facts(), answer_slack_us=PASSING_US, flight_us=PASSING_US)

    # -- building

    def build(self) -> None:
        """Start the nodes, and make places, relays and lists for the heads."""
        day = self.day
        names = [f"head{number}" for number in range(day.heads)]
        for name in names:
            self._inner[name] = self.places.next()
            self._there[name] = self.relay.add_member(name, self._inner[name])
        for number in range(day.nodes):
            self.add_node(f"node{number}", number)
        zones = {name: shelf.settings.zone for name, shelf in self.shelves.items()}
        if self.fleet_day.budgets is not None:
            self._witness.start()
        entrances = []
        for name in names:
            nodes = tuple(
                NodeSettings(
                    name=node, address=self._link(name, node, shelf.address), shard=shard, zone=zones[node]
                )  # fmt: skip
                for shard, (node, shelf) in enumerate(self.shelves.items())
                if not self.fleet_day.regions or regions.region_of(node) == regions.region_of(name)
            )
            entrances.append(ListEndpointSettings(name=name, listen=self.places.next(), nodes=nodes))
        path = self.path("list.sexp")
        path.write_text(format_settings("list-service", ListServiceSettings(entrances=tuple(entrances))))
        arguments = ["standin", "list", str(path), "--record", str(self.path("list.rec"))]
        listing = self.start_process("list", arguments)
        for shelf in self.shelves.values():  # all have started: their imports take a while side by side
            cast(ShelfProcess, shelf).await_listening()
        if self.fleet_day.budgets is not None:
            self._witness.await_listening()
        self.await_listening(listing, entrances[-1].listen)
        for number, (name, entrance) in enumerate(zip(names, entrances, strict=True)):
            slot = self.place_head(number)
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

    def zone_dark(self, zone: str, who: list[HeadSlot], us: int) -> None:
        """Cut the relays between some heads and a zone's nodes for a time; the nodes know nothing of it."""
        sources = frozenset(slot.name for slot in who)
        nodes = frozenset(shelf.settings.name for shelf in self.in_zone(zone))
        self.faults.strike(NetworkFault(sources, nodes, cut=True), us)

    def zone_slow(self, zone: str, times: float, us: int) -> None:
        """Let what passes between heads and a zone's nodes take longer: as if these were slow."""
        sources = frozenset(slot.name for slot in self.heads)
        nodes = frozenset(shelf.settings.name for shelf in self.in_zone(zone))
        self.faults.strike(NetworkFault(sources, nodes, late_us=int(times * SLOW_US)), us)

    def backup(self) -> None:
        """Keep aside what the witness knows."""
        self._witness.backup()

    def dark(self, us: int, old: bool) -> None:
        """Take the witness away for a time; `old`: it comes back as of the backup."""
        self._witness.dark(us, old)

    def _link(self, head: str, party: str, address: tuple[str, int]) -> tuple[str, int]:
        """Put a relay of streams between a head and a node or the list; return where the head finds it."""
        return self.streams.between(head, party, address, self.scope)

    def new_shelf(  # type: ignore[override]
        self, settings: NodeStandInSettings, rack: ShardStorage, meter: object, seed: int
    ) -> ShelfProcess:
        """Start a storage node as a process."""
        settings = msgspec.structs.replace(settings, listen=self.places.next())
        return ShelfProcess(self, settings)

    def await_listening(self, process: Process, address: tuple[str, int]) -> None:
        """Wait until a process takes connections. Raises FleetProcessError."""
        until = self.hub.now() + READY_US
        while True:
            try:
                self.network.connect(address, until).close()
                return
            except ConnectionRefusedError:
                if process.ended or self.hub.now() > until:
                    raise FleetProcessError(f"{process.name} does not listen; see {process.log}") from None
                self.hub.sleep(LOOK_US)
            except (OSError, DeadlineExceeded) as error:
                raise FleetProcessError(f"{process.name}: {error}; see {process.log}") from error

    def start_process(self, name: str, arguments: list[str], group: bool = False) -> Process:
        """Start a child whose log lies in the day's folder."""
        return self.children.start(name, arguments, group)

    def await_witness(self) -> None:
        """Wait until the witness is there again, where it was taken away."""
        if self.fleet_day.budgets is not None:
            self._witness.await_back()

    @property
    def witness_address(self) -> tuple[str, int]:
        """Return where operators find the witness."""
        return self._witness.address

    def witness_of(self, name: str) -> tuple[str, int]:
        """Return where a head finds the witness."""
        return self._link(name, "witness", self._witness.address)

    def fleet_of(self, name: str) -> FleetSettings | None:
        """Return what a head is told of its fleet."""
        if not self.with_fleet:
            return None
        day = self.fleet_day
        seeds = tuple(
            FleetSeedSettings(name=one, address=self._there[one]) for one in list(self._there)[:SEEDS]
        )
        return FleetSettings(
            name=name, listen=self._inner[name], advertise=self._there[name], seeds=seeds,
            budgets=told.budgets_of(day, self.witness_of(name))
            if day.budgets is not None else None,
            zones=told.zones_of(day, name), changes=day.changes, closing=day.closing,
            scoring=told.scoring_of(day),
            **told.figures(day),  # type: ignore[arg-type]
        )  # fmt: skip

    # -- heads

    def entrance(self, slot: HeadSlot) -> tuple[str, int] | None:
        """Return where clients find a head; None while it is not up."""
        return self._nbd[slot.name] if slot.name in self.children.running else None

    def launched(self, slot: HeadSlot) -> bool:
        """Whether a launcher is at work for a head."""
        return self.fleet_day.launched and slot.name in self.children.running

    def launch(self, slot: HeadSlot, step: StepSettings) -> None:
        """Start a head; one that still leaves is awaited, for it holds its addresses."""
        while self._logs.still_leaves(slot):
            self.hub.sleep(LOOK_US)
        if step.fresh:
            shutil.rmtree(self.path(slot.name), ignore_errors=True)
        self.lived(slot, "started")
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
        if self.lies(slot):
            arguments.append("--as-liar")
        if self.fleet_day.scoring_later is not None:
            settings = told.at_start(self.fleet_day, slot.settings, step)
            self.path(f"{slot.name}.sexp").write_text(format_settings("head", settings))
        self.start_process(slot.name, arguments)
        self.hub.sleep(TURN_US)  # dozens that start together would hold the relays up
        for connection in slot.connections:
            connection.address = self.entrance(slot)

    def kill(self, slot: HeadSlot) -> None:
        """End a head at once."""
        self._logs.read(slot)
        self.lived(slot, "killed")
        self._turn_clients_away(slot)
        process = self.children.running.pop(slot.name)
        self.recorder.add(rec.HeadLifecycle(t=self.hub.now(), head=slot.name, number=0, up=False))
        process.signal(signal.SIGKILL)
        while not process.ended:  # not waited for: what others send passes this process
            self.hub.sleep(TURN_US)

    def stand(self, slot: HeadSlot, us: int) -> None:
        """Let a head stand still for a time."""
        process = self.children.running[slot.name]
        self._logs.read(slot)
        self.lived(slot, "stopped")
        since = self.hub.now()
        process.signal(signal.SIGSTOP)

        def go_on() -> None:
            stood = self.hub.now() - since + WOKE_US
            self.recorder.add(rec.HeadPaused(t=since, head=slot.name, us=stood, unread=True))
            if self.children.running.get(slot.name) is process:
                self.lived(slot, "went-on")
            process.signal(signal.SIGCONT)

        self.later(us, go_on)

    def pause(self, slot: HeadSlot, us: int) -> None:
        """Let a head stand still for a moment that nobody need hear of."""
        process = self.children.running.get(slot.name)
        if process is not None:
            process.signal(signal.SIGSTOP)
            self.later(us, lambda: process.signal(signal.SIGCONT))

    def leave(self, slot: HeadSlot) -> None:
        """Ask a head to end."""
        self._turn_clients_away(slot)
        self._logs.leaves(slot, self.children.ask_to_end(slot.name))

    def _turn_clients_away(self, slot: HeadSlot) -> None:
        for connection in slot.connections:
            connection.address = None

    # -- the end

    def close(self) -> None:
        """End every process that this rig started, by its id, and gather what the nodes recorded."""
        self.relay.close()
        self.children.end_all()
        for name in (*self.shelves, "list"):
            path = self.path(f"{name}.rec")
            if path.exists():
                for record in rec.read(str(path)):
                    self.recorder.add(record)
                path.unlink()


class Interrupted(FleetProcessError):
    """Somebody asked this process to end."""


def check_for_processes(day: FleetDaySettings) -> None:
    """Check that a day has nothing that only simulated ones have. Raises SettingsError."""
    for number, step in enumerate(day.steps, start=1):
        if step.name in SIMULATED:
            raise SettingsError(f"{day.name}: step {number} {step.name.value}: in simulated time only")


def play_processes(day: FleetDaySettings, heads: int, seed: int, recorder: rec.Recorder, folder: Path,
                   fleet: bool = True, started: Callable[[ProcessFleet], None] = lambda _rig: None,
                   ) -> ProcessFleet:  # fmt: skip
    """Play a fleet's day over processes; all is in the recorder then. Raises FleetProcessError."""
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
        rig.close()  # whatever happened: nothing that was started stays
    return rig
