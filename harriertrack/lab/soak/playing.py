"""Plays a soak plan: starts all parties, carries out the timeline, and returns the recording."""

from __future__ import annotations

import signal
import tempfile
from collections.abc import Sequence
from dataclasses import dataclass
from itertools import count
from pathlib import Path
from random import Random
from typing import Any, assert_never

from harriertrack.lab.fleet.processes import LoopbackAddresses
from harriertrack.lab.soak.clients import SoakClients
from harriertrack.lab.soak.heads import RUN, SoakHead
from harriertrack.lab.soak.hostile_clients import FIRST_ID
from harriertrack.lab.soak.hostile_processes import HostileProcesses
from harriertrack.lab.soak.parties import DRAINING, GONE, IN_SERVICE, SoakDiscovery, SoakNode, head_name
from harriertrack.lab.soak.plan import (
    MS,
    SECOND,
    DiscoveryOutage,
    Drain,
    HeadPause,
    HeadRestart,
    HostileClients,
    NodeHang,
    Plan,
    Return,
    SlowDiscovery,
    Step,
    WatchReset,
    WatchSilence,
)
from harriertrack.rules import platform, platform_recording as rec
from harriertrack.rules.breach import Breach
from harriertrack.runtime.hub import Cancelled, Event, Hub, Scope
from harriertrack.runtime.signals import on_signals
from harriertrack.runtime.streams import SocketNetwork
from harriertrack.standin.platform import Outage

SAMPLE_US = 20 * MS  # how often the memory of the heads is looked at
CHECK_US = 5 * MS  # how often the recorder notes that it runs
DELAYED_US = 15 * MS  # a longer gap is noted: records of that time are late
LAST_ANSWERS_US = 1 * SECOND  # beyond the longest deadline, at the end of a run
CAPACITY_TIMES = 2.5  # a node's warm capacity, as a multiple of its mean demand
EFFECTS = {"read_like": "safe", "idempotency_key": "keyed", "non_idempotent": "unsafe"}


@dataclass(frozen=True, slots=True)
class SoakResult:
    """What a run recorded, what it broke, and the heads' logs by name."""

    plan: Plan
    records: list[rec.Record]
    breaches: list[Breach]
    logs: dict[str, str]

    def counts(self) -> dict[str, int]:
        """Return how many requests were sent, answered with which status, or ended otherwise."""
        counts = {"sent": len({one.trace for one in self.records if isinstance(one, rec.RequestSent)})}
        for one in self.records:
            if isinstance(one, rec.RequestEnded):
                outcome = str(one.status) if one.status else one.how
                counts[outcome] = counts.get(outcome, 0) + 1
        return counts


class SoakRun:
    """One run of a plan."""

    def __init__(self, plan: Plan, folder: Path, command: Sequence[str]) -> None:
        self.plan, self.records = plan, list[rec.Record]()
        self.hub = Hub(seed=plan.seed)
        network, numbers, serial = SocketNetwork(self.hub), count(1), count(1)
        self.records.append(_facts(plan))
        self._discovery = SoakDiscovery(self.hub, network, plan, self.records.append)
        self._nodes = [
            SoakNode(self.hub, network, f"s-{shard}", shard, Random(plan.seed * 100 + shard), serial,
                     self.records.append)
            for shard in range(plan.nodes)
        ]  # fmt: skip
        self._hostile = HostileProcesses(self.hub)
        addresses = LoopbackAddresses()
        self.heads = [
            SoakHead(self.hub, network, head_name(number), addresses.next(), plan, self._discovery, folder,
                     command, self.records.append)
            for number in range(plan.heads)
        ]  # fmt: skip
        self._clients = [
            SoakClients(self.hub, network, head, plan, numbers, self.records.append) for head in self.heads
        ]

    def play(self) -> None:
        """Play the whole timeline; a signal ends it with KeyboardInterrupt, once no head runs any more."""
        self.hub.run(self._main)

    def _main(self) -> None:
        ended = Event(self.hub)
        with self.hub.scope("soak") as scope:
            plan = scope.spawn("plan", self._play_plan, scope)
            plan.on_done.append(lambda _task: ended.set())
            with on_signals(self.hub, (signal.SIGINT, signal.SIGTERM), lambda _number: plan.cancel()):
                ended.wait()
            scope.cancel()
        if isinstance(plan.error, Cancelled):
            raise KeyboardInterrupt

    def _play_plan(self, scope: Scope) -> None:
        try:
            self._start(scope)
            begin = self.hub.now()
            until = begin + self.plan.length_us
            for clients in self._clients:
                clients.start(scope, until)
            for step in self.plan.steps:
                scope.spawn("step", self._carry_out, begin, step)
            self.hub.sleep_until(until + max(self._waits()) + LAST_ANSWERS_US)
            for head in self.heads:
                head.check_running()
        finally:
            self.end_processes()
            self._stop_listening()

    def end_processes(self) -> None:
        """Kill the heads and hostile clients that still run."""
        self._hostile.end_all()
        for head in self.heads:
            head.end()

    def _stop_listening(self) -> None:
        self._discovery.close()
        for node in self._nodes:
            node.close()

    def _waits(self) -> list[int]:
        return [lane["giveUpUs"] for lane in self.plan.settings["lanes"]]

    def _start(self, scope: Scope) -> None:
        scope.spawn("recorder", self._note_delays)
        scope.spawn("memory", self._sample_memory)
        self._discovery.start(scope)
        for node in self._nodes:
            node.start(scope)
            self._discovery.publish(node)
        with self.hub.scope("starts") as starts:
            for head in self.heads:
                starts.spawn("start", head.start)

    def _sample_memory(self) -> None:
        """Record what the heads' processes hold (a task)."""
        while True:
            self.hub.sleep(SAMPLE_US)
            for head in self.heads:
                head.sample_memory()

    def _note_delays(self) -> None:
        """Note when this process did not run in time (a task)."""
        while True:
            began_at = self.hub.now()
            self.hub.sleep(CHECK_US)
            gap_us = self.hub.now() - began_at
            if gap_us > DELAYED_US:
                self.records.append(rec.RecorderDelayed(t=began_at, us=gap_us))

    def _carry_out(self, begin: int, step: Step) -> None:
        self.hub.sleep_until(begin + step.at)
        match step:
            case Drain():
                self._drain(self._nodes[step.node], step)
            case DiscoveryOutage():
                self._discovery.set_outage(Outage(step.how.value))
                self.hub.sleep(step.for_us)
                self._discovery.set_outage(Outage.NONE)
            case SlowDiscovery():
                self._discovery.set_service_us(step.service_us)
                self.hub.sleep(step.for_us)
                self._discovery.set_service_us(0)
            case WatchReset():
                self._discovery.reset_connections()
            case WatchSilence():
                self._discovery.silence_watches()
            case NodeHang():
                self._nodes[step.node].hanging = True
                self.hub.sleep(step.for_us)
                self._nodes[step.node].hanging = False
            case HeadPause():
                self.heads[step.head].pause(step.for_us)
            case HeadRestart():
                self.heads[step.head].restart(step)
            case HostileClients():
                self._hostile.play(step, self.heads[step.head].address)
            case _:
                assert_never(step)

    def _drain(self, node: SoakNode, step: Drain) -> None:
        node.state = DRAINING
        self._discovery.publish(node)
        self.hub.sleep(step.gone_after_us or step.for_us)
        if step.gone_after_us:
            node.state = GONE
            self._discovery.publish(node)
            self.hub.sleep(step.for_us - step.gone_after_us)
        node.state = IN_SERVICE
        cold = step.back is Return.COLD
        if cold:
            node.started_ms = self.hub.clock.wall() // 1000
        self._discovery.publish(node, self._capacity() if cold else 0.0)

    def _capacity(self) -> float:
        """Return the warm capacity of a node, in requests a second."""
        demand = self.plan.heads * self.plan.clients * SECOND / self.plan.gap_us / self.plan.nodes
        return CAPACITY_TIMES * demand


def _class_facts(lane: dict[str, Any]) -> rec.ClassFacts:
    return rec.ClassFacts(lane["name"], EFFECTS[lane["idempotency"]], lane.get("keyTtlUs", 0))


def _facts(plan: Plan) -> rec.RunFacts:
    safety, lanes = plan.settings["safety"], plan.settings["lanes"]
    capped = plan.settings["contracts"][1]
    limit = rec.LimitFacts("c" * 16, capped["ceilingRate"], capped["mostAtOnce"], capped["capSlack"])
    return rec.RunFacts(
        seed=plan.seed,
        classes=[_class_facts(lane) for lane in lanes],
        limits=[limit],
        pushed=plan.settings["discovery"] == "pushed",
        crowd=plan.crowd > 0,
        memory_bytes=plan.memory_mb << 20,
        first_hostile_id=f"{FIRST_ID:016x}",
        drain_grace_us=safety["drainGraceUs"],
        max_attempts=plan.settings["permissions"]["sendCap"],
        fall_us=safety["fallUs"],
        fall_multiple=safety["overloadFactor"],
        cold_share=safety["startCapacity"],
        warm_us=safety["warmAfterUs"],
    )


def play(plan: Plan, command: Sequence[str] = RUN) -> SoakResult:
    """Play a plan with heads started by a command, check its recording, and return the result."""
    with tempfile.TemporaryDirectory(prefix="harriertrack-soak-") as folder:
        run = SoakRun(plan, Path(folder), command)
        try:
            run.play()
        finally:
            run.end_processes()
        logs = {head.name: head.log for head in run.heads}
    return SoakResult(plan, run.records, platform.check(run.records), logs)
