"""Fleet heads on one hub in simulated time."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from functools import partial

from harriertrack.config.settings import FleetSeedSettings, FleetSettings
from harriertrack.decisions.fleet.rollout.launch_state import SavedState
from harriertrack.gateway.head import Wiring
from harriertrack.lab.fleet import regions
from harriertrack.lab.fleet.later import LaterDatagrams
from harriertrack.lab.fleet.launched import SimulatedLauncher
from harriertrack.lab.fleet.rehearsal import Rehearsal, WorseLinks
from harriertrack.lab.fleet.rig import head_settings
from harriertrack.lab.fleet.rig.fleet import LAUNCH, POLL_US, SEEDS, FleetRig
from harriertrack.lab.fleet.rig.partitioned_network import PartitionedNetwork
from harriertrack.lab.fleet.scenario import FleetDaySettings, StepSettings
from harriertrack.lab.fleet.weights import PLUGIN, LyingDatagrams
from harriertrack.lab.rig import REGIONS, HeadSlot
from harriertrack.lab.troubles import apply_faults_for
from harriertrack.rules import recording as rec
from harriertrack.runtime.datagrams import DatagramNetwork, MemoryDatagrams
from harriertrack.runtime.hub import Hub, Task
from harriertrack.runtime.memory_streams import MemoryNetwork
from harriertrack.runtime.streams import Network
from harriertrack.standin.list_service import ListService
from harriertrack.standin.node_server import NodeServer
from harriertrack.standin.relay import NetworkFault
from harriertrack.standin.witness import Witness
from harriertrack.storage.changes import ChangesCache

FIRST_PORT = 40_000


class SimulatedFleet(FleetRig):
    """Fleet heads on one hub in simulated time."""

    def __init__(self, hub: Hub, network: Network, day: FleetDaySettings, heads: int, seed: int,
                 recorder: rec.Recorder, state_dir: str | None = None,
                 fleet: bool = True) -> None:  # fmt: skip
        super().__init__(hub, network, day, heads, seed, recorder, state_dir, fleet)
        self.datagrams = MemoryDatagrams(hub, self.faults.network_faults.draw_delays)
        self.datagrams.tap = self.observer.datagram
        self.witness = Witness(hub, network)
        self._listings = {name: self.new_list_service() for name in REGIONS} if day.regions else {}
        self._witness_backup = b""
        self._later_version: set[str] = set()  # heads that run a later program version
        self._rehearsals: dict[str, Rehearsal] = {}  # by head, where its version is worse
        self._launchers: dict[str, SimulatedLauncher] = {}
        self._launching: dict[str, Task] = {}
        self._disks: dict[str, SavedState] = {}  # the state that launchers save
        self._changes: dict[str, ChangesCache] = {}  # each head's cached record of changes
        self._suspended_until_us: dict[str, int] = {}

    def build(self) -> None:
        """Start the nodes and the list service, and create slots for the heads."""
        day = self.day
        for listing in self._listings.values() or [self.list_service]:
            listing.start(self.scope)
        if self.fleet_day.budgets is not None:
            self.witness.start(self.scope)
        for number in range(day.nodes):
            self.add_node(f"node{number}", number)
        for number in range(day.heads):
            self.add_numbered_head(number)

    @property
    def witness_address(self) -> tuple[str, int]:
        """Return the witness's address for operators."""
        return self.witness.address

    def fleet_settings_of(self, name: str) -> FleetSettings | None:
        """Return a head's fleet settings."""
        if not self.with_fleet:
            return None
        day, number = self.fleet_day, int(name.removeprefix("head"))
        seeds = tuple(
            FleetSeedSettings(name=f"head{one}", address=("127.0.0.1", FIRST_PORT + one))
            for one in range(SEEDS)
        )
        return FleetSettings(
            name=name, listen=("127.0.0.1", FIRST_PORT + number), seeds=seeds,
            budgets=head_settings.budgets_of(day, self.witness_of(name)),
            zones=head_settings.zones_of(day, name),
            changes=day.changes, closing=day.closing, scoring=head_settings.scoring_of(day),
            **head_settings.figures(day),  # type: ignore[arg-type]
        )  # fmt: skip

    def listing_at(self, name: str) -> ListService:
        """Return the list service of a head's or node's region."""
        return self._listings[regions.region_of(name)] if self._listings else self.list_service

    def witness_of(self, name: str) -> tuple[str, int]:
        """Return the address at which a head reaches the witness: on days of two regions, a relay's."""
        if not self.fleet_day.regions or not self.with_fleet:
            return self.witness.address
        return self.streams.route(name, "witness", self.witness.address, self.scope)

    def wiring(self, slot: HeadSlot) -> Wiring:
        """Return the dependencies that a head runs with."""
        datagrams: DatagramNetwork = self.datagrams
        if slot.name in self._later_version:
            datagrams = LaterDatagrams(datagrams)
        if self.is_liar(slot):
            datagrams = LyingDatagrams(datagrams)
        cache = self._changes.setdefault(slot.name, ChangesCache(None))
        wall = self.markets.wall_of(slot) if self.markets is not None else None
        full = Wiring(datagrams=datagrams, changes_cache=cache, wall=wall, scorers=(PLUGIN,),
                      handover=self._launchers.get(slot.name))  # fmt: skip
        worse = self._rehearsals.get(slot.name)
        return replace(full, links=partial(WorseLinks, rehearsal=worse)) if worse is not None else full

    def log_of(self, slot: HeadSlot) -> Callable[..., None]:
        """Return the function that receives a head's log lines."""
        return lambda event, **fields: self.observer.log_line(slot, event, fields)

    def has_launcher(self, slot: HeadSlot) -> bool:
        """Whether a launcher runs for a head."""
        return slot.name in self._launching

    def launch(self, slot: HeadSlot, step: StepSettings) -> None:
        """Start a head, after its previous instance has terminated, which still holds its addresses."""
        while slot.task is not None and not slot.task.done:
            self.hub.sleep(POLL_US)
        self.record_lifecycle(slot, "started")
        if step.fresh:
            self._changes.pop(slot.name, None)
        if self.markets is not None:
            self.markets.set_clock(slot, step)
        (self._later_version.add if step.later else self._later_version.discard)(slot.name)
        slot.settings = head_settings.settings_at_start(self.fleet_day, slot.settings, step)
        if not self.fleet_day.launched:
            self.start_head(slot)
            return
        launcher = SimulatedLauncher(
            self, slot, LAUNCH, self._disks.get(slot.name, SavedState()),
            lambda state: self._disks.__setitem__(slot.name, state),
        )  # fmt: skip
        self._launchers[slot.name] = launcher
        slot.head = slot.task = None
        self._launching[slot.name] = self.scope.spawn(f"launcher {slot.name}", launcher.run)
        while slot.head is None:
            self.hub.sleep(POLL_US)
        slot.head.ready.wait()

    def start_child(self, slot: HeadSlot, rehearsal: Rehearsal) -> None:
        """Start a head of a version; it serves when this returns, unless the rehearsal keeps it from that."""
        if slot.name not in self.views.alive:
            self.record_lifecycle(slot, "started")
        if rehearsal.class_name:
            self._rehearsals[slot.name] = rehearsal
        else:
            self._rehearsals.pop(slot.name, None)
        self.start_head(slot)

    def crash(self, slot: HeadSlot) -> None:
        """Simulate the crash of a head."""
        self.record_lifecycle(slot, "killed")
        self.kill_head(slot)

    def kill(self, slot: HeadSlot) -> None:
        """Kill a head immediately; a suspended one when it resumes, as its tasks can't be ended before."""
        self.hub.sleep_until(self._suspended_until_us.get(slot.name, 0))
        if (launching := self._launching.pop(slot.name, None)) is not None:
            launching.cancel()
        self.record_lifecycle(slot, "killed")
        self.kill_head(slot)

    def suspend(self, slot: HeadSlot, us: int) -> None:
        """Suspend a head for a time, and record it."""
        self.record_lifecycle(slot, "stopped")
        self.recorder.add(rec.HeadPaused(t=self.hub.now(), head=slot.name, us=us))
        self.pause_unrecorded(slot, us)
        self.run_after(
            us, lambda: self.record_lifecycle(slot, "went-on") if slot.name in self.views.alive else None
        )

    def pause_unrecorded(self, slot: HeadSlot, us: int) -> None:
        """Suspend a head briefly, without a lifecycle record."""
        self._suspended_until_us[slot.name] = self.hub.now() + us
        self.hub.freeze(slot.head, us)

    def leave(self, slot: HeadSlot) -> None:
        """Ask a head to terminate; its launcher ends with it and does not restart it."""
        if (launching := self._launching.pop(slot.name, None)) is not None:
            launching.cancel()
        self.end_child(slot)

    def end_child(self, slot: HeadSlot) -> None:
        """Ask a head to terminate."""
        assert slot.head is not None
        for connection in slot.connections:
            connection.address = None
        slot.head.stop()

    def cut_zone(self, zone: str, slots: list[HeadSlot], us: int) -> None:
        """Stop a zone's nodes silently and restart them cold; or cut some heads off from its nodes."""
        nodes = self.in_zone(zone)
        if len(slots) == len(self.heads):
            for node in nodes:
                if node.up:
                    node.stop(silent=True)

            def restart() -> None:
                for node in nodes:
                    if not node.up:
                        self.restart_node(node)

            self.run_after(us, restart)
            return
        names = frozenset(slot.name for slot in slots)
        self.faults.begin(NetworkFault(names, frozenset(one.settings.name for one in nodes), cut=True), us)

    def network_of(self, slot: HeadSlot) -> Network:
        """Return the network for a head's streams, which may be cut off from the witness."""
        return PartitionedNetwork(
            self.hub, self.network,
            lambda address: address == self.witness.address and self._is_cut(slot.name, "witness"),
        )  # fmt: skip

    def _is_cut(self, head: str, party: str) -> bool:
        """Whether streams between two parties fail: a cut in either direction suffices."""
        faults = self.faults.network_faults
        return bool(len(faults)) and (faults.is_cut(head, party) or faults.is_cut(party, head))

    def apply_network_faults(self) -> None:
        """Apply the active faults to streams, and set at each node the heads that it is cut off from."""
        super().apply_network_faults()
        for name, shelf in self.nodes.items():
            cut_off = frozenset(slot.head.head_id for slot in self.heads
                                if slot.head is not None and self._is_cut(slot.name, name))  # fmt: skip
            if cut_off != shelf.faults.cut_off:
                shelf.faults = replace(shelf.faults, cut_off=cut_off)
                shelf.resume()

    def start_head(self, slot: HeadSlot) -> None:
        """Start a head with only its state on disk, and make it reachable for others."""
        super().start_head(slot)
        if self.fleet_day.regions and slot.head is not None:
            regions.set_partner_address(self, slot.name, slot.head.address)
        if len(self.faults.network_faults):
            self.apply_network_faults()

    def slow_zone(self, zone: str, times: float, us: int) -> None:
        """Slow a zone's nodes down for a time."""
        self._add_node_faults(self.in_zone(zone), us, slow=times)

    def _add_node_faults(self, nodes: list[NodeServer], us: int, **faults: object) -> None:
        self.extend_fault_time(us)
        self.scope.spawn("nodes at fault", partial(apply_faults_for, self, nodes, us, **faults))

    def back_up_witness(self) -> None:
        """Save a backup of the witness's state."""
        self._witness_backup = self.witness.backup()

    def take_witness_down(self, us: int, old: bool) -> None:
        """Stop the witness for a time; `old`: it restarts with the backup's state."""
        self.witness.down = True

        def restart() -> None:
            self.witness.down = False
            if old and self._witness_backup:
                self.witness.restore(self._witness_backup)

        self.run_after(us, restart)


def simulate(day: FleetDaySettings, heads: int, seed: int, recorder: rec.Recorder,
             fleet: bool = True) -> FleetRig:  # fmt: skip
    """Run a fleet day in simulated time; the recorder holds the result."""
    hub = Hub.virtual(seed)
    rig = SimulatedFleet(hub, MemoryNetwork(hub), day, heads, seed, recorder, None, fleet)
    hub.run(rig.run)
    return rig
