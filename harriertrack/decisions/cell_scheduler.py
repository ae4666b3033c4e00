"""The decisions of a head whose fleet is divided into cells: an independent decision module for each cell.

Each cell's module receives only its own nodes and its own tenants' requests, so its windows, reserves,
latencies, cold starts and silent nodes are those of that cell: overload or a failure in one does not affect
the others. Nothing is borrowed across cells. The modules are the same as without cells; this class routes
events to them. They share the state that belongs to a volume (its limit, its reserve, its credits), because a
volume that moves is served by two of them.

A map has a version and replaces the previous one completely. A module keeps its requests until they end;
later ones follow the new map. A request for an extent goes where the extent is stored: to the cell of its
shard, which is the cell of its volume except during a move (`decisions/moving.py`); new extents go to the
volume's cell at once.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping
from dataclasses import dataclass, field, replace

from harriertrack.decisions.interface import (
    Action,
    AttemptEnded,
    BudgetShares,
    ClientLeft,
    Event,
    Fail,
    ListKind,
    NodeEntry,
    NodesChanged,
    NodeState,
    Refuse,
    RequestArrived,
    ResponseStarted,
    Send,
    SetTimer,
    Settings,
    SettingsChanged,
    Subscribe,
    TimerFired,
)
from harriertrack.decisions.scheduler import Scheduler
from harriertrack.decisions.volume_accounts import Volumes

TIMER_SEPARATOR = "|"  # between a cell and a timer token of its module


@dataclass(frozen=True, slots=True)
class HeadCellMap:
    """The part of a map that a head needs: the cell of each shard and of each volume."""

    version: int
    shards: Mapping[int, str] = field(default_factory=dict)
    volumes: Mapping[str, str] = field(default_factory=dict)

    def cell_names(self) -> list[str]:
        """Return the names of the cells in use."""
        return sorted({*self.shards.values(), *self.volumes.values()})


class StaleMapError(ValueError):
    """Raised for a map that is not newer than the current one."""


class CellScheduler:
    """The decision modules of one head, with the interface of a single one."""

    def __init__(self, settings: Settings, seed: int, cells: HeadCellMap,
                 make: Callable[..., Scheduler] = Scheduler,
                 budget_shares: BudgetShares | None = None) -> None:  # fmt: skip
        """Start with a map; `make` is called with settings, seed, volumes and budget shares for each cell."""
        self.settings, self._budget_shares = settings, budget_shares
        self.map = cells
        self._make, self._seed = make, seed
        self._modules: dict[str, Scheduler] = {}
        # Shared: during a move two modules send requests of a volume, which has one limit and one reserve.
        self._volumes: Volumes = {}
        self._of_request: dict[int, str] = {}  # cells of requests that are open or have attempts in flight
        self._in_flight: dict[int, int] = {}  # attempts without a result, by request
        self._finished: set[int] = set()  # requests that have their final answer
        self._nodes: dict[str, NodeEntry] = {}
        self._announced: dict[str, str] = {}  # the cell to whose module a node was announced
        self._pending: list[tuple[str, Event]] = []
        self._subscribed = False
        for cell in cells.cell_names():
            self._module(cell)

    def _module(self, cell: str) -> Scheduler:
        """Return a cell's module; the budget of a new one is its share of the head's."""
        if cell not in self._modules:
            self._modules[cell] = self._make(
                self._cell_settings(), self._seed + len(self._modules), self._volumes, self._budget_shares
            )
        return self._modules[cell]

    def _cell_settings(self) -> Settings:
        cells = max(1, len(self.map.cell_names()))
        return replace(self.settings, budget_free=self.settings.budget_free / cells)

    def modules(self) -> list[Scheduler]:
        """Return the cells' modules."""
        return list(self._modules.values())

    # -- maps

    def apply_map(self, cells: HeadCellMap) -> None:
        """Apply a newer map from the next batch on. Raises StaleMapError for one that is not newer."""
        if cells.version <= self.map.version:
            raise StaleMapError(f"version {cells.version} is not newer than {self.map.version}")
        self.map = cells
        for cell in cells.cell_names():
            self._module(cell)
        self._pending.extend(self._split(NodesChanged(ListKind.CHANGES, list(self._nodes.values()))))

    # -- events

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        """Handle the events of one moment: pass each to its module, and return the actions of all."""
        batches: dict[str, list[Event]] = {}
        actions: list[Action] = []
        pending, self._pending = self._pending, []
        for cell, event in pending:
            batches.setdefault(cell, []).append(event)
        self._subscribed = False
        for event in events:
            match event:
                case RequestArrived():
                    cell = self._cell_of(event)
                    if cell not in self._modules:
                        actions.append(Refuse(event.request))  # its volume is in no cell
                        continue
                    self._of_request[event.request] = cell
                    batches.setdefault(cell, []).append(event)
                case AttemptEnded() | ClientLeft() | ResponseStarted():
                    if cell := self._of_request.get(event.request, ""):
                        batches.setdefault(cell, []).append(event)
                        self._track(event)
                case TimerFired():
                    cell, _, token = event.token.partition(TIMER_SEPARATOR)
                    if cell in self._modules:
                        batches.setdefault(cell, []).append(TimerFired(token))
                case NodesChanged():
                    for cell, update in self._split(event):
                        batches.setdefault(cell, []).append(update)
                case SettingsChanged():
                    self.settings = event.settings
                    for cell in self._modules:
                        batches.setdefault(cell, []).append(SettingsChanged(self._cell_settings()))
        for cell, batch in batches.items():
            for action in self._modules[cell].handle(now, batch):
                self._forward(cell, action, actions)
        return actions

    def _cell_of(self, request: RequestArrived) -> str:
        """Return the cell that decides on a request: that of its extent, or for a new one its volume's."""
        home = self.map.volumes.get(request.volume, "")
        return self.map.shards.get(request.shard, home) if home and request.shard >= 0 else home

    def _split(self, update: NodesChanged) -> list[tuple[str, NodesChanged]]:
        """Divide an update of the node list by cell; failures and full lists go to all of them."""
        if update.kind is ListKind.FAILED:
            return [(cell, NodesChanged(ListKind.FAILED)) for cell in self._modules]
        by_cell: dict[str, list[NodeEntry]] = {}
        if update.kind is not ListKind.CHANGES:
            by_cell = {cell: [] for cell in self._modules}
            named = {entry.node for entry in update.entries}
            for name in [name for name in self._nodes if name not in named]:
                del self._nodes[name]
        for entry in update.entries:
            self._nodes[entry.node] = entry
            cell, before = self.map.shards.get(entry.shard, ""), self._announced.get(entry.node)
            if before is not None and before != cell:
                by_cell.setdefault(before, []).append(replace(entry, state=NodeState.GONE))
            if cell:
                self._announced[entry.node] = cell
                by_cell.setdefault(cell, []).append(entry)
            else:
                self._announced.pop(entry.node, None)
        return [
            (cell, NodesChanged(update.kind, entries, update.announced_at))
            for cell, entries in by_cell.items()
        ]

    def _forward(self, cell: str, action: Action, actions: list[Action]) -> None:
        match action:
            case SetTimer():
                action = SetTimer(f"{cell}{TIMER_SEPARATOR}{action.token}", action.at_us)
            case Subscribe():
                if self._subscribed:  # one subscription serves all
                    return
                self._subscribed = True
            case Send():
                self._in_flight[action.request] = self._in_flight.get(action.request, 0) + 1
            case Refuse() | Fail():
                self._finish(action.request)
        actions.append(action)

    # -- the modules of requests

    def _track(self, event: AttemptEnded | ClientLeft | ResponseStarted) -> None:
        """Track a request's attempts in flight, and whether it has its answer."""
        match event:
            case AttemptEnded():
                self._in_flight[event.request] = self._in_flight.get(event.request, 1) - 1
                if event.request_over:
                    self._finished.add(event.request)
                self._forget(event.request)
            case ClientLeft():
                self._finish(event.request)

    def _finish(self, request: int) -> None:
        self._finished.add(request)
        self._forget(request)

    def _forget(self, request: int) -> None:
        """Forget a finished request once none of its attempts is in flight."""
        if request in self._finished and not self._in_flight.get(request, 0):
            self._of_request.pop(request, None)
            self._in_flight.pop(request, None)
            self._finished.discard(request)
