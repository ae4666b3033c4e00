"""What a soak run does, drawn from its seed: settings, parties, and a timeline of faults. No I/O.

Times are microseconds from the start of the timeline, which begins once all heads are ready.
"""

from __future__ import annotations

from enum import StrEnum
from random import Random
from typing import Any

import msgspec

MS = 1_000
SECOND = 1_000_000
# The platform kills a head no sooner than its longest deadline, capped at this, and the margin after SIGTERM.
MAX_KILL_DEADLINE_US = 3 * SECOND
KILL_MARGIN_US = 700 * MS
QUIET_US = 4 * SECOND  # without faults, at the end of a run
MIN_HEADS, MAX_HEADS = 2, 30
MAX_CROWD = 400  # connections of the crowds of all heads: one process holds them all, and may have 1,024
# Hostile clients come to heads with places to spare, so that no usual client is turned away for them.
HOSTILE_SOCKETS, MAX_HOSTILE_CONNECTIONS = 1_024, 300
MAX_FEW_CONNECTIONS = 8
MEMORY_MB = (32, 32, 64, 192)
READS, WRITES, POSTS = "look", "note", "post"


class Outage(StrEnum):
    """How calls to discovery fail during an outage."""

    SILENT = "silent"
    FAILING = "failing"


class Return(StrEnum):
    """How a node comes back after its drain."""

    SAME = "same"  # it was never stopped
    COLD = "cold"  # it was restarted while it was away


class Drain(msgspec.Struct, frozen=True, kw_only=True, tag="drain"):
    """A node drains; after `gone_after_us` (0: never) it has left the list, after `for_us` it is back."""

    at: int
    node: int
    for_us: int
    gone_after_us: int
    back: Return


class DiscoveryOutage(msgspec.Struct, frozen=True, kw_only=True, tag="discovery-outage"):
    """Discovery can't be reached."""

    at: int
    for_us: int
    how: Outage


class SlowDiscovery(msgspec.Struct, frozen=True, kw_only=True, tag="slow-discovery"):
    """Each call to discovery takes a while, one after another."""

    at: int
    for_us: int
    service_us: int


class WatchReset(msgspec.Struct, frozen=True, kw_only=True, tag="watch-reset"):
    """All open connections to discovery are reset."""

    at: int


class WatchSilence(msgspec.Struct, frozen=True, kw_only=True, tag="watch-silence"):
    """All open watches fall silent; their connections stay open."""

    at: int


class NodeHang(msgspec.Struct, frozen=True, kw_only=True, tag="node-hang"):
    """A node takes requests and answers none."""

    at: int
    node: int
    for_us: int


class HeadPause(msgspec.Struct, frozen=True, kw_only=True, tag="head-pause"):
    """A head's process is stopped (SIGSTOP) for a while."""

    at: int
    head: int
    for_us: int


class HostileKind(StrEnum):
    """What hostile clients do."""

    SILENT = "silent"  # connect, and say nothing
    SHORT_FIELDS = "short-fields"  # heads of very many fields of one letter, never ended
    SMALL_PIECES = "small-pieces"  # a long body, a few bytes at a time
    HALF_BODIES = "half-bodies"  # all of a long request but its last byte
    UNSOUND = "unsound"  # what can't be read, one connection after another
    PIPELINED = "pipelined"  # many requests at once
    NEW_NAMES = "new-names"  # small requests that are refused at once, each of a new volume


HOSTILE_CROWDS = (
    HostileKind.SILENT,
    HostileKind.SHORT_FIELDS,
    HostileKind.SMALL_PIECES,
    HostileKind.HALF_BODIES,
)


class HostileClients(msgspec.Struct, frozen=True, kw_only=True, tag="hostile-clients"):
    """A process of hostile clients connects to a head for a while."""

    at: int
    head: int
    kind: HostileKind
    connections: int
    for_us: int


class HeadRestart(msgspec.Struct, frozen=True, kw_only=True, tag="head-restart"):
    """A head gets signals in series and starts again.

    SIGHUP with another source `reloads` times, the first `reload_before_us` before SIGTERM, and SIGKILL at
    the earliest that the platform allows; without `planned`, SIGKILL alone. The next process starts `away_us`
    after the end, and takes `startup_us` at least, with the list as the head had it last, or an `older_list`.
    """

    at: int
    head: int
    planned: bool
    reloads: int
    reload_before_us: int
    away_us: int
    startup_us: int
    older_list: bool


Step = (
    Drain
    | DiscoveryOutage
    | SlowDiscovery
    | WatchReset
    | WatchSilence
    | NodeHang
    | HeadPause
    | HeadRestart
    | HostileClients
)


class Plan(msgspec.Struct, frozen=True, kw_only=True):
    """A soak run: `gap_us` is the mean time between requests of one client connection."""

    seed: int
    heads: int
    nodes: int
    clients: int  # connections to each head that send requests
    crowd: int  # connections to each head that send nothing or half a request
    gap_us: int
    sockets: int
    memory_mb: int  # of each head
    length_us: int
    settings: dict[str, Any]
    steps: tuple[Step, ...]

    @property
    def kill_after_us(self) -> int:
        """Return how long after SIGTERM the platform kills a head at the earliest."""
        longest_us = max(lane["giveUpUs"] for lane in self.settings["lanes"])
        return min(longest_us, MAX_KILL_DEADLINE_US) + KILL_MARGIN_US


class Drawing:
    """Draws one plan."""

    def __init__(self, seed: int, heads: int | None, seconds: int) -> None:
        self._random = Random(seed)
        self._seed = seed
        self._heads = heads or self._random.randint(MIN_HEADS, 8)
        self._nodes = self._random.randint(4, 9)
        self._length_us = seconds * SECOND
        self._active_us = self._length_us - QUIET_US

    def plan(self) -> Plan:
        """Return the plan."""
        crowded = self._random.random() < 0.25
        clients = self._random.randint(3, 6)
        settings = self._settings()
        steps = [*self._drains(), *self._discovery_faults(), *self._node_faults(), *self._head_faults()]
        crowd = min(self._random.randint(20, 120), MAX_CROWD // self._heads) if crowded else 0
        gap_us = self._random.randint(60, 160) * MS
        hostile = self._hostile_clients(crowded)
        steps += hostile
        return Plan(
            seed=self._seed,
            heads=self._heads,
            nodes=self._nodes,
            clients=clients,
            crowd=crowd,
            gap_us=gap_us,
            sockets=128 if crowded else HOSTILE_SOCKETS if hostile else 256,
            memory_mb=self._random.choice(MEMORY_MB),
            length_us=self._length_us,
            settings=settings,
            steps=tuple(sorted(steps, key=lambda step: step.at)),
        )

    def _us(self, shortest_ms: int, longest_ms: int) -> int:
        return self._random.randint(shortest_ms, longest_ms) * MS

    def _settings(self) -> dict[str, Any]:
        longest_us = self._random.choice((700, 1_500, 3_000, 6_000)) * MS
        lanes = [
            self._lane(READS, "read_like", min(1_500 * MS, longest_us)),
            {
                **self._lane(WRITES, "idempotency_key", longest_us),
                "group": "cell",
                "keyTtlUs": self._us(300, 2_500),
            },
            self._lane(POSTS, "non_idempotent", min(2_500 * MS, longest_us)),
        ]  # fmt: skip
        return {
            "nInstances": self._heads,
            "tickUs": 2 * MS,
            "discovery": self._random.choice(("on_request", "on_request", "on_request", "pushed")),
            "lanes": lanes,
            "contracts": [
                {"name": "gold", "baseRate": 500, "reserve": 300, "shares": 1},
                {"name": "capped", "baseRate": 20, "reserve": 5, "shares": 1, "ceilingRate": 20 * self._heads,
                 "mostAtOnce": 40 * self._heads, "capSlack": 4},
            ],  # fmt: skip
            "permissions": {"sendCap": 3, "mayCancel": True, "retryAfter": True, "maxRetryAfterUs": 500 * MS,
                            "mostHeld": 1000, "connIdleUs": 3 * SECOND, "dialTimeoutUs": 250 * MS},
            "safety": {"drainGraceUs": self._random.choice((400, 1_000, 2_000)) * MS, "fallUs": 2 * SECOND,
                       "overloadFactor": 2, "startCapacity": 0.2, "warmAfterUs": 6 * SECOND,
                       "askWithinUs": self._random.choice((5, 10)) * SECOND},
            "familyInfo": {"usualUnits": 1, "mostUnits": 4, "coldUnits": 8, "slotsTotal": self._nodes,
                           "classWrites": [False, True, True]},
        }  # fmt: skip

    def _lane(self, name: str, effect: str, give_up_us: int) -> dict[str, Any]:
        aim_us = max(100 * MS, give_up_us // self._random.randint(3, 5))
        return {"name": name, "aimUs": aim_us, "giveUpUs": give_up_us, "idempotency": effect, "value": 2.0}

    def _drains(self) -> list[Step]:
        """Draw drains; a node's next one begins once it has been back for a while."""
        free_from = [0] * self._nodes
        steps: list[Step] = []
        at = self._us(500, 2_500)
        while at < self._active_us:
            nodes = [node for node in range(self._nodes) if free_from[node] <= at]
            for node in self._random.sample(nodes, min(len(nodes), self._random.randint(1, 2))):
                for_us = self._us(3_500, 11_000)
                gone_after_us = self._random.choice((0, for_us // 3, for_us // 2))
                back = self._random.choice((Return.SAME, Return.COLD))
                steps.append(Drain(at=at, node=node, for_us=for_us, gone_after_us=gone_after_us, back=back))
                free_from[node] = at + for_us + 1_500 * MS
            at += self._us(500, 4_000)
        return steps

    def _discovery_faults(self) -> list[Step]:
        steps: list[Step] = []
        if self._random.random() < 0.4:
            how = self._random.choice(tuple(Outage))
            steps.append(DiscoveryOutage(at=self._us(1_000, 9_000), for_us=self._us(500, 5_000), how=how))
        if self._random.random() < 0.4:
            service_us = self._us(2, 60)
            steps.append(
                SlowDiscovery(at=self._us(0, 9_000), for_us=self._us(3_000, 15_000), service_us=service_us)
            )
        if self._random.random() < 0.4:
            steps.append(WatchReset(at=self._us(1_000, self._active_us // MS)))
        if self._random.random() < 0.4:
            steps.append(WatchSilence(at=self._us(1_000, self._active_us // MS)))
        return steps

    def _node_faults(self) -> list[Step]:
        return [
            NodeHang(at=self._us(1_000, self._active_us // MS), node=node, for_us=self._us(300, 5_000))
            for node in range(self._nodes)
            if self._random.random() < 0.2
        ]

    def _head_faults(self) -> list[Step]:
        """Draw one restart of most heads, far enough from the end to be over, and pauses of the others."""
        steps: list[Step] = []
        latest_ms = (self._active_us - 9 * SECOND) // MS
        for head in range(self._heads):
            if self._random.random() < 0.8:
                steps.append(self._restart(head, self._us(1_500, max(2_000, latest_ms))))
            elif self._random.random() < 0.5:
                at, for_us = self._us(1_000, self._active_us // MS), self._us(50, 4_000)
                steps.append(HeadPause(at=at, head=head, for_us=for_us))
        return steps

    def _hostile_clients(self, crowded: bool) -> list[Step]:
        """Draw hostile clients of some runs; beside a crowd those that need few connections."""
        if self._random.random() < 0.4:
            return []
        kinds = [kind for kind in HostileKind if kind not in HOSTILE_CROWDS or not crowded]
        steps: list[Step] = []
        for _ in range(self._random.randint(1, 3)):
            kind = self._random.choice(kinds)
            most = MAX_HOSTILE_CONNECTIONS if kind in HOSTILE_CROWDS else MAX_FEW_CONNECTIONS
            steps.append(
                HostileClients(
                    at=self._us(500, self._active_us // MS),
                    head=self._random.randrange(self._heads),
                    kind=kind,
                    connections=self._random.randint(1, most),
                    for_us=self._us(1_000, 6_000),
                )
            )
        return steps

    def _restart(self, head: int, at: int) -> HeadRestart:
        planned = self._random.random() < 0.7
        return HeadRestart(
            at=at,
            head=head,
            planned=planned,
            reloads=self._random.choice((0, 1, 1, 2, 3)) if planned else 0,
            reload_before_us=self._us(5, 4_000),
            away_us=self._us(50, 900),
            startup_us=self._us(0, 1_600),
            older_list=self._random.random() < 0.3,
        )


def draw(seed: int, heads: int | None = None, seconds: int = 28) -> Plan:
    """Return the plan of a seed; `heads`: drawn if None. `seconds` is the length of its timeline."""
    return Drawing(seed, heads, seconds).plan()
