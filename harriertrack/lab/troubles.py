"""The faults ("troubles") of a day: each is a function that injects one kind of fault into a rig for a time.

docs/operators/days.md describes for operators how each fault shows.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import replace
from functools import partial

from harriertrack.decisions.cell_scheduler import CellScheduler, HeadCellMap
from harriertrack.decisions.interface import NodeState
from harriertrack.decisions.lifecycle import PartState
from harriertrack.decisions.requests import MODIFYING_KINDS, Part
from harriertrack.decisions.splitting import Kind
from harriertrack.lab.day import TroubleKind, TroubleSettings
from harriertrack.lab.rig import MOVED_VOLUME, HeadSlot, Rig
from harriertrack.rules import recording as rec
from harriertrack.standin.node import Faults
from harriertrack.standin.node_server import NodeServer

RESTART_US = 10_000  # interval at which nodes that received a fatal request are stopped
NOTICE_US = 1_000_000  # how long a preempted node is listed as draining before it stops
TROUBLES: dict[TroubleKind, Callable[[Rig, TroubleSettings], None]] = {}


def run(rig: Rig, trouble: TroubleSettings, start: int) -> None:
    """Wait for the start time of a fault and inject it (the fault's task)."""
    rig.hub.sleep_until(start + trouble.from_us)
    TROUBLES[trouble.name](rig, trouble)


def trouble(kind: TroubleKind) -> Callable:
    """Register the decorated function for a kind of fault."""

    def register(act: Callable[[Rig, TroubleSettings], None]) -> Callable[[Rig, TroubleSettings], None]:
        TROUBLES[kind] = act
        return act

    return register


def apply_faults_for(rig: Rig, nodes: Iterable[NodeServer], us: int, **faults: object) -> None:
    """Set faults on nodes, and reset these faults after a time (a task)."""
    affected = list(nodes)
    for node in affected:
        node.faults = replace(node.faults, **faults)  # type: ignore[arg-type]
    rig.hub.sleep(us)
    healthy = Faults()
    for node in affected:
        node.faults = replace(node.faults, **{name: getattr(healthy, name) for name in faults})
        node.resume()


@trouble(TroubleKind.ANSWER_LOST)
def answer_lost(rig: Rig, trouble: TroubleSettings) -> None:
    """Nodes execute requests, but a fraction `size` of the replies is lost, silently or with a reset."""
    fault = "reset_replies" if trouble.how == "reset" else "lose_replies"
    apply_faults_for(rig, rig.pick_nodes(trouble.part), trouble.for_us, **{fault: trouble.size})


@trouble(TroubleKind.HANG)
def hang(rig: Rig, trouble: TroubleSettings) -> None:
    """Nodes accept requests and answer none."""
    apply_faults_for(rig, rig.pick_nodes(trouble.part), trouble.for_us, hang=True)


@trouble(TroubleKind.SLOW)
def slow(rig: Rig, trouble: TroubleSettings) -> None:
    """Nodes work `size` times slower."""
    apply_faults_for(rig, rig.pick_nodes(trouble.part), trouble.for_us, slow=trouble.size)


@trouble(TroubleKind.NEIGHBOUR)
def neighbour(rig: Rig, trouble: TroubleSettings) -> None:
    """Another program takes up capacity of the nodes during every second period of `every_us`."""
    affected, end = rig.pick_nodes(trouble.part), rig.hub.now() + trouble.for_us
    while rig.hub.now() < end:
        apply_faults_for(rig, affected, trouble.every_us, slow=trouble.size)
        rig.hub.sleep(trouble.every_us)


@trouble(TroubleKind.PAUSES)
def pauses(rig: Rig, trouble: TroubleSettings) -> None:
    """Nodes pause repeatedly for `size` milliseconds."""
    affected, end = rig.pick_nodes(trouble.part), rig.hub.now() + trouble.for_us
    while rig.hub.now() < end:
        for node in affected:
            node.pause(int(trouble.size * 1000))
            rig.hub.sleep(trouble.every_us // len(affected))


@trouble(TroubleKind.VANISH)
def vanish(rig: Rig, trouble: TroubleSettings) -> None:
    """Nodes stop without resetting their connections, and restart with cold caches."""
    affected = rig.pick_nodes(trouble.part)
    for node in affected:
        node.stop(silent=True)
    rig.hub.sleep(trouble.for_us)
    for node in affected:
        rig.restart_node(node)


@trouble(TroubleKind.MASS_RESTART)
def mass_restart(rig: Rig, trouble: TroubleSettings) -> None:
    """A fraction of the nodes stops at the same time, and restarts with cold caches."""
    affected = rig.pick_nodes(trouble.part)
    for node in affected:
        node.stop()
    rig.hub.sleep(trouble.for_us)
    for node in affected:
        rig.restart_node(node)


@trouble(TroubleKind.PREEMPT)
def preempt(rig: Rig, trouble: TroubleSettings) -> None:
    """Nodes are removed at a second's notice; replacements with the same data start with cold caches."""
    affected = rig.pick_nodes(trouble.part)
    for node in affected:
        rig.list_service_of(node).set_state(node.settings.name, NodeState.DRAINING)
    rig.hub.sleep(NOTICE_US)
    for node in affected:
        node.stop()
        rig.list_service_of(node).set_state(node.settings.name, NodeState.GONE)
    rig.hub.sleep(trouble.for_us)
    for node in affected:
        rig.add_node(f"{node.settings.name}b", node.settings.shard, cold=True)


@trouble(TroubleKind.DRAIN)
def drain(rig: Rig, trouble: TroubleSettings) -> None:
    """Nodes are listed as draining for a time while they go on working, and are then listed as up."""
    affected = rig.pick_nodes(trouble.part)
    for node in affected:
        rig.list_service_of(node).set_state(node.settings.name, NodeState.DRAINING)
    rig.hub.sleep(trouble.for_us)
    for node in affected:
        rig.list_service_of(node).set_state(node.settings.name, NodeState.UP)


@trouble(TroubleKind.DISCOVERY_DOWN)
def discovery_down(rig: Rig, trouble: TroubleSettings) -> None:
    """The list service refuses every call."""
    rig.set_list_down(True)
    rig.hub.sleep(trouble.for_us)
    rig.set_list_down(False)


@trouble(TroubleKind.ZONE_CUT)
def zone_cut(rig: Rig, trouble: TroubleSettings) -> None:
    """Nothing passes between the last zone's nodes and the heads of other zones."""
    zone = rig.day.zones[-1]
    remote_heads = frozenset(
        slot.head.head_id for slot in rig.heads if slot.zone != zone and slot.head is not None
    )
    affected = [node for node in rig.nodes.values() if node.settings.zone == zone]
    apply_faults_for(rig, affected, trouble.for_us, cut_off=remote_heads)


@trouble(TroubleKind.BAD_RELEASE)
def bad_release(rig: Rig, trouble: TroubleSettings) -> None:
    """Every request for one volume breaks its connection to the node, or stops the node if `how` is kill."""
    fatal, end = trouble.how == "kill", rig.hub.now() + trouble.for_us
    poison = frozenset((rig.random.choice(rig.volumes).name,))
    nodes = list(rig.nodes.values())
    for node in nodes:
        node.faults = replace(node.faults, poison=poison, fatal=fatal)
    while rig.hub.now() < end:
        rig.hub.sleep(RESTART_US)
        for node in nodes:
            if node.fatal_request_received and node.up:
                node.stop()
                rig.run_after(trouble.every_us, partial(rig.restart_node, node))
    for node in nodes:
        node.faults = replace(node.faults, poison=frozenset(), fatal=False)


@trouble(TroubleKind.CELL_MOVE)
def cell_move(rig: Rig, trouble: TroubleSettings) -> None:
    """One volume is moved to another cell; heads receive the new map one after another."""
    old = rig.cells
    target = next(cell for cell in old.cell_names() if cell != old.volumes[MOVED_VOLUME])
    rig.cells = HeadCellMap(old.version + 1, old.shards, {**old.volumes, MOVED_VOLUME: target})
    for slot in rig.heads:
        notify_cell_map(rig, slot)
        rig.hub.sleep(trouble.every_us // len(rig.heads))


def notify_cell_map(rig: Rig, slot: HeadSlot) -> None:
    """Send a head the current cell map; a paused head receives it when it resumes."""

    def receive_map() -> None:
        # A head that is still starting has no module yet, and gets the current map when it creates one.
        module = getattr(slot.head, "module", None)
        is_running = slot.head is not None and slot.task is not None and not slot.task.done
        if is_running and isinstance(module, CellScheduler) and module.map.version < rig.cells.version:
            slot.head.apply_cell_map(rig.cells)  # type: ignore[union-attr]

    rig.hub.at_for(slot.head, rig.hub.now(), receive_map)


@trouble(TroubleKind.BALANCER_ROLL)
def balancer_roll(rig: Rig, trouble: TroubleSettings) -> None:
    """Heads are killed one after another and restart with their stored state."""
    for slot in rig.heads:
        rig.kill_head(slot)
        rig.hub.sleep(trouble.every_us)
        rig.start_head(slot)
        rig.hub.sleep(trouble.for_us // max(1, len(rig.heads)))


# The states of a waiting part in which a head is killed, one after another.
WAIT_STEPS: tuple[Callable[[Part], bool], ...] = (
    lambda part: part.state is PartState.QUEUED and not part.attempts,  # never sent
    lambda part: part.state is PartState.SUBMITTED and not part.attempts,  # reoffered, held by the module
    lambda part: (
        part.state is PartState.IN_FLIGHT and part.request.kind in MODIFYING_KINDS
    ),  # a write that was sent after a wait
    lambda part: part.state is PartState.QUEUED and bool(part.attempts),  # sent before, and waiting again
    lambda part: part.request.kind is Kind.FLUSH,
)


@trouble(TroubleKind.WAITING_KILL)
def waiting_kill(rig: Rig, trouble: TroubleSettings) -> None:
    """For each state of WAIT_STEPS a head is killed while one of its parts is in that state, and restarts."""
    end = rig.hub.now() + trouble.for_us
    for step in WAIT_STEPS:
        target: HeadSlot | None = None
        while target is None and rig.hub.now() < end:
            rig.hub.sleep(1_000)
            for slot in rig.heads:
                core = getattr(slot.head, "core", None)
                is_running = slot.task is not None and not slot.task.done
                if is_running and core is not None and any(map(step, core.parts_that_waited())):
                    target = slot
        if target is not None:
            rig.kill_head(target)
            rig.hub.sleep(trouble.every_us)
            rig.start_head(target)


@trouble(TroubleKind.BALANCER_STALL)
def balancer_stall(rig: Rig, trouble: TroubleSettings) -> None:
    """Heads pause repeatedly for `size` milliseconds."""
    end = rig.hub.now() + trouble.for_us
    while rig.hub.now() < end:
        for slot in rig.heads:
            pause_us = int(trouble.size * 1000)
            rig.recorder.add(rec.HeadPaused(t=rig.hub.now(), head=slot.name, us=pause_us))
            rig.hub.freeze(slot.head, pause_us)
            rig.hub.sleep(trouble.every_us)


@trouble(TroubleKind.GIVE_UP)
def give_up(rig: Rig, trouble: TroubleSettings) -> None:
    """Clients repeatedly close their connections while requests are open."""
    end = rig.hub.now() + trouble.for_us
    connections = [connection for slot in rig.heads for connection in slot.connections]
    while rig.hub.now() < end:
        for connection in connections:
            if rig.random.random() < trouble.part:
                connection.disconnect()
        rig.hub.sleep(trouble.every_us)


@trouble(TroubleKind.RECONNECT)
def reconnect(rig: Rig, trouble: TroubleSettings) -> None:
    """Clients of a fraction of the volumes reconnect, and another head then gets most of their requests."""
    for flow in rig.random.sample(rig.flows, max(1, round(trouble.part * len(rig.flows)))):
        flow.preferred_connection += 1
        for connection in flow.connections:
            connection.disconnect()


@trouble(TroubleKind.RETRY_ABUSE)
def retry_abuse(rig: Rig, trouble: TroubleSettings) -> None:
    """Clients retry refused and failed requests up to `size` times without a backoff."""
    policy, before = rig.retry_policy, replace(rig.retry_policy)
    policy.retries, policy.backoff_us = int(trouble.size), 0
    rig.hub.sleep(trouble.for_us)
    policy.retries, policy.backoff_us = before.retries, before.backoff_us


@trouble(TroubleKind.HOT_KEY)
def hot_key(rig: Rig, trouble: TroubleSettings) -> None:
    """One volume gets `size` times its usual load, and all its reads go to four extents."""
    flow = rig.random.choice(rig.flows)
    extent = flow.model.extent_sectors
    first = rig.random.randrange(flow.model.sectors // extent - 4) * extent
    flow.rate_factor, flow.hot_sectors = trouble.size, (first, first + 4 * extent)
    rig.hub.sleep(trouble.for_us)
    flow.rate_factor, flow.hot_sectors = 1.0, None


@trouble(TroubleKind.SCAN)
def scan(rig: Rig, trouble: TroubleSettings) -> None:
    """One volume gets `size` times its usual load, and its reads scan it sequentially, over all its nodes."""
    flow = rig.random.choice(rig.flows)
    flow.rate_factor, flow.next_scan_sector = trouble.size, 0
    rig.hub.sleep(trouble.for_us)
    flow.rate_factor, flow.next_scan_sector = 1.0, -1


@trouble(TroubleKind.TENANT_BURST)
def tenant_burst(rig: Rig, trouble: TroubleSettings) -> None:
    """All volumes of one plan get `size` times their usual load."""
    plan = trouble.plan or rig.random.choice(sorted({volume.plan for volume in rig.volumes}))
    names = {volume.name for volume in rig.volumes if volume.plan == plan}
    affected = [flow for flow in rig.flows if flow.model.name in names]
    for flow in affected:
        flow.rate_factor = trouble.size
    rig.hub.sleep(trouble.for_us)
    for flow in affected:
        flow.rate_factor = 1.0
