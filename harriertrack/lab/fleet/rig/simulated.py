"""Heads of a fleet on one hub in simulated time."""

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
from harriertrack.lab.fleet.rig import told
from harriertrack.lab.fleet.rig.fleet import LAUNCH, LOOK_US, SEEDS, FleetRig
from harriertrack.lab.fleet.rig.reached import Reached
from harriertrack.lab.fleet.scenario import FleetDaySettings, StepSettings
from harriertrack.lab.fleet.weights import PLUGIN, LyingDatagrams
from harriertrack.lab.rig import REGIONS, HeadSlot
from harriertrack.lab.troubles import for_a_while
from harriertrack.rules import recording as rec
from harriertrack.runtime.datagrams import DatagramNetwork, MemoryDatagrams
from harriertrack.runtime.hub import Hub, Task
from harriertrack.runtime.streams import MemoryNetwork, Network
from harriertrack.standin.list_service import ListService
from harriertrack.standin.node_server import NodeServer
from harriertrack.standin.relay import NetworkFault
from harriertrack.standin.witness import Witness
from harriertrack.storage.changes import ChangesCache

FIRST_PORT = 40_000


class SimulatedFleet(FleetRig):
    """Heads on one hub in simulated time."""

    def __init__(self, hub: Hub, network: Network, day: FleetDaySettings, heads: int, seed: int,
                 recorder: rec.Recorder, state_dir: str | None = None,
                 fleet: bool = True) -> None:  # fmt: skip
        super().__init__(hub, network, day, heads, seed, recorder, state_dir, fleet)
        self.datagrams = MemoryDatagrams(hub, self.faults.weather.draw_delays)
        self.datagrams.tap = self.hearing.datagram
        self.witness = Witness(hub, network)
        self._listings = {name: self.new_listing() for name in REGIONS} if day.regions else {}
        self._kept = b""
        self._later: set[str] = set()
        self._bad: dict[str, Rehearsal] = {}  # what runs at heads whose version is worse
        self._launchers: dict[str, SimulatedLauncher] = {}
        self._launching: dict[str, Task] = {}
        self._disks: dict[str, SavedState] = {}  # what launchers keep
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
        day, number = self.fleet_day, int(name.removeprefix("head"))
        seeds = tuple(
            FleetSeedSettings(name=f"head{one}", address=("127.0.0.1", FIRST_PORT + one))
            for one in range(SEEDS)
        )
        return FleetSettings(
            name=name, listen=("127.0.0.1", FIRST_PORT + number), seeds=seeds,
            budgets=told.budgets_of(day, self.witness_of(name)), zones=told.zones_of(day, name),
            changes=day.changes, closing=day.closing, scoring=told.scoring_of(day),
            **told.figures(day),  # type: ignore[arg-type]
        )  # fmt: skip

    def listing_at(self, name: str) -> ListService:
        """Return the list service of a head or node."""
        return self._listings[regions.region_of(name)] if self._listings else self.listing

    def witness_of(self, name: str) -> tuple[str, int]:
        """Return where a head finds the witness; on days of two regions through a relay."""
        if not self.fleet_day.regions or not self.with_fleet:
            return self.witness.address
        return self.streams.between(name, "witness", self.witness.address, self.scope)

    def wiring(self, slot: HeadSlot) -> Wiring:
        """Return what a head is made of."""
        datagrams: DatagramNetwork = self.datagrams
        if slot.name in self._later:
            datagrams = LaterDatagrams(datagrams)
        if self.lies(slot):
            datagrams = LyingDatagrams(datagrams)
        kept = self._changes.setdefault(slot.name, ChangesCache(None))
        wall = self.markets.wall_of(slot) if self.markets is not None else None
        made = Wiring(datagrams=datagrams, changes_cache=kept, wall=wall, scorers=(PLUGIN,),
                      handover=self._launchers.get(slot.name))  # fmt: skip
        bad = self._bad.get(slot.name)
        return replace(made, links=partial(WorseLinks, rehearsal=bad)) if bad is not None else made

    def note_of(self, slot: HeadSlot) -> Callable[..., None]:
        """Return what hears a head's log."""
        return lambda event, **fields: self.hearing.log_line(slot, event, fields)

    def launched(self, slot: HeadSlot) -> bool:
        """Whether a launcher is at work for a head."""
        return slot.name in self._launching

    def launch(self, slot: HeadSlot, step: StepSettings) -> None:
        """Start a head; one that still leaves is awaited, for it holds its addresses."""
        while slot.task is not None and not slot.task.done:
            self.hub.sleep(LOOK_US)
        self.lived(slot, "started")
        if step.fresh:
            self._changes.pop(slot.name, None)
        if self.markets is not None:
            self.markets.set_clock(slot, step)
        (self._later.add if step.later else self._later.discard)(slot.name)
        slot.settings = told.at_start(self.fleet_day, slot.settings, step)
        if not self.fleet_day.launched:
            self.start_head(slot)
            return
        launcher = SimulatedLauncher(
            self, slot, LAUNCH, self._disks.get(slot.name, SavedState()),
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
        if slot.name not in self.views.alive:
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
        self.recorder.add(rec.HeadPaused(t=self.hub.now(), head=slot.name, us=us))
        self.pause(slot, us)
        self.later(us, lambda: self.lived(slot, "went-on") if slot.name in self.views.alive else None)

    def pause(self, slot: HeadSlot, us: int) -> None:
        """Let a head stand still for a moment that nobody need hear of."""
        self._still_until[slot.name] = self.hub.now() + us
        self.hub.freeze(slot.head, us)

    def leave(self, slot: HeadSlot) -> None:
        """Ask a head to end; its launcher ends with it, and starts none in its place."""
        if (launching := self._launching.pop(slot.name, None)) is not None:
            launching.cancel()
        self.end_child(slot)

    def end_child(self, slot: HeadSlot) -> None:
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
        names = frozenset(slot.name for slot in who)
        self.faults.strike(NetworkFault(names, frozenset(one.settings.name for one in struck), cut=True), us)

    def network_of(self, slot: HeadSlot) -> Network:
        """Return what a head's streams go over: it may be cut off from the witness."""
        return Reached(
            self.hub, self.network,
            lambda address: address == self.witness.address and self._apart(slot.name, "witness"),
        )  # fmt: skip

    def _apart(self, head: str, party: str) -> bool:
        """Whether no stream comes about, or goes on, between two: what passes one way alone is none."""
        weather = self.faults.weather
        return bool(len(weather)) and (weather.is_cut(head, party) or weather.is_cut(party, head))

    def weather_changed(self) -> None:
        """Let streams follow the faults in force, and nodes from whom they are cut off."""
        super().weather_changed()
        for name, shelf in self.shelves.items():
            apart = frozenset(slot.head.head_id for slot in self.heads
                              if slot.head is not None and self._apart(slot.name, name))  # fmt: skip
            if apart != shelf.faults.cut_off:
                shelf.faults = replace(shelf.faults, cut_off=apart)
                shelf.resume()

    def start_head(self, slot: HeadSlot) -> None:
        """Start a head with nothing but what it kept on disk, and let others find it."""
        super().start_head(slot)
        if self.fleet_day.regions and slot.head is not None:
            regions.set_partner_address(self, slot.name, slot.head.address)
        if len(self.faults.weather):
            self.weather_changed()

    def zone_slow(self, zone: str, times: float, us: int) -> None:
        """Let a zone's nodes work slower for a time."""
        self._faulty(self.in_zone(zone), us, slow=times)

    def _faulty(self, struck: list[NodeServer], us: int, **faults: object) -> None:
        self.lasts(us)
        self.scope.spawn("nodes at fault", partial(for_a_while, self, struck, us, **faults))

    def backup(self) -> None:
        """Keep aside what the witness knows."""
        self._kept = self.witness.backup()

    def dark(self, us: int, old: bool) -> None:
        """Take the witness away for a time; `old`: it comes back as of the backup."""
        self.witness.down = True

        def back() -> None:
            self.witness.down = False
            if old and self._kept:
                self.witness.restore(self._kept)

        self.later(us, back)


def simulate(day: FleetDaySettings, heads: int, seed: int, recorder: rec.Recorder,
             fleet: bool = True) -> FleetRig:  # fmt: skip
    """Play a fleet's day in simulated time; all is in the recorder then."""
    hub = Hub.virtual(seed)
    rig = SimulatedFleet(hub, MemoryNetwork(hub), day, heads, seed, recorder, None, fleet)
    hub.run(rig.run)
    return rig
