"""What surrounds the heads of a soak: storage nodes and discovery on loopback, which record what they see."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial
from itertools import count
from random import Random

from harriertrack.lab.soak.plan import MS, Plan
from harriertrack.rules import platform_recording as rec
from harriertrack.runtime.hub import Hub, Scope
from harriertrack.runtime.streams import Network
from harriertrack.standin.platform import (
    NEVER_RAN,
    NO_RESPONSE,
    RESET,
    Outage,
    PlatformDiscovery,
    PlatformNode,
    ReceivedRequest,
    answer,
)
from harriertrack.standin.queue import CallQueue

IN_SERVICE, DRAINING, GONE = "in_service", "terminating", "terminated"
MIN_DELAY_US, MAX_DELAY_US = 2 * MS, 20 * MS
RESET_SHARE = 0.02  # of the attempts, by a reset in place of an answer
TURNED_AWAY_SHARE = 0.3  # of the attempts at a draining node
Add = Callable[[rec.Record], None]


class SoakNode:
    """A storage node that answers after a drawn delay, hangs, and turns requests away while it drains."""

    def __init__(self, hub: Hub, network: Network, name: str, shard: int, random: Random, serial: count[int],
                 add: Add) -> None:  # fmt: skip
        self.name, self.shard, self.state, self.started_ms = name, shard, IN_SERVICE, 0
        self.hanging = False
        self._hub, self._random, self._serial, self._add = hub, random, serial, add
        self._server = PlatformNode(hub, network, self._respond, delay_us=0)
        self.address = self._server.address

    def start(self, scope: Scope) -> None:
        """Start to serve."""
        self._server.start(scope)

    def close(self) -> None:
        """Stop listening."""
        self._server.close()

    def _respond(self, request: ReceivedRequest) -> bytes:
        """Record a request and return its answer; runs in the task of its connection."""
        trace, serial = request.fields.get("x-trace-id", ""), next(self._serial)
        self._add(rec.AttemptReceived(t=request.received_at_us, serial=serial, node=self.name, trace=trace))
        if self.hanging:
            return NO_RESPONSE
        self._hub.sleep(self._random.randint(MIN_DELAY_US, MAX_DELAY_US))
        if self._random.random() < RESET_SHARE:
            return RESET
        never_ran = self.state != IN_SERVICE and self._random.random() < TURNED_AWAY_SHARE
        self._add(
            rec.AttemptAnswered(
                t=self._hub.now(), serial=serial, node=self.name, trace=trace, never_ran=never_ran
            )
        )
        return NEVER_RAN if never_ran else answer(trace.encode())


class _HeadDiscovery(PlatformDiscovery):
    """One source of the list, as one head reaches it. A node that has left is named among changes only."""

    def full_list(self) -> dict:
        """Return the complete list, as it is sent."""
        content = super().full_list()
        listed = [entry for entry in content["servers"] if entry["state"] != GONE]
        return {**content, "servers": listed}


class SoakDiscovery:
    """One list for all heads; each head has two addresses of it, and what it was told is recorded."""

    def __init__(self, hub: Hub, network: Network, plan: Plan, add: Add) -> None:
        self._hub, self._add = hub, add
        self._sources: dict[str, list[_HeadDiscovery]] = {}
        self._told: dict[str, list[dict]] = {}  # by head: the lists that it had, the latest last
        for number in range(plan.heads):
            name = head_name(number)
            self._sources[name] = [_HeadDiscovery(hub, network) for _ in range(2)]
            for source in self._sources[name]:
                source.on_answer = partial(self._note_answer, name)
        self.version = 1

    def start(self, scope: Scope) -> None:
        """Start to serve."""
        for source in self._all():
            source.start(scope)

    def close(self) -> None:
        """Stop listening."""
        for source in self._all():
            source.close()

    def _all(self) -> list[_HeadDiscovery]:
        return [source for sources in self._sources.values() for source in sources]

    def address(self, head: str, moved: bool) -> str:
        """Return the address at which a head finds the list, before or after it moved."""
        host, port = self._sources[head][moved].address
        return f"{host}:{port}"

    def saved_list(self, head: str, older: bool) -> dict:
        """Return the list as a head had it last, or an older one; the first one before it had any."""
        told = self._told.get(head, [])
        if not told:
            return self._sources[head][0].full_list()
        return told[-2] if older and len(told) > 1 else told[-1]

    def publish(self, node: SoakNode, rate: float = 0.0) -> None:
        """Let discovery have a node's state from now on; `rate`: its capacity, if it has just restarted."""
        self._add(rec.NodeChanged(t=self._hub.now(), node=node.name, state=node.state, rate=rate))
        for source in self._all():
            source.set_server(node.name, node.address, node.shard, node.state, node.started_ms)

    def set_outage(self, outage: Outage) -> None:
        """Begin or end an outage; silent calls that are open end with it."""
        self._add(rec.OutageChanged(t=self._hub.now(), begins=outage is not Outage.NONE))
        for source in self._all():
            source.outage = outage
            source.reset_connections()

    def set_service_us(self, service_us: int) -> None:
        """Let each call take a while, all heads' calls one after another; 0: none."""
        queue = CallQueue(self._hub, service_us) if service_us else None
        for source in self._all():
            source.queue = queue

    def silence_watches(self) -> None:
        """Write nothing more on any open connection, and leave the connections open."""
        self._add(rec.WatchesSilenced(t=self._hub.now()))
        for source in self._all():
            source.silence_watches()

    def reset_connections(self) -> None:
        """Reset all open connections."""
        for source in self._all():
            source.reset_connections()

    def _note_answer(self, head: str, content: dict) -> None:
        """Record an answer that discovery writes to a head."""
        states = {entry["id"]: entry["state"] for entry in content["servers"]}
        version, full = content["version"], content["full"]
        self._add(rec.ListWritten(t=self._hub.now(), head=head, version=version, full=full, states=states))
        if states:
            self._keep(head, content)

    def _keep(self, head: str, content: dict) -> None:
        """Keep what a head now has, as a complete list."""
        told = self._told.setdefault(head, [self._sources[head][0].full_list()])
        entries = {} if content["full"] else {entry["id"]: entry for entry in told[-1]["servers"]}
        entries.update((entry["id"], dict(entry)) for entry in content["servers"])
        listed = [entry for entry in entries.values() if entry["state"] != GONE]
        told.append({"version": content["version"], "full": True, "servers": listed})


def head_name(number: int) -> str:
    """Return the name of a head."""
    return f"n{number}"
