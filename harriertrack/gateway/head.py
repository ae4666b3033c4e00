"""A head: the core wired to its front, its links, its node list and its clock."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING

from harriertrack.config.cells import load_head_cell_map
from harriertrack.config.settings import FleetSettings, HeadSettings, module_settings, request_rules
from harriertrack.config.sexp import SettingsError
from harriertrack.decisions import Scheduler, interface as api, standstill
from harriertrack.decisions.cell_scheduler import CellScheduler, HeadCellMap, StaleMapError
from harriertrack.decisions.gateway_shutdown import (
    CHECK_PERIOD_US,
    GatewayShutdown,
    OpenWork,
    StopPhase,
)
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
from harriertrack.runtime.hub import Event, Hub, Scope
from harriertrack.runtime.streams import Listener, Network
from harriertrack.storage.extents import ExtentMap
from harriertrack.storage.missed import MissedLog

if TYPE_CHECKING:
    from harriertrack.decisions.fleet.budget_shares import BudgetShares
    from harriertrack.decisions.fleet.rollout.answer_counts import AnswerCounter
    from harriertrack.decisions.fleet.zones.evidence import Evidence
    from harriertrack.gateway.fleet.member import FleetMember
    from harriertrack.gateway.fleet.rollout.carrier import UsageReader
    from harriertrack.gateway.fleet.rollout.program_user import Handover
    from harriertrack.gateway.fleet.scoring.carrier import ScoringState
    from harriertrack.runtime.datagrams import DatagramNetwork
    from harriertrack.storage.changes import ChangesCache

MAP_US = 500_000  # how often the file of the cell map is checked


def log_nothing(_event: str, **_fields: object) -> None:
    """Log nothing."""


@dataclass(frozen=True, slots=True)
class Wiring:
    """A head's replaceable components: the lab replaces its surroundings, or the module by a baseline."""

    links: Callable[[HeadParts], Links] = Links
    listing: Callable[[HeadParts], Listing] = Listing
    module: Callable[[api.Settings, int], Scheduler | CellScheduler] = Scheduler
    datagrams: DatagramNetwork | None = None  # for the fleet's messages; None: sockets
    changes_cache: ChangesCache | None = None  # its copy of the record of changes; None: a file
    wall: Callable[[], int] | None = None  # for rehearsals: another wall clock than the hub's
    scorers: tuple[object, ...] = ()  # plugins in addition to the installed ones
    handover: Handover | None = None  # to the launcher that runs this head and can start other versions
    usage: UsageReader | None = None  # of its process; None: its process runs other heads too


class Head:
    """One head on a hub; `run` is its task. Raises SettingsError for an invalid cell map."""

    def __init__(self, hub: Hub, network: Network, settings: HeadSettings,
                 note: Callable[..., None] = log_nothing, extents: ExtentMap | None = None,
                 name: str = "head", log: MissedLog | None = None,
                 wiring: Wiring = Wiring()) -> None:  # fmt: skip
        self.hub, self.settings = hub, settings
        self._network, self._note, self._name = network, note, name
        self._extents, self._log, self._wiring = extents, log, wiring
        self._alarm = Alarm(hub, self._flush, at_round_end=True)
        self._heartbeat = Heartbeat(hub, standstill.CHECK_PERIOD_US, self._check_standstill)
        self._stopping = Event(hub)
        self._stop_asked_at = 0
        self.ready = Event(hub)
        self.trace: Callable[[Attempt], None] | None = None  # called for each send, for test harnesses
        self._answer_counter: AnswerCounter | None = None  # for rollouts of versions in stages
        self.address = self.nvme_address = settings.listen
        self.core: Core
        self.reception: Reception
        self.mover: Mover
        self.module: Scheduler | CellScheduler
        self.fleet: FleetMember | None = None
        self.regional: Regional | None = None
        self._budget_shares: BudgetShares | None = None
        self._evidence: Evidence | None = None  # of zones
        self._cells = load_head_cell_map(settings.cell_map, settings.volumes) if settings.cell_map else None
        self.scoring_state: ScoringState | None = None
        if settings.fleet is not None and settings.fleet.scoring is not None:
            from harriertrack.gateway.fleet.scoring.carrier import (
                create_scoring_state,  # loaded only where it is used
            )

            self.scoring_state = create_scoring_state(settings, settings.fleet.scoring, note, wiring.scorers)
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
                parts = self._make_core(scope, extents)
                self._start_node_side(parts)
                self._start_fronts(scope, listeners)
                if settings.fleet is not None:
                    self._join_fleet(parts, settings.fleet, extents)
                self.core.begin_standstill_checks(hub.now())
                self._heartbeat.start()
                self.ready.set()
                self._stopping.wait()
                self._shut_down(listeners)
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
        """Return the listeners of the fronts: NBD, and NVMe if configured. Raises OSError."""
        listeners, settings = [self._listen_at(self.settings.listen)], self.settings
        self.address = listeners[0].address
        if settings.nvme is not None:
            try:
                listeners.append(self._listen_at(settings.nvme.listen))
            except OSError:
                listeners[0].close()
                raise
            self.nvme_address = listeners[1].address
        return listeners

    def _listen_at(self, address: tuple[str, int]) -> Listener:
        listener = self._network.listen(address)
        if self.settings.has_ordered_classes:
            listener.record_arrivals()
        return listener

    def _make_core(self, scope: Scope, extents: ExtentMap) -> HeadParts:
        """Create the decision module, its observers for the fleet, and the core; return the shared parts."""
        hub, settings, fleet = self.hub, self.settings, self.settings.fleet
        seed = settings.seed or hub.random.getrandbits(63)
        if fleet is not None and fleet.budgets is not None:
            from harriertrack.gateway.fleet.budgets import create_budget_shares  # loaded if used

            self._budget_shares = create_budget_shares(settings, hub)
        self.module = self._make_module(self._module_settings(settings), seed)
        module: DecisionModule = self.module
        if self._budget_shares is not None and fleet is not None and fleet.zones is not None:
            from harriertrack.decisions.fleet.zones.evidence import Evidence
            from harriertrack.gateway.fleet.observing import ObservedModule

            self._evidence = Evidence({plan.name for plan in settings.plans if plan.reserve})
            module = ObservedModule(self.module, self._evidence)
        if self.scoring_state is not None:
            from harriertrack.gateway.fleet.observing import ObservedModule

            module = ObservedModule(module, self.scoring_state.observer)
        self._answer_counter = self._make_answer_counter()
        self.core = Core(request_rules(settings), module, settings.volumes, self, self.nodes, extents)
        return HeadParts(hub, self._network, scope, settings, self.core, self.nodes, self.head_id, self._note,
                         self._name, self._budget_shares, self._wiring.wall,
                         self._answer_counter)  # fmt: skip

    def _start_node_side(self, parts: HeadParts) -> None:
        """Start the parts between the core and the nodes: links, node list, the other region, moves."""
        hub, settings, scope = self.hub, self.settings, parts.scope
        self._links = self._wiring.links(parts)
        self._listing = self._wiring.listing(parts)
        if any(volume.regions for volume in settings.volumes):
            assert self._log is not None
            self.regional = Regional(hub, self._network, scope, settings, self.core, self._links, self._log,
                                     self._note, self._name, self._budget_shares)  # fmt: skip
        self.mover = Mover(hub, scope, self.core, settings, self._note, self._may_move)
        if isinstance(self.module, CellScheduler):
            self.mover.follow(self.module.map)
            if settings.cell_map:
                scope.spawn("cell map", self._watch_map)

    def _start_fronts(self, scope: Scope, listeners: list[Listener]) -> None:
        """Start the fronts."""
        settings = self.settings
        cells = self.module.map.volumes if isinstance(self.module, CellScheduler) else None
        self.reception = Reception(self.hub, settings, self.core, scope, self._note, self.regional, cells)
        scope.spawn("front", NbdFront(self.reception).serve, listeners[0])
        if settings.nvme is not None:
            from harriertrack.gateway import nvme  # loaded only where it is used

            nvme.start(self.reception, listeners[1], settings.nvme)
        if cells is not None:
            scope.spawn("shares", self.reception.monitor_load)

    def _join_fleet(self, parts: HeadParts, settings: FleetSettings, extents: ExtentMap) -> None:
        """Join the fleet."""
        from harriertrack.gateway.fleet.member import FleetMember  # loaded only where it is used
        from harriertrack.gateway.fleet.resources import HeadResources

        wiring = self._wiring
        resources = HeadResources(self._listing, extents, self._links.epochs, self.regional,
                                  self.apply_settings, self._links.shed, self._evidence, self.scoring_state,
                                  wiring.datagrams, wiring.changes_cache, wiring.handover,
                                  wiring.usage)  # fmt: skip
        self.fleet = FleetMember(parts, settings, resources)
        self.fleet.start()

    def _shut_down(self, listeners: list[Listener]) -> None:
        """Announce the departure, close the fronts, answer open requests, and let the clients go."""
        if self.fleet is not None:
            self.fleet.leave()
        self.reception.close()
        for listener in listeners:
            listener.close()
        self._finish(GatewayShutdown(self._stop_asked_at))
        if self.fleet is not None:
            self.fleet.wait_left()

    def _finish(self, shutdown: GatewayShutdown) -> None:
        """Go through the phases of the end."""
        phase = shutdown.phase
        while phase is not StopPhase.ENDED:
            if phase is not (phase := shutdown.advance(self.hub.now(), self._open_work())):
                self._enter_stop_phase(phase)
            self.hub.sleep(CHECK_PERIOD_US)  # also lets the answers of this phase be written

    def _enter_stop_phase(self, phase: StopPhase) -> None:
        if phase is StopPhase.SENDING:
            self._fail_open()
        elif phase is StopPhase.PARTING:
            self.reception.part()

    def _open_work(self) -> OpenWork:
        requests = self.core.open_requests + (self.regional.open if self.regional is not None else 0)
        return OpenWork(requests, self.reception.unquiet_sessions(), self.reception.sessions)

    def _fail_open(self) -> None:
        """Answer what is still open when the time is up: nothing is known of its effect."""
        if self.core.open_requests:
            self._note("stopped with open requests", open=self.core.open_requests)
        if self.regional is not None:
            self.regional.fail_open()
        self.core.fail_open()

    def _make_answer_counter(self) -> AnswerCounter | None:
        fleet = self.settings.fleet
        if fleet is None or fleet.changes is None or fleet.changes.rollout is None:
            return None
        from harriertrack.decisions.fleet.rollout.answer_counts import (
            AnswerCounter,  # loaded only where it is used
        )

        return AnswerCounter({one.name: (one.aim_us, one.deadline_us) for one in self.settings.classes})

    def _module_settings(self, settings: HeadSettings) -> api.Settings:
        """Return the settings of the decision module."""
        module = module_settings(settings)
        if self._budget_shares is not None and self._budget_shares.divides_attempts:
            module = replace(module, budget_free=0.0)  # these attempts come from the fleet-wide budget
        return module

    def _make_module(self, settings: api.Settings, seed: int) -> Scheduler | CellScheduler:
        """Create the decision module, or one for each cell if there is a cell map."""
        shares = self._budget_shares
        weights = self.scoring_state.shared.factors if self.scoring_state is not None else None
        if self._cells is not None:
            return CellScheduler(settings, seed, self._cells, partial(Scheduler, weights=weights), shares)
        if shares is None and weights is None:
            return self._wiring.module(settings, seed)
        return Scheduler(settings, seed, None, shares, weights)

    def apply_settings(self, settings: HeadSettings) -> None:
        """Apply new settings; the caller has checked that a running head can apply them.

        Events before this are decided under the old settings, and open requests keep their deadlines.
        """
        now, before, self.settings = self.hub.now(), self.settings, settings
        self.core.flush(now)
        for_module = self._module_settings(settings)
        if (
            self._budget_shares is not None
            and settings.fleet is not None
            and settings.fleet.budgets is not None
        ):
            from harriertrack.gateway.fleet.budgets import budget_specs

            plans, others = (
                {one.name: one for one in module_settings(head).plans} for head in (before, settings)
            )
            self._budget_shares.update_totals(now, plans, others, budget_specs(settings.fleet.budgets))
        self.core.apply_settings(now, request_rules(settings), for_module)
        self._links.settings = settings
        self.mover.apply_settings(settings)
        if self.regional is not None:
            self.regional.reserves = {plan.name: plan.reserve for plan in settings.plans}
        self.reception.apply_settings(settings)
        if self.fleet is not None and settings.fleet is not None:
            self.fleet.reconfigure(settings.fleet)

    def _may_move(self, volume: str) -> bool:
        # Without the epoch of a lease, its own or the holder's, another head's newer work goes undetected.
        return self.regional is None or self.regional.acts_on(volume)

    def apply_cell_map(self, cells: HeadCellMap) -> None:
        """Apply a newer cell map. Raises StaleMapError for one that is not newer."""
        assert isinstance(self.module, CellScheduler), "a head without cells has no map"
        self.module.apply_map(cells)
        self.reception.shares.update_cells(cells.volumes)
        self.mover.follow(cells)

    def _watch_map(self) -> None:
        """Reload the map when its file changes; an invalid one is logged, and the current one stays."""
        path, known = self.settings.cell_map, ""
        while True:
            self.hub.sleep(MAP_US)
            try:
                text = Path(path).read_text(encoding="utf-8")
                if text == known:
                    continue
                known = text
                self.apply_cell_map(load_head_cell_map(path, self.settings.volumes))
            except StaleMapError:
                pass  # the current map, or an older one that was restored
            except (OSError, SettingsError) as error:
                self._note("cell map not taken", why=str(error))
            else:
                self._note("cell map taken", version=self.module.map.version)  # type: ignore[union-attr]

    def stop(self) -> None:
        """Admit no more requests, answer open ones, and end."""
        self._stop_asked_at = self._stop_asked_at or self.hub.found_since
        self._stopping.set()

    # -- calls from the core

    def send(self, attempt: Attempt) -> None:
        """Start an attempt, unless the process was suspended since it was decided."""
        now = self.hub.now()
        if self.core.needs_list_refresh(now):
            self.hub.at_end_of_round(lambda: self.core.attempt_ended(now, attempt, api.Result.MOOT))
            return
        if self.trace is not None:
            self.trace(attempt)
        self._links.send(attempt)

    def call_off(self, attempt: Attempt) -> None:
        """Cancel an attempt at its node."""
        self._links.call_off(attempt)

    def answer(self, request: ClientRequest) -> None:
        """Deliver a final answer to the requester; nothing of the request is delivered to a node after it."""
        self._links.request_over(request)
        self.reception.release(request)
        if self._answer_counter is not None:
            self._answer_counter.count_answer(self.hub.now(), request)
        request.requester.answer(request)

    def subscribe(self, on: bool) -> None:
        """Start or stop following the node list."""
        self._listing.subscribe(on)

    def ask_list(self) -> None:
        """Request the node list now."""
        self._listing.request_now()

    def wake_at(self, when: int) -> None:
        """Flush the core at a time."""
        self._alarm.wake_at(when)

    def soon(self) -> None:
        """Flush the core at the end of this round."""
        self._alarm.soon()

    def note(self, text: str) -> None:
        """Log a message of the module."""
        self._note("module", text=text)

    def _check_standstill(self) -> None:
        self.core.check_standstill(self.hub.now())

    def _flush(self) -> None:
        self.core.flush(self.hub.now())
