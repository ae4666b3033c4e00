"""A link to a storage node: attempts are cancelled and the node dies, also during the handshake."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any, cast

from harriertrack.config.settings import NodeStandInSettings, VolumeSettings
from harriertrack.decisions.interface import Result
from harriertrack.decisions.requests import Attempt
from harriertrack.decisions.splitting import Kind
from harriertrack.gateway.links import Links
from harriertrack.gateway.parts import HeadParts
from harriertrack.lab.interleaving.world import Scenario, World
from harriertrack.runtime.hub import Scope
from harriertrack.standin.node import ShardStorage
from harriertrack.standin.node_server import NodeServer

HEAD, NODE, VOLUME = "head", "node", "v"
EXTENT = 4096
IDLE_US = 50_000


@dataclass(eq=False)
class _Attempt:
    """An attempt with the attributes that links use, and its outcome."""

    part: Any
    number: int = 1
    volume: str = VOLUME
    sent_at: int = 0
    reported: bool = False
    offered: bool = False  # passed to the links
    sent: int = 0
    cancelled_before_send: bool = False  # cancelled before it was sent
    ends: list[Result] = field(default_factory=list)
    carrier: object = None
    is_abandoned_change: bool = False  # both are reads
    member: Any = field(default_factory=lambda: SimpleNamespace(entry=SimpleNamespace(node=NODE)))

    @property
    def answer_needed(self) -> bool:
        """Whether the request still waits for this attempt."""
        return not self.reported


def _attempt(number: int) -> _Attempt:
    request = SimpleNamespace(kind=Kind.READ, flags=0)
    return _Attempt(SimpleNamespace(number=number, request=request, offset=0, length=512))


class _Core:
    def may_begin(self, _now: int, _attempt: _Attempt) -> bool:
        return True  # always: the link itself must discard a cancelled attempt

    def attempt_sent(self, attempt: _Attempt) -> None:
        attempt.sent += 1

    def attempt_ended(self, _now: int, attempt: _Attempt, result: Result, *_more: object) -> None:
        attempt.ends.append(result)


def _link(dies: bool) -> Callable[[World], None]:
    def build(world: World) -> None:
        hub, attempts = world.hub, [_attempt(1), _attempt(2)]
        links_made: list[Links] = []
        volume = VolumeSettings(name=VOLUME, size_bytes=4 * EXTENT, plan="p")
        settings = NodeStandInSettings(listen=(NODE, 1), extent_bytes=EXTENT, unit_us=100, volumes=(volume,))

        def node() -> None:
            with hub.scope(NODE) as scope:
                server = NodeServer(hub, world.network, settings, ShardStorage(EXTENT))
                server.start(scope)

        def head_parts(scope: Scope) -> HeadParts:
            limits = SimpleNamespace(orphans=4, dial_us=100_000, idle_us=IDLE_US)
            own = SimpleNamespace(limits=limits, volumes=[volume], plain_nodes=False)
            nodes = SimpleNamespace(find=lambda _name: SimpleNamespace(address=(NODE, 1)))
            parts = SimpleNamespace(
                hub=hub, network=world.network, settings=own, core=_Core(), nodes=nodes, head_id=7,
                scope=scope, note=lambda *_args, **_fields: None, name=HEAD, budget_shares=None,
            )  # fmt: skip
            return cast(HeadParts, parts)

        def head() -> None:
            with hub.scope(HEAD) as scope:
                links = Links(head_parts(scope))
                links_made.append(links)
                hub.sleep(0)
                for attempt in attempts:
                    attempt.offered = True
                    links.send(cast(Attempt, attempt))
                    hub.sleep(0)

        def call_off() -> None:
            attempt = attempts[0]
            if attempt.offered and not attempt.ends:
                attempt.reported, attempt.cancelled_before_send = True, not attempt.sent
                links_made[0].call_off(cast(Attempt, attempt))

        world.spawn(NODE, "node", node)
        world.spawn(HEAD, "head", head, ends=True)
        world.fault("the first is called off", HEAD, call_off)
        if dies:
            world.may_die(NODE)

        def judge(_view: object) -> str | None:
            for number, attempt in enumerate(attempts, 1):
                if attempt.sent > 1 or len(attempt.ends) > 1:
                    return (
                        f"attempt {number} was sent {attempt.sent} times and ended {len(attempt.ends)} times"
                    )
                if attempt.sent and attempt.cancelled_before_send:
                    return f"attempt {number} was sent after it was called off"
                if attempt.sent and Result.CONNECT_FAILED in attempt.ends:
                    return f"attempt {number} was sent, and told as never run"
            return None

        def finish() -> str | None:
            if len(attempts[1].ends) != 1 or (not attempts[0].reported and len(attempts[0].ends) != 1):
                return f"an attempt has no end: {[one.ends for one in attempts]}"
            return f"{len(links_made[0])} links are left" if len(links_made[0]) else None

        world.view = lambda: tuple((one.sent, tuple(one.ends), one.reported) for one in attempts)
        world.judge, world.finish = judge, finish

    return build


SCENARIOS = (
    Scenario("link-cancel", "a link's attempts, one called off at any time", _link(False), until_us=300_000),
    Scenario("link-node-dies", "the same, and the node may die", _link(True), until_us=300_000),
)
