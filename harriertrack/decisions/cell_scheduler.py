"""A head's decisions where the fleet is divided into cells: a decision module for each, blind to the others.

Each cell's module is told of its own nodes and its own tenants' requests alone, so its windows, reserves,
latencies, cold starts and silences are of that cell: what floods or breaks one leaves no trace in the next.
Nothing is borrowed across cells. The modules are the production ones; this sorts what happens. What counts
for a volume as a whole (its limit, its reserve, its credits) they have in common, for a volume that moves is
served by two of them.

A map has a version and replaces the one before as a whole. Requests that a cell's module has keep being its
until they end; later ones follow the new map. An extent is asked for where it lies: in the cell of its shard,
which is its volume's own but while a move brings it over (`decisions/moving.py`); new ones go to the volume's
cell at once.
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
from harriertrack.decisions.scheduler import Scheduler, Volumes

MARK = "|"  # between a cell and its module's own timer


@dataclass(frozen=True, slots=True)
class HeadCellMap:
    """What a head needs of a map: the cell of each shard, and of each volume."""

    version: int
    shards: Mapping[int, str] = field(default_factory=dict)
    volumes: Mapping[str, str] = field(default_factory=dict)

    def cell_names(self) -> list[str]:
        """Return the cells that something is in."""
        return sorted({*self.shards.values(), *self.volumes.values()})


class StaleMapError(ValueError):
    """A map that is not newer than the one in force."""


class CellScheduler:
    """The decision modules of one head, with the interface of one."""

    def __init__(self, settings: Settings, seed: int, cells: HeadCellMap,
                 make: Callable[..., Scheduler] = Scheduler,
                 portions: BudgetShares | None = None) -> None:  # fmt: skip
        """Begin with a map; `make` is called with settings, seed, volumes and portions for each cell."""
        self.settings, self._portions = settings, portions
        self.map = cells
        self._make, self._seed = make, seed
        self._modules: dict[str, Scheduler] = {}
        # While a volume moves, two modules send its requests: one limit and one reserve, not two.
        self._volumes: Volumes = {}
        self._of_request: dict[int, str] = {}  # requests that a module still has, or has attempts out for
        self._out: dict[int, int] = {}  # attempts without an outcome
        self._over: set[int] = set()  # requests with their final answer
        self._nodes: dict[str, NodeEntry] = {}
        self._told: dict[str, str] = {}  # the cell whose module was told of a node
        self._pending: list[tuple[str, Event]] = []
        self._subscribed = False
        for cell in cells.cell_names():
            self._module(cell)

    def _module(self, cell: str) -> Scheduler:
        """Return a cell's module; a new one's budget is its part of the head's."""
        if cell not in self._modules:
            self._modules[cell] = self._make(
                self._own(), self._seed + len(self._modules), self._volumes, self._portions
            )
        return self._modules[cell]

    def _own(self) -> Settings:
        parts = max(1, len(self.map.cell_names()))
        return replace(self.settings, budget_free=self.settings.budget_free / parts)

    def modules(self) -> list[Scheduler]:
        """Return the cells' modules."""
        return list(self._modules.values())

    # -- maps

    def apply_map(self, cells: HeadCellMap) -> None:
        """Follow a newer map from the next batch on. Raises StaleMapError for one that is not newer."""
        if cells.version <= self.map.version:
            raise StaleMapError(f"version {cells.version} is not newer than {self.map.version}")
        self.map = cells
        for cell in cells.cell_names():
            self._module(cell)
        self._pending.extend(self._split(NodesChanged(ListKind.CHANGES, list(self._nodes.values()))))

    # -- events

    def handle(self, now: int, events: list[Event]) -> list[Action]:
        """Take the events of one moment, give each module its own, and return all their actions."""
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
                        actions.append(Refuse(event.request))  # of no cell: nobody may serve it
                        continue
                    self._of_request[event.request] = cell
                    batches.setdefault(cell, []).append(event)
                case AttemptEnded() | ClientLeft() | ResponseStarted():
                    if cell := self._of_request.get(event.request, ""):
                        batches.setdefault(cell, []).append(event)
                        self._note(event)
                case TimerFired():
                    cell, _, token = event.token.partition(MARK)
                    if cell in self._modules:
                        batches.setdefault(cell, []).append(TimerFired(token))
                case NodesChanged():
                    for cell, news in self._split(event):
                        batches.setdefault(cell, []).append(news)
                case SettingsChanged():
                    self.settings = event.settings
                    for cell in self._modules:
                        batches.setdefault(cell, []).append(SettingsChanged(self._own()))
        for cell, batch in batches.items():
            for action in self._modules[cell].handle(now, batch):
                self._pass_on(cell, action, actions)
        return actions

    def _cell_of(self, ask: RequestArrived) -> str:
        """Return who decides on a request: where its extent lies, or where its volume's new ones go."""
        home = self.map.volumes.get(ask.volume, "")
        return self.map.shards.get(ask.shard, home) if home and ask.shard >= 0 else home

    def _split(self, news: NodesChanged) -> list[tuple[str, NodesChanged]]:
        """Divide news of the list by cell; a failure, and that a list is whole, concern them all."""
        if news.kind is ListKind.FAILED:
            return [(cell, NodesChanged(ListKind.FAILED)) for cell in self._modules]
        parts: dict[str, list[NodeEntry]] = {}
        if news.kind is not ListKind.CHANGES:
            parts = {cell: [] for cell in self._modules}
            named = {entry.node for entry in news.entries}
            for name in [name for name in self._nodes if name not in named]:
                del self._nodes[name]
        for entry in news.entries:
            self._nodes[entry.node] = entry
            cell, before = self.map.shards.get(entry.shard, ""), self._told.get(entry.node)
            if before is not None and before != cell:
                parts.setdefault(before, []).append(replace(entry, state=NodeState.GONE))
            if cell:
                self._told[entry.node] = cell
                parts.setdefault(cell, []).append(entry)
            else:
                self._told.pop(entry.node, None)
        return [(cell, NodesChanged(news.kind, entries)) for cell, entries in parts.items()]

    def _pass_on(self, cell: str, action: Action, actions: list[Action]) -> None:
        match action:
            case SetTimer():
                action = SetTimer(f"{cell}{MARK}{action.token}", action.at_us)
            case Subscribe():
                if self._subscribed:  # one subscription serves all
                    return
                self._subscribed = True
            case Send():
                self._out[action.request] = self._out.get(action.request, 0) + 1
            case Refuse() | Fail():
                self._finish(action.request)
        actions.append(action)

    # -- which module has a request

    def _note(self, event: AttemptEnded | ClientLeft | ResponseStarted) -> None:
        """Keep count of a request's attempts, and of whether it has its answer."""
        match event:
            case AttemptEnded():
                self._out[event.request] = self._out.get(event.request, 1) - 1
                if event.request_over:
                    self._over.add(event.request)
                self._forget(event.request)
            case ClientLeft():
                self._finish(event.request)

    def _finish(self, request: int) -> None:
        self._over.add(request)
        self._forget(request)

    def _forget(self, request: int) -> None:
        """Forget a request that is over once no attempt of it is out."""
        if request in self._over and not self._out.get(request, 0):
            self._of_request.pop(request, None)
            self._out.pop(request, None)
            self._over.discard(request)
