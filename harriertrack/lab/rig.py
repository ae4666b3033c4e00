"""A rig: the heads, storage node stand-ins, list service and clients of one day, on one hub.

The same rig runs over loopback sockets and on the virtual clock; heads are the production code. It records
what its clients, nodes and list service observe, and the rules are checked on that recording alone.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import partial

import msgspec

from harriertrack.config.settings import (
    ClassSettings,
    ConsulSettings,
    FleetSettings,
    HeadSettings,
    Kind,
    NodeListSettings,
    NodeStandInSettings,
    PlanSettings,
    RegionSettings,
    VolumeRegionSettings,
    VolumeSettings,
    check_head,
)
from harriertrack.decisions import interface as api
from harriertrack.decisions.cell_scheduler import CellScheduler, HeadCellMap
from harriertrack.decisions.interface import Effect, NodeEntry, NodeState
from harriertrack.decisions.requests import Attempt
from harriertrack.gateway.head import Head, Wiring, log_nothing
from harriertrack.lab.day import DaySettings, TroubleKind
from harriertrack.lab.fronts import NVME, Front, NvmeVolume
from harriertrack.lab.load import Connection, Flow, RetryPolicy
from harriertrack.lab.model import SECTOR, VolumeModel
from harriertrack.membership.nodes import Member
from harriertrack.rules import recording as rec
from harriertrack.runtime.hub import Hub, Scope, Task
from harriertrack.runtime.memory_streams import MemoryNetwork
from harriertrack.runtime.streams import Network, SocketNetwork
from harriertrack.standin.list_service import ListService
from harriertrack.standin.node import ShardStorage, UsageMeter
from harriertrack.standin.node_server import NodeServer
from harriertrack.storage.extents import ExtentMap
from harriertrack.storage.missed import MissedLog

SETTLE_US = 300_000  # time for heads to receive the node list before the first request
METER_US = 1_000_000  # period over which nodes meter the use of volumes
# Over sockets: how often a pause of the whole machine is checked for, and the delay that counts as one.
PAUSE_CHECK_US, MIN_PAUSE_US = 10_000, 20_000
REGISTER_SECTORS = 8  # sectors at a volume's end that are reserved for register clients
BULK_BYTES = 12 << 10
NODE_KIND = "node"  # every node has this hardware kind, so a replacement equals its predecessor
MOVED_VOLUME = "vol0"  # the volume that the cell_move fault moves
REGIONS = ("a", "b")


def classes_of(day: DaySettings) -> tuple[ClassSettings, ...]:
    """Return the request classes of a day's heads."""
    return (
        ClassSettings(
            name="bulk", kinds=(Kind.READ,), at_least_bytes=BULK_BYTES, aim_us=2_000_000,
            deadline_us=6_000_000, worth=1, late_worth=0.2, effect=Effect.SAFE,
        ),
        ClassSettings(
            name="catch-up", kinds=(Kind.CATCH_UP,), aim_us=5_000_000, deadline_us=15_000_000, worth=0.5,
            effect=Effect.KEYED, window_us=2_500_000,
        ),
        ClassSettings(
            name="own-read", kinds=(Kind.OWN_READ,), aim_us=400_000, deadline_us=400_000, worth=0.5,
            effect=Effect.SAFE,
        ),
        ClassSettings(
            name="move", kinds=(Kind.MOVE,), aim_us=day.move_deadline_us, deadline_us=day.move_deadline_us,
            worth=0.5,
            effect=Effect.KEYED, window_us=2_500_000,
        ),
        ClassSettings(
            name="read", kinds=(Kind.READ, Kind.FLUSH), aim_us=300_000, deadline_us=1_500_000, worth=3,
            late_worth=0.1, effect=Effect.SAFE,
        ),
        ClassSettings(
            name="write", kinds=(Kind.WRITE, Kind.TRIM, Kind.ZERO), aim_us=500_000,
            deadline_us=day.write_deadline_us, worth=2, late_worth=0.15, effect=Effect.KEYED,
            window_us=2_500_000, in_order=day.in_order,
        ),
    )  # fmt: skip


def plans_of(day: DaySettings) -> tuple[PlanSettings, ...]:
    """Return the plans of a day's volumes."""
    rate = day.rate / day.volumes * 2.5  # one volume's units per second, at a mean of 2.5 units per request
    return (
        PlanSettings(name="basic", rate=rate, reserve=0.3 * rate, weight=1, price=0.8, limit=day.limit * rate,
                     limit_burst=day.limit_burst or max(64.0, day.limit * rate), limit_slack=day.limit_slack),
        PlanSettings(name="standard", rate=rate, reserve=rate, weight=3),
        PlanSettings(name="priority", rate=rate, reserve=0.8 * rate, weight=4, price=1.8),
    )  # fmt: skip


def volumes_of(day: DaySettings) -> list[VolumeSettings]:
    """Return a day's volumes."""
    shared_count = round(day.shared * day.volumes) if day.heads > 1 and day.two_regions is None else 0
    volumes = []
    for number in range(day.volumes):
        shards = tuple((number + offset) % day.nodes for offset in range(min(day.nodes, 3)))
        regions = None
        if (two := day.two_regions) is not None:
            regions = VolumeRegionSettings(
                home=REGIONS[number % 2], mode=two.mode, copy_us=two.copy_us, behind_us=two.behind_us
            )
        volumes.append(
            VolumeSettings(
                name=f"vol{number}",
                size_bytes=day.volume_bytes,
                plan=("basic", "standard", "priority")[number % 3],
                hosts=min(day.hosts, day.heads) if number < shared_count else 1,
                shards=shards if number < shared_count else (),
                regions=regions,
                patience_us=day.patience_us,
            )
        )
    return [*volumes, *day.beside]


def cells_of(day: DaySettings) -> HeadCellMap:
    """Return a day's cell map: shards and volumes are assigned to the cells round-robin."""
    region_count = 1 if day.two_regions is None else len(REGIONS)
    shards = {shard: f"cell{shard % day.cells}" for shard in range(day.nodes * region_count)}
    volumes = {f"vol{number}": f"cell{number % day.cells}" for number in range(day.volumes)}
    return HeadCellMap(1, shards, volumes)


@dataclass(slots=True, eq=False)
class HeadSlot:
    """One head of a rig, with what outlasts its restarts: settings, stored state and clients' connections."""

    name: str
    settings: HeadSettings
    extents: Callable[[], ExtentMap]
    missed: Callable[[], MissedLog]
    zone: str
    head: Head | None = None
    task: Task | None = None
    connections: list[Connection] = field(default_factory=list)


class Rig:
    """All machines and clients of one run of a day."""

    def __init__(self, hub: Hub, network: Network, day: DaySettings, seed: int, recorder: rec.Recorder,
                 state_dir: str | None = None, front: Front = Front.NBD) -> None:  # fmt: skip
        self.front = front
        nvme = msgspec.structs.replace(NVME, patience_us=day.patience_us)
        self._nvme = nvme if front is Front.NVME else None
        self.hub, self.network, self.day, self.recorder = hub, network, day, recorder
        self.random = random.Random(seed)
        self.list_service = self.new_list_service()
        self.nodes: dict[str, NodeServer] = {}
        self.heads: list[HeadSlot] = []
        self.flows: list[Flow] = []
        self.retry_policy = RetryPolicy(day.retries, day.backoff_us, day.heeds_hints)
        self.scope: Scope
        self._seed, self._state_dir, self._has_two_regions = seed, state_dir, day.two_regions is not None
        self._shard_storages = [
            ShardStorage(day.extent_bytes) for _ in range(day.nodes * (2 if day.two_regions else 1))
        ]
        self.volumes = volumes_of(day)
        self.plans = plans_of(day)
        rate = self.plans[0].rate
        rates = {volume.name: rate for volume in self.volumes}
        self._meter = UsageMeter(METER_US, rates)
        self.classes = classes_of(day)
        self.cells = cells_of(day)  # the current map
        recorder.add(self._facts())

    def _facts(self) -> rec.Facts:
        day, rules = self.day, self.day.rules
        basic = next(plan for plan in self.plans if plan.limit)
        limits = [
            rec.LimitFacts(
                volume=volume.name, rate=basic.limit, burst=basic.limit_burst, slack=basic.limit_slack
            )
            for volume in self.volumes
            if volume.plan == basic.name
        ]
        cells = self.cells if day.cells > 1 else HeadCellMap(0)
        cell_of_volume = dict(cells.volumes)
        if any(trouble.name is TroubleKind.CELL_MOVE for trouble in day.troubles):
            del cell_of_volume[MOVED_VOLUME]  # both cells serve the volume while it moves
        virtual = isinstance(self.network, MemoryNetwork)
        regions = day.two_regions  # the remote head learns of a broken connection one link delay later
        link_us = regions.delay_us + regions.jitter_us if regions is not None else 0
        return rec.Facts(
            classes=[
                rec.ClassFacts(
                    name=request_class.name, deadline_us=request_class.deadline_us,
                    effect=request_class.effect.value, window_us=request_class.window_us,
                    in_order=request_class.in_order,
                )
                for request_class in self.classes
            ],
            limits=limits, unit_bytes=day.unit_bytes, extent_bytes=day.extent_bytes,
            answer_slack_us=8_000 if virtual else 100_000,
            flight_us=link_us + (2_000 if virtual else 100_000),
            drain_grace_us=rules.drain_grace_us, fall_multiple=rules.fall_multiple, fall_us=rules.fall_us,
            cold_units=rules.cold_units, budget_free=rules.budget_free, budget_share=rules.budget_share,
            budget_window_us=rules.budget_window_us, order_settle_us=rules.order_settle_us,
            seed=self._seed, day=day.name, regions=day.two_regions is not None,
            cell_of_volume=cell_of_volume,
            cell_of_shard={str(shard): cell for shard, cell in cells.shards.items()},
        )  # fmt: skip

    # -- factories that the emulator overrides

    def new_list_service(self) -> ListService:
        """Create a list service."""
        return ListService(self.hub, self.network, self.recorder)

    def new_node(
        self, settings: NodeStandInSettings, storage: ShardStorage, meter: UsageMeter, seed: int
    ) -> NodeServer:
        """Create a storage node."""
        return NodeServer(self.hub, self.network, settings, storage, self.recorder, meter, seed)

    def new_connection(self, volume: str, slot: HeadSlot) -> Connection:
        """Create a client's connection to a head."""
        new_nvme_client = partial(NvmeVolume, self.hub, self.network, self.hints_and_patience(volume)[0])
        return Connection(self.hub, self.network, self.recorder, volume, slot.name,
                          new_nvme_client if self.front is Front.NVME else None,
                          *self.hints_and_patience(volume))  # fmt: skip

    def hints_and_patience(self, volume: str) -> tuple[bool, int]:
        """Return whether a volume's clients support retry hints, and how long they wait if they don't."""
        without_hints = round(self.day.plain * self.day.volumes)
        if self._has_two_regions and self.front is Front.NVME:
            without_hints = 0  # such hosts have a second path, so the head answers at once instead of waiting
        return int(volume.removeprefix("vol")) >= without_hints, self.day.patience_us

    def wiring(self, slot: HeadSlot) -> Wiring:
        """Return the exchangeable components that a head is built from."""
        return Wiring() if self.day.cells == 1 else Wiring(module=self.new_cell_scheduler)

    def fleet_settings_of(self, name: str) -> FleetSettings | None:
        """Return a head's fleet settings; None on days without a fleet."""
        return None

    def log_of(self, slot: HeadSlot) -> Callable[..., None]:
        """Return the log function of a head."""
        return log_nothing

    def new_cell_scheduler(self, settings: api.Settings, seed: int) -> CellScheduler:
        """Create a head's decision module, with a scheduler for each cell of the day."""
        return CellScheduler(settings, seed, self.cells)

    # -- running

    def run(self) -> None:
        """Run the day to its end (the rig's task)."""
        from harriertrack.lab import troubles  # imported here because troubles imports this module

        day, hub = self.day, self.hub
        with hub.scope(f"day {day.name}") as scope:
            self.scope = scope
            self.build()
            self.add_flows()
            hub.sleep(SETTLE_US)
            start = hub.now()
            self.start_register_clients(start + day.length_us)
            for flow in self.flows:
                scope.spawn(f"flow {flow.model.name}", flow.run, start + day.length_us)
            for trouble in day.troubles:
                scope.spawn(f"trouble {trouble.name.value}", troubles.run, self, trouble, start)
            if not isinstance(self.network, MemoryNetwork):
                scope.spawn("machine", self._record_machine_pauses)
            hub.sleep_until(start + day.length_us)
            for flow in self.flows:
                flow.closed = True
            for slot in self.heads:
                for connection in slot.connections:
                    connection.forget_unsent()
            wait_limits = [request_class.deadline_us for request_class in self.classes] + [
                day.patience_us if day.plain else 0
            ]
            give_up_at_us = hub.now() + max(wait_limits) + 2 * SETTLE_US
            while hub.now() < give_up_at_us and any(
                connection.open for slot in self.heads for connection in slot.connections
            ):
                hub.sleep(50_000)
            hub.sleep(200_000)
            scope.cancel()

    def _record_machine_pauses(self) -> None:
        # In real time the host may be busy with other work, which pauses all heads at once.
        while True:
            last_check = self.hub.now()
            self.hub.sleep_until(last_check + PAUSE_CHECK_US)
            elapsed_us = self.hub.now() - last_check
            if elapsed_us >= PAUSE_CHECK_US + MIN_PAUSE_US:
                # The pause may have begun right after the last check, so all the time since then is recorded.
                for slot in self.heads:
                    self.recorder.add(
                        rec.HeadPaused(t=last_check, head=slot.name, us=elapsed_us, machine=True)
                    )

    def build(self) -> None:
        """Start the list service, the nodes and the heads."""
        day = self.day
        self.list_service.start(self.scope)
        for number in range(day.nodes):
            self.add_node(f"node{number}", number)
        for number in range(day.heads):
            self.start_head(self.add_numbered_head(number))

    def start_register_clients(self, until: int) -> None:
        """Start clients that write and read the same blocks concurrently. This rig has none."""

    # -- nodes

    def add_node(self, name: str, shard: int, cold: bool = False, zone: str = "") -> NodeServer:
        """Start a node and add it to the list service."""
        day = self.day
        zone = zone or day.zones[shard % len(day.zones)]
        settings = NodeStandInSettings(
            listen=("127.0.0.1", 0), name=name, shard=shard, zone=zone, extent_bytes=day.extent_bytes,
            unit_bytes=day.unit_bytes, cores=day.cores, request_us=day.request_us,
            unit_us=day.unit_us * (10 if shard % 2 == 0 else 13) // 10,
            service=day.service, service_cv=day.service_cv,
            queue=day.queue, remembers=day.remembers, discount=day.discount, deferred=day.deferred,
            flush_us=day.flush_us, cold_share=day.cold_share, warm_us=day.warm_us,
            fall_multiple=day.rules.fall_multiple, fall_us=day.rules.fall_us, cold_units=day.rules.cold_units,
            volumes=tuple(self.volumes),
        )  # fmt: skip
        node = self.new_node(settings, self._shard_storages[shard], self._meter, self.random.getrandbits(32))
        node.start(self.scope, cold)
        self.nodes[name] = node
        entry = NodeEntry(name, shard, NodeState.UP, zone, node.started_at_us, NODE_KIND)
        self.list_service_of(node).set_member(Member(entry, node.address))
        return node

    def list_service_of(self, node: NodeServer) -> ListService:
        """Return the list service that publishes a node."""
        return self.list_service

    def set_list_down(self, down: bool) -> None:
        """Make the list service refuse every call, or serve calls again."""
        self.list_service.down = down

    def restart_node(self, node: NodeServer) -> None:
        """Start a node with cold caches; the list service publishes it `notice_us` later."""
        node.start(self.scope, cold=True)
        started_at_us, name, list_service = node.started_at_us, node.settings.name, self.list_service_of(node)
        self.run_after(self.day.notice_us, lambda: list_service.set_state(name, NodeState.UP, started_at_us))

    def run_after(self, us: int, act: Callable[[], None]) -> None:
        """Call a function after a delay."""
        self.hub.at(self.hub.now() + us, act)

    def pick_nodes(self, part: float) -> list[NodeServer]:
        """Draw the nodes that a fault affects: a fraction of those that are up, at least one."""
        up = [node for node in self.nodes.values() if node.up]
        return self.random.sample(up, min(len(up), max(1, round(part * len(up)))))

    # -- heads

    def add_numbered_head(self, number: int) -> HeadSlot:
        """Add a head's slot by its number, which determines its zone and its volumes."""
        day = self.day
        volumes = [
            volume for index, volume in enumerate(self.volumes) if (number - index) % day.heads < volume.hosts
        ]
        return self.add_head(f"head{number}", day.zones[number % len(day.zones)], volumes, self.list_service)

    def add_head(
        self,
        name: str,
        zone: str,
        volumes: list[VolumeSettings],
        list_service: ListService,
        region: RegionSettings | None = None,
    ) -> HeadSlot:
        """Add a slot for a head, which `start_head` starts."""
        day = self.day
        state_dir = None if self._state_dir is None else f"{self._state_dir}/{name}"
        consul = ConsulSettings(address=list_service.address, wait_us=5_000_000)
        settings = HeadSettings(
            listen=("127.0.0.1", 0), state_dir=state_dir or "unused", heads=day.heads, zone=zone,
            seed=self.random.getrandbits(32) + 1, extent_bytes=day.extent_bytes, unit_bytes=day.unit_bytes,
            mean_units=2.5, most_units=float(day.extent_bytes // day.unit_bytes), meter_us=METER_US,
            node_list=NodeListSettings(consul=consul), region=region,
            nvme=self._nvme, fleet=self.fleet_settings_of(name),
            rules=day.rules, classes=self.classes, plans=self.plans, volumes=tuple(volumes),
        )  # fmt: skip
        check_head(settings, f"day {day.name}")
        if state_dir:
            slot = HeadSlot(
                name,
                settings,
                lambda: ExtentMap(f"{state_dir}/extents"),
                lambda: MissedLog(f"{state_dir}/missed"),
                zone,
            )
        else:
            extents, missed = ExtentMap(None), MissedLog(None)
            slot = HeadSlot(name, settings, lambda: extents, lambda: missed, zone)
        self.heads.append(slot)
        return slot

    def network_of(self, slot: HeadSlot) -> Network:
        """Return the network that carries a head's streams."""
        return self.network

    def start_head(self, slot: HeadSlot) -> None:
        """Start a head; of earlier runs it has only its stored state."""
        log = self.log_of(slot)
        slot.head = Head(self.hub, self.network_of(slot), slot.settings, log, slot.extents(), slot.name,
                         slot.missed(), self.wiring(slot))  # fmt: skip
        slot.head.trace = partial(self._record_attempt, slot.head.head_id)
        slot.task = self.scope.spawn(slot.name, slot.head.run)
        slot.head.ready.wait()
        head_id = slot.head.head_id
        self.recorder.add(rec.HeadLifecycle(t=self.hub.now(), head=slot.name, number=head_id, up=True))
        for connection in slot.connections:
            connection.address = self.client_address(slot)

    def client_address(self, slot: HeadSlot) -> tuple[str, int] | None:
        """Return the address at which clients reach a head; None while it is down."""
        if slot.head is None:
            return None
        return slot.head.nvme_address if self.front is Front.NVME else slot.head.address

    def _record_attempt(self, head: int, attempt: Attempt) -> None:
        """Record when a head sends an attempt."""
        key, node = attempt.part.number, attempt.member.entry.node
        self.recorder.add(
            rec.AttemptSent(t=self.hub.now(), head=head, key=key, attempt=attempt.number, node=node)
        )

    def kill_head(self, slot: HeadSlot) -> None:
        """Kill a head without a shutdown: it answers and sends nothing more, and its connections break."""
        assert slot.task is not None
        for connection in slot.connections:
            connection.address = None
        self.recorder.add(rec.HeadLifecycle(t=self.hub.now(), head=slot.name, number=0, up=False))
        slot.task.cancel()
        while not slot.task.done:
            self.hub.sleep(1_000)

    # -- clients

    def add_flows(self) -> None:
        """Start the clients of each volume."""
        for volume in self.volumes[: self.day.volumes]:
            self.add_flow(volume, self.day.rate / self.day.volumes)

    def add_flow(self, volume: VolumeSettings, rate: float) -> Flow:
        """Start the clients of a volume, with a connection to each head that serves it."""
        classes = [
            (
                request_class.name,
                frozenset(kind.value for kind in request_class.kinds),
                request_class.at_least_bytes,
            )
            for request_class in self.classes
        ]
        connections = []
        for slot in self.heads:
            if any(volume.name == served.name for served in slot.settings.volumes):
                connection = self.new_connection(volume.name, slot)
                connection.address = self.client_address(slot)
                slot.connections.append(connection)
                connections.append(connection)
                self.scope.spawn(f"connection {connection.name}", connection.stay_connected, self.scope)
        rng = random.Random(self.random.getrandbits(32))
        sectors = volume.size_bytes // SECTOR - REGISTER_SECTORS
        in_regions = self._has_two_regions or volume.regions is not None
        model = VolumeModel(volume.name, sectors, self.day.extent_bytes // SECTOR, rng, in_regions)
        flow = Flow(self.hub, model, connections, classes, self.retry_policy, rate,
                    self.day.most_sectors, self.random.getrandbits(32))  # fmt: skip
        self.flows.append(flow)
        return flow


def play(day: DaySettings, seed: int, virtual: bool, path: str | None = None,
         state_dir: str | None = None, front: Front = Front.NBD) -> rec.Recorder:  # fmt: skip
    """Run a day with a seed; return its recording, which is also written to `path` if one is given."""
    hub = Hub.virtual(seed) if virtual else Hub(seed=seed)
    network: Network = MemoryNetwork(hub) if virtual else SocketNetwork(hub)
    recorder = rec.Recorder(path)
    from harriertrack.lab.regions import RegionRig  # imported here because regions imports this module

    rig_class = RegionRig if day.two_regions is not None else Rig
    try:
        rig = rig_class(hub, network, day, seed, recorder, state_dir, front)
        hub.run(rig.run)
    finally:
        recorder.close()
    return recorder
