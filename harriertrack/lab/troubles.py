"""The troubles of a day: each is one function that does its harm to a rig for a while.

docs/operators/days.md tells operators what each looks like.
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

RESTART_US = 10_000  # how soon a node whose process dies is down
NOTICE_US = 1_000_000  # how long before its end a node that is taken away is listed as draining
TROUBLES: dict[TroubleKind, Callable[[Rig, TroubleSettings], None]] = {}


def run(rig: Rig, trouble: TroubleSettings, start: int) -> None:
    """Wait for a trouble's time and let it happen (the trouble's task)."""
    rig.hub.sleep_until(start + trouble.from_us)
    TROUBLES[trouble.name](rig, trouble)


def trouble(kind: TroubleKind) -> Callable:
    """Register a trouble's function."""

    def register(act: Callable[[Rig, TroubleSettings], None]) -> Callable[[Rig, TroubleSettings], None]:
        TROUBLES[kind] = act
        return act

    return register


def apply_faults_for(rig: Rig, shelves: Iterable[NodeServer], us: int, **faults: object) -> None:
    """Let nodes have faults for a time, and be healthy in these again (a task)."""
    struck = list(shelves)
    for shelf in struck:
        shelf.faults = replace(shelf.faults, **faults)  # type: ignore[arg-type]
    rig.hub.sleep(us)
    healthy = Faults()
    for shelf in struck:
        shelf.faults = replace(shelf.faults, **{name: getattr(healthy, name) for name in faults})
        shelf.resume()


@trouble(TroubleKind.ANSWER_LOST)
def answer_lost(rig: Rig, trouble: TroubleSettings) -> None:
    """Nodes do the work, and `size` of their answers never arrive: nothing comes, or a reset."""
    fault = "reset_replies" if trouble.how == "reset" else "lose_replies"
    apply_faults_for(rig, rig.pick_nodes(trouble.part), trouble.for_us, **{fault: trouble.size})


@trouble(TroubleKind.HANG)
def hang(rig: Rig, trouble: TroubleSettings) -> None:
    """Nodes take requests and answer none."""
    apply_faults_for(rig, rig.pick_nodes(trouble.part), trouble.for_us, hang=True)


@trouble(TroubleKind.SLOW)
def slow(rig: Rig, trouble: TroubleSettings) -> None:
    """Nodes work `size` times slower."""
    apply_faults_for(rig, rig.pick_nodes(trouble.part), trouble.for_us, slow=trouble.size)


@trouble(TroubleKind.NEIGHBOUR)
def neighbour(rig: Rig, trouble: TroubleSettings) -> None:
    """Another program takes a part of the nodes, on and off."""
    struck, until = rig.pick_nodes(trouble.part), rig.hub.now() + trouble.for_us
    while rig.hub.now() < until:
        apply_faults_for(rig, struck, trouble.every_us, slow=trouble.size)
        rig.hub.sleep(trouble.every_us)


@trouble(TroubleKind.PAUSES)
def pauses(rig: Rig, trouble: TroubleSettings) -> None:
    """Nodes stand still for `size` milliseconds again and again."""
    struck, until = rig.pick_nodes(trouble.part), rig.hub.now() + trouble.for_us
    while rig.hub.now() < until:
        for shelf in struck:
            shelf.pause(int(trouble.size * 1000))
            rig.hub.sleep(trouble.every_us // len(struck))


@trouble(TroubleKind.VANISH)
def vanish(rig: Rig, trouble: TroubleSettings) -> None:
    """Machines go silent, without a reset, and come back cold."""
    struck = rig.pick_nodes(trouble.part)
    for shelf in struck:
        shelf.stop(silent=True)
    rig.hub.sleep(trouble.for_us)
    for shelf in struck:
        rig.restart_node(shelf)


@trouble(TroubleKind.MASS_RESTART)
def mass_restart(rig: Rig, trouble: TroubleSettings) -> None:
    """A part of the nodes restarts at once and comes back cold."""
    struck = rig.pick_nodes(trouble.part)
    for shelf in struck:
        shelf.stop()
    rig.hub.sleep(trouble.for_us)
    for shelf in struck:
        rig.restart_node(shelf)


@trouble(TroubleKind.PREEMPT)
def preempt(rig: Rig, trouble: TroubleSettings) -> None:
    """Nodes are taken away with a second's notice; others with the same data come in their place, cold."""
    struck = rig.pick_nodes(trouble.part)
    for shelf in struck:
        rig.list_service_of(shelf).set_state(shelf.settings.name, NodeState.DRAINING)
    rig.hub.sleep(NOTICE_US)
    for shelf in struck:
        shelf.stop()
        rig.list_service_of(shelf).set_state(shelf.settings.name, NodeState.GONE)
    rig.hub.sleep(trouble.for_us)
    for shelf in struck:
        rig.add_node(f"{shelf.settings.name}b", shelf.settings.shard, cold=True)


@trouble(TroubleKind.DRAIN)
def drain(rig: Rig, trouble: TroubleSettings) -> None:
    """Nodes are listed as draining, go on for a while, and are up again."""
    struck = rig.pick_nodes(trouble.part)
    for shelf in struck:
        rig.list_service_of(shelf).set_state(shelf.settings.name, NodeState.DRAINING)
    rig.hub.sleep(trouble.for_us)
    for shelf in struck:
        rig.list_service_of(shelf).set_state(shelf.settings.name, NodeState.UP)


@trouble(TroubleKind.DISCOVERY_DOWN)
def discovery_down(rig: Rig, trouble: TroubleSettings) -> None:
    """The list service turns every call away."""
    rig.set_list_down(True)
    rig.hub.sleep(trouble.for_us)
    rig.set_list_down(False)


@trouble(TroubleKind.ZONE_CUT)
def zone_cut(rig: Rig, trouble: TroubleSettings) -> None:
    """Nothing passes between one zone's nodes and the heads of the others."""
    zone = rig.day.zones[-1]
    far = frozenset(slot.head.head_id for slot in rig.heads if slot.zone != zone and slot.head is not None)
    struck = [shelf for shelf in rig.nodes.values() if shelf.settings.zone == zone]
    apply_faults_for(rig, struck, trouble.for_us, cut_off=far)


@trouble(TroubleKind.BAD_RELEASE)
def bad_release(rig: Rig, trouble: TroubleSettings) -> None:
    """Every request of one volume breaks its connection to the node, or with `how` kill the node."""
    fatal, until = trouble.how == "kill", rig.hub.now() + trouble.for_us
    poison = frozenset((rig.random.choice(rig.volumes).name,))
    shelves = list(rig.nodes.values())
    for shelf in shelves:
        shelf.faults = replace(shelf.faults, poison=poison, fatal=fatal)
    while rig.hub.now() < until:
        rig.hub.sleep(RESTART_US)
        for shelf in shelves:
            if shelf.fatal_request_received and shelf.up:
                shelf.stop()
                rig.run_after(trouble.every_us, partial(rig.restart_node, shelf))
    for shelf in shelves:
        shelf.faults = replace(shelf.faults, poison=frozenset(), fatal=False)


@trouble(TroubleKind.CELL_MOVE)
def cell_move(rig: Rig, trouble: TroubleSettings) -> None:
    """One volume is moved to another cell; heads learn of the new map one after another."""
    old = rig.cells
    there = next(cell for cell in old.cell_names() if cell != old.volumes[MOVED_VOLUME])
    rig.cells = HeadCellMap(old.version + 1, old.shards, {**old.volumes, MOVED_VOLUME: there})
    for slot in rig.heads:
        notify_cell_map(rig, slot)
        rig.hub.sleep(trouble.every_us // len(rig.heads))


def notify_cell_map(rig: Rig, slot: HeadSlot) -> None:
    """Let a head learn of the map in force: now, or once it does not stand still any more."""

    def learn() -> None:
        module = getattr(slot.head, "module", None)  # none in a head that just starts: it will know the map
        alive = slot.head is not None and slot.task is not None and not slot.task.done
        if alive and isinstance(module, CellScheduler) and module.map.version < rig.cells.version:
            slot.head.apply_cell_map(rig.cells)  # type: ignore[union-attr]

    rig.hub.at_for(slot.head, rig.hub.now(), learn)


@trouble(TroubleKind.BALANCER_ROLL)
def balancer_roll(rig: Rig, trouble: TroubleSettings) -> None:
    """Heads are killed one after another and come back with what they kept on disk."""
    for slot in rig.heads:
        rig.kill_head(slot)
        rig.hub.sleep(trouble.every_us)
        rig.start_head(slot)
        rig.hub.sleep(trouble.for_us // max(1, len(rig.heads)))


# The steps of a wait at which a head is killed.
WAIT_STEPS: tuple[Callable[[Part], bool], ...] = (
    lambda part: part.state is PartState.QUEUED and not part.attempts,  # never sent
    lambda part: part.state is PartState.SUBMITTED and not part.attempts,  # offered again, held by the module
    lambda part: (
        part.state is PartState.IN_FLIGHT and part.request.kind in MODIFYING_KINDS
    ),  # a write, sent after a wait
    lambda part: part.state is PartState.QUEUED and bool(part.attempts),  # sent, and waiting again
    lambda part: part.request.kind is Kind.FLUSH,
)


@trouble(TroubleKind.WAITING_KILL)
def waiting_kill(rig: Rig, trouble: TroubleSettings) -> None:
    """A head is killed in the moment in which something of it is at each step of a wait, and comes back."""
    until = rig.hub.now() + trouble.for_us
    for step in WAIT_STEPS:
        struck: HeadSlot | None = None
        while struck is None and rig.hub.now() < until:
            rig.hub.sleep(1_000)
            for slot in rig.heads:
                core = getattr(slot.head, "core", None)
                alive = slot.task is not None and not slot.task.done
                if alive and core is not None and any(map(step, core.parts_that_waited())):
                    struck = slot
        if struck is not None:
            rig.kill_head(struck)
            rig.hub.sleep(trouble.every_us)
            rig.start_head(struck)


@trouble(TroubleKind.BALANCER_STALL)
def balancer_stall(rig: Rig, trouble: TroubleSettings) -> None:
    """Heads stand still for `size` milliseconds, again and again."""
    until = rig.hub.now() + trouble.for_us
    while rig.hub.now() < until:
        for slot in rig.heads:
            still = int(trouble.size * 1000)
            rig.recorder.add(rec.HeadPaused(t=rig.hub.now(), head=slot.name, us=still))
            rig.hub.freeze(slot.head, still)
            rig.hub.sleep(trouble.every_us)


@trouble(TroubleKind.GIVE_UP)
def give_up(rig: Rig, trouble: TroubleSettings) -> None:
    """Clients break their connections with requests open, again and again."""
    until = rig.hub.now() + trouble.for_us
    connections = [one for slot in rig.heads for one in slot.connections]
    while rig.hub.now() < until:
        for one in connections:
            if rig.random.random() < trouble.part:
                one.leave()
        rig.hub.sleep(trouble.every_us)


@trouble(TroubleKind.RECONNECT)
def reconnect(rig: Rig, trouble: TroubleSettings) -> None:
    """For a part of the volumes the busiest head changes at a stroke, over new connections."""
    for flow in rig.random.sample(rig.flows, max(1, round(trouble.part * len(rig.flows)))):
        flow.preferred_connection += 1
        for one in flow.connections:
            one.leave()


@trouble(TroubleKind.RETRY_ABUSE)
def retry_abuse(rig: Rig, trouble: TroubleSettings) -> None:
    """Clients repeat what was refused or failed at once, `size` times."""
    habits, before = rig.habits, replace(rig.habits)
    habits.retries, habits.backoff_us = int(trouble.size), 0
    rig.hub.sleep(trouble.for_us)
    habits.retries, habits.backoff_us = before.retries, before.backoff_us


@trouble(TroubleKind.HOT_KEY)
def hot_key(rig: Rig, trouble: TroubleSettings) -> None:
    """One volume asks for `size` times as much, its reads all in a few extents."""
    flow = rig.random.choice(rig.flows)
    extent = flow.model.extent_sectors
    first = rig.random.randrange(flow.model.sectors // extent - 4) * extent
    flow.rate_factor, flow.hot = trouble.size, (first, first + 4 * extent)
    rig.hub.sleep(trouble.for_us)
    flow.rate_factor, flow.hot = 1.0, None


@trouble(TroubleKind.SCAN)
def scan(rig: Rig, trouble: TroubleSettings) -> None:
    """One volume reads from end to end, `size` times its usual load, over all its nodes."""
    flow = rig.random.choice(rig.flows)
    flow.rate_factor, flow.scanning = trouble.size, 0
    rig.hub.sleep(trouble.for_us)
    flow.rate_factor, flow.scanning = 1.0, -1


@trouble(TroubleKind.TENANT_BURST)
def tenant_burst(rig: Rig, trouble: TroubleSettings) -> None:
    """All volumes of one plan ask for `size` times their usual load."""
    plan = trouble.plan or rig.random.choice(sorted({volume.plan for volume in rig.volumes}))
    names = {volume.name for volume in rig.volumes if volume.plan == plan}
    struck = [flow for flow in rig.flows if flow.model.name in names]
    for flow in struck:
        flow.rate_factor = trouble.size
    rig.hub.sleep(trouble.for_us)
    for flow in struck:
        flow.rate_factor = 1.0
