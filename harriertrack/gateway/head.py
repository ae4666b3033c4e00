"""A head: the core wired to its front, its links, its node list and its clock."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING

from harriertrack.config.cells import head_map
from harriertrack.config.settings import FleetSettings, HeadSettings, module_settings, request_rules
from harriertrack.config.sexp import SettingsError
from harriertrack.decisions import Scheduler, interface as api, standstill
from harriertrack.decisions.cell_scheduler import CellScheduler, HeadCellMap, StaleMapError
from harriertrack.decisions.requests import Attempt, ClientRequest, Core, DecisionModule
from harriertrack.gateway.front import NbdFront
from harriertrack.gateway.links import Links
from harriertrack.gateway.listing import Listing
from harriertrack.gateway.mover import Mover
from harriertrack.gateway.parts import HeadParts
from harriertrack.gateway.reception import Reception
from harriertrack.gateway.regional import Regional
from harriertrack.membership.nodes import NodeList
from harriertrack.runtime.alarm import Alarm
from harriertrack.runtime.heartbeat import Heartbeat
from harriertrack.runtime.hub import DeadlineExceeded, Event, Hub, Scope
from harriertrack.runtime.streams import Listener, Network
from harriertrack.storage.extents import ExtentMap
from harriertrack.storage.missed import MissedLog

if TYPE_CHECKING:
    from harriertrack.decisions.fleet.budget_shares import BudgetShares
    from harriertrack.decisions.fleet.rollout.answer_counts import AnswerCounter
    from harriertrack.decisions.fleet.zones.evidence import Evidence
    from harriertrack.gateway.fleet.member import FleetMember
    from harriertrack.gateway.fleet.rollout.carrier import Usage
    from harriertrack.gateway.fleet.rollout.program_user import Handover
    from harriertrack.gateway.fleet.scoring.carrier import Scored
    from harriertrack.runtime.datagrams import DatagramNetwork
    from harriertrack.storage.changes import ChangesCache

MAP_US = 500_000  # how often the file of the cells' map is looked at
STOP_US = 10_000_000  # the longest that a head waits for its open requests when it is asked to stop


def log_nothing(_event: str, **_fields: object) -> None:
    """Log nothing."""


@dataclass(frozen=True, slots=True)
class Wiring:
    """What a head is made of; the laboratory exchanges what lies outside it, or the module for a baseline."""

    links: Callable[[HeadParts], Links] = Links
    listing: Callable[[HeadParts], Listing] = Listing
    module: Callable[[api.Settings, int], Scheduler | CellScheduler] = Scheduler
    datagrams: DatagramNetwork | None = None  # of its fleet; None: sockets
    changes_cache: ChangesCache | None = None  # its copy of the record of changes; None: a file
    wall: Callable[[], int] | None = None  # for rehearsals: another wall clock than the hub's
    scorers: tuple[object, ...] = ()  # plugins beside the installed ones
    handover: Handover | None = None  # what started it, and starts other versions; None: nothing does
    usage: Usage | None = None  # what its process uses; None: it can't be told from others'


class Head:
    """One head on a hub; `run` is its task. Raises SettingsError for a map of cells that can't be."""

    def __init__(self, hub: Hub, network: Network, settings: HeadSettings,
                 note: Callable[..., None] = log_nothing, extents: ExtentMap | None = None,
                 name: str = "head", log: MissedLog | None = None,
                 wiring: Wiring = Wiring()) -> None:  # fmt: skip
        self.hub, self.settings = hub, settings
        self._network, self._note, self._name = network, note, name
        self._extents, self._log, self._wiring = extents, log, wiring
        self._alarm = Alarm(hub, self._flush)
        self._heartbeat = Heartbeat(hub, standstill.CHECK_PERIOD_US, self._look)
        self._stopping = Event(hub)
        self.ready = Event(hub)
        self.trace: Callable[[Attempt], None] | None = None  # hears of every send, for rigs that stamp them
        self._counting: AnswerCounter | None = None  # of its answers, where versions come in stages
        self.address = self.nvme_address = settings.listen
        self.core: Core
        self.reception: Reception
        self.mover: Mover
        self.module: Scheduler | CellScheduler
        self.fleet: FleetMember | None = None
        self.regional: Regional | None = None
        self._portions: BudgetShares | None = None
        self._evidence: Evidence | None = None  # of zones
        self._cells = head_map(settings.cell_map, settings.volumes) if settings.cell_map else None
        self.scored: Scored | None = None
        if settings.fleet is not None and settings.fleet.scoring is not None:
            from harriertrack.gateway.fleet.scoring.carrier import scored_of  # other heads do not load it

            self.scored = scored_of(settings, settings.fleet.scoring, note, wiring.scorers)
        self.nodes = NodeList()
        self.head_id = hub.random.getrandbits(64)

    def run(self) -> None:
        """Serve until `stop` is called; raises OSError if it can't listen, ExtentMapError without its map."""
        hub, settings = self.hub, self.settings
        hub.enter_group(self)
        listeners = self._listen()
        extents = self._extents or ExtentMap(str(Path(settings.state_dir) / "extents"))
        if self._log is None and any(volume.regions for volume in settings.volumes):
            self._log = MissedLog(str(Path(settings.state_dir) / "missed"))
        try:
            with hub.scope(self._name) as scope:
                parts = self._decide(scope, extents)
                self._reach_nodes(parts)
                self._serve(scope, listeners)
                if settings.fleet is not None:
                    self._join(parts, settings.fleet, extents)
                self.core.begin_standstill_checks(hub.now())
                self._heartbeat.start()
                self.ready.set()
                self._stopping.wait()
                self._take_no_more(listeners)
                scope.cancel()
        finally:
            for listener in listeners:
                listener.close()
            self._alarm.cancel()
            self._heartbeat.cancel()
            extents.close()
            if self._log is not None:
                self._log.close()

    def _listen(self) -> list[Listener]:
        """Return the listeners of the fronts: NBD, and NVMe where it is set. Raises OSError."""
        listeners, settings = [self._network.listen(self.settings.listen)], self.settings
        self.address = listeners[0].address
        if settings.nvme is not None:
            try:
                listeners.append(self._network.listen(settings.nvme.listen))
            except OSError:
                listeners[0].close()
                raise
            self.nvme_address = listeners[1].address
        return listeners

    def _decide(self, scope: Scope, extents: ExtentMap) -> HeadParts:
        """Make the module, what observes it for the fleet, and the core; return what all parts know."""
        hub, settings, fleet = self.hub, self.settings, self.settings.fleet
        seed = settings.seed or hub.random.getrandbits(63)
        if fleet is not None and fleet.budgets is not None:
            from harriertrack.gateway.fleet.budgets import create_budget_shares  # other heads do not load it

            self._portions = create_budget_shares(settings, hub)
        self.module = self._module(self._told(settings), seed)
        decides: DecisionModule = self.module
        if self._portions is not None and fleet is not None and fleet.zones is not None:
            from harriertrack.decisions.fleet.zones.evidence import Evidence
            from harriertrack.gateway.fleet.observing import ObservedModule

            self._evidence = Evidence({plan.name for plan in settings.plans if plan.reserve})
            decides = ObservedModule(self.module, self._evidence)
        if self.scored is not None:
            from harriertrack.gateway.fleet.observing import ObservedModule

            decides = ObservedModule(decides, self.scored.sights)
        self._counting = self._counts()
        self.core = Core(request_rules(settings), decides, settings.volumes, self, self.nodes, extents)
        return HeadParts(hub, self._network, scope, settings, self.core, self.nodes, self.head_id, self._note,
                         self._name, self._portions, self._wiring.wall, self._counting)  # fmt: skip

    def _reach_nodes(self, parts: HeadParts) -> None:
        """Start what lies between the core and the nodes: links, list, the other region, moves."""
        hub, settings, scope = self.hub, self.settings, parts.scope
        self._links = self._wiring.links(parts)
        self._listing = self._wiring.listing(parts)
        if any(volume.regions for volume in settings.volumes):
            assert self._log is not None
            self.regional = Regional(hub, self._network, scope, settings, self.core, self._links, self._log,
                                     self._note, self._name, self._portions)  # fmt: skip
        self.mover = Mover(hub, scope, self.core, settings, self._note, self._may_move)
        if isinstance(self.module, CellScheduler):
            self.mover.follow(self.module.map)
            if settings.cell_map:
                scope.spawn("cell map", self._watch_map)

    def _serve(self, scope: Scope, listeners: list[Listener]) -> None:
        """Start the fronts."""
        settings = self.settings
        cells = self.module.map.volumes if isinstance(self.module, CellScheduler) else None
        self.reception = Reception(self.hub, settings, self.core, scope, self._note, self.regional, cells)
        scope.spawn("front", NbdFront(self.reception).serve, listeners[0])
        if settings.nvme is not None:
            from harriertrack.gateway import nvme  # other heads do not load it

            nvme.start(self.reception, listeners[1], settings.nvme)
        if cells is not None:
            scope.spawn("shares", self.reception.monitor_load)

    def _join(self, parts: HeadParts, settings: FleetSettings, extents: ExtentMap) -> None:
        """Take part in the fleet."""
        from harriertrack.gateway.fleet.member import FleetMember
        from harriertrack.gateway.fleet.resources import HeadResources  # other heads do not even load it

        made = self._wiring
        beside = HeadResources(self._listing, extents, self._links.epochs, self.regional, self.apply_settings,
                        self._links.shed, self._evidence, self.scored, made.datagrams, made.changes_cache,
                        made.handover, made.usage)  # fmt: skip
        self.fleet = FleetMember(parts, settings, beside)
        self.fleet.start()

    def _take_no_more(self, listeners: list[Listener]) -> None:
        """Say goodbye, close the fronts, and wait for what is open."""
        if self.fleet is not None:
            self.fleet.leave()
        self.reception.close()
        for listener in listeners:
            listener.close()
        self._drain(self.hub.now() + STOP_US)
        if self.fleet is not None:
            self.fleet.wait_left()

    def _counts(self) -> AnswerCounter | None:
        fleet = self.settings.fleet
        if fleet is None or fleet.changes is None or fleet.changes.rollout is None:
            return None
        from harriertrack.decisions.fleet.rollout.answer_counts import (
            AnswerCounter,  # heads without do not load it
        )

        return AnswerCounter({one.name: (one.aim_us, one.deadline_us) for one in self.settings.classes})

    def _told(self, settings: HeadSettings) -> api.Settings:
        """Return what the decision module is told."""
        told = module_settings(settings)
        if self._portions is not None and self._portions.divides_attempts:
            told = replace(told, budget_free=0.0)  # those are drawn from what the fleet divides
        return told

    def _module(self, told: api.Settings, seed: int) -> Scheduler | CellScheduler:
        """Make the decision module, or where there is a map one for each cell."""
        portions = self._portions
        weights = self.scored.shared.factors if self.scored is not None else None
        if self._cells is not None:
            return CellScheduler(told, seed, self._cells, partial(Scheduler, weights=weights), portions)
        if portions is None and weights is None:
            return self._wiring.module(told, seed)
        return Scheduler(told, seed, None, portions, weights)

    def apply_settings(self, settings: HeadSettings) -> None:
        """Go by other settings from now on; the caller has checked that a running head can take them.

        What came before is decided as things were, and what is open keeps its time.
        """
        now, before, self.settings = self.hub.now(), self.settings, settings
        self.core.flush(now)
        told = self._told(settings)
        if self._portions is not None and settings.fleet is not None and settings.fleet.budgets is not None:
            from harriertrack.gateway.fleet.budgets import budget_specs

            plans, others = (
                {one.name: one for one in module_settings(head).plans} for head in (before, settings)
            )
            self._portions.update_totals(now, plans, others, budget_specs(settings.fleet.budgets))
        self.core.apply_settings(now, request_rules(settings), told)
        self._links.settings = settings
        self.mover.apply_settings(settings)
        if self.regional is not None:
            self.regional.reserves = {plan.name: plan.reserve for plan in settings.plans}
        self.reception.apply_settings(settings)
        if self.fleet is not None and settings.fleet is not None:
            self.fleet.reconfigure(settings.fleet)

    def _may_move(self, volume: str) -> bool:
        # Without a lease's epoch, its own or the holder's, nobody else's newer work would be noticed.
        return self.regional is None or self.regional.acts_on(volume)

    def apply_cell_map(self, cells: HeadCellMap) -> None:
        """Follow a newer map of cells. Raises StaleMapError for one that is not newer."""
        assert isinstance(self.module, CellScheduler), "a head without cells has no map"
        self.module.apply_map(cells)
        self.reception.shares.update_cells(cells.volumes)
        self.mover.follow(cells)

    def _watch_map(self) -> None:
        """Read the map again when its file changes; one that can't be is noted, and the one in hand stays."""
        path, known = self.settings.cell_map, ""
        while True:
            self.hub.sleep(MAP_US)
            try:
                text = Path(path).read_text(encoding="utf-8")
                if text == known:
                    continue
                known = text
                self.apply_cell_map(head_map(path, self.settings.volumes))
            except StaleMapError:
                pass  # the one in hand, or an older one put back
            except (OSError, SettingsError) as error:
                self._note("cell map not taken", why=str(error))
            else:
                self._note("cell map taken", version=self.module.map.version)  # type: ignore[union-attr]

    def stop(self) -> None:
        """Take no more, answer what is open, and end."""
        self._stopping.set()

    def _drain(self, deadline: int) -> None:
        try:
            while self.core.open_requests or (self.regional is not None and self.regional.open):
                self.hub.sleep(10_000)
                if self.hub.now() > deadline:
                    raise DeadlineExceeded()
        except DeadlineExceeded:
            self._note("stopped with open requests", open=self.core.open_requests)

    # -- what the core asks for

    def send(self, attempt: Attempt) -> None:
        """Start an attempt, unless the process stood still since it was decided."""
        now = self.hub.now()
        if self.core.needs_list_refresh(now):
            self.hub.at_end_of_round(lambda: self.core.attempt_ended(now, attempt, api.Result.MOOT))
            return
        if self.trace is not None:
            self.trace(attempt)
        self._links.send(attempt)

    def call_off(self, attempt: Attempt) -> None:
        """Pass a cancel on."""
        self._links.call_off(attempt)

    def answer(self, request: ClientRequest) -> None:
        """Hand a final answer to whoever asked."""
        self.reception.release(request)
        if self._counting is not None:
            self._counting.count_answer(self.hub.now(), request)
        request.requester.answer(request)

    def subscribe(self, on: bool) -> None:
        """Follow the node list, or stop."""
        self._listing.subscribe(on)

    def ask_list(self) -> None:
        """Ask for the node list now."""
        self._listing.request_now()

    def wake_at(self, when: int) -> None:
        """Flush the core at a time."""
        self._alarm.wake_at(when)

    def soon(self) -> None:
        """Flush the core at the end of this round."""
        self._alarm.soon()

    def note(self, text: str) -> None:
        """Log a line of the module."""
        self._note("module", text=text)

    def _look(self) -> None:
        self.core.check_standstill(self.hub.now())

    def _flush(self) -> None:
        self.core.flush(self.hub.now())
