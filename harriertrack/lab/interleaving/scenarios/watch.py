"""The watch over the platform's node list: silence races a late answer, an address change, a new list."""

from __future__ import annotations

from collections.abc import Callable
from typing import cast

from harriertrack.decisions.discovery_watch import DiscoveryWatch, WatchState
from harriertrack.decisions.interface import NodesChanged
from harriertrack.decisions.payload_memory import MAX_LIST_BYTES
from harriertrack.decisions.requests import Core
from harriertrack.lab.interleaving.world import Scenario, World
from harriertrack.membership.nodes import NodeList
from harriertrack.runtime.hub import Event
from harriertrack.service.discovery import Discovery
from harriertrack.service.storage_nodes import StorageNodes
from harriertrack.standin.platform import PlatformDiscovery

HEAD, SOURCE, OTHER = "head", "source", "other source"
RETRY_US = 100_000  # retry delay after a failed call, as in the scheduler module
SILENCE_LIMIT_US = 2_000_000  # a call waits for a quarter of it
LIST_CHANGE_US = 50_000
CALL_FAILURE_US = 1_900_000  # the wait of a call, its response limit, and a margin


class _Core:
    """Counts what a head's core is notified of, and requests the list again as its scheduler module does."""

    def __init__(self, world: World) -> None:
        self._world, self.discovery = world, cast(Discovery, None)
        self.notifications = 0
        self.failed_calls = 0  # calls that failed or were overdue

    def nodes_changed(self, _news: NodesChanged) -> None:
        self.notifications += 1

    def list_call_ended(self, _began: int, _answered: bool) -> None:
        """Does nothing: no task waits for it."""

    def log(self, event: str, **_fields: object) -> None:
        self.failed_calls += event == "discovery failed"

    def list_failed(self) -> None:
        hub = self._world.hub
        hub.at(hub.now() + RETRY_US, lambda: self.discovery.subscribe(True))


class _StorageNodes:
    def node_removed(self, _node: str) -> None:
        """Does nothing: no connection is open to the node."""


def _follow_list(moves: bool, stops: bool) -> Callable[[World], None]:
    def build(world: World) -> None:
        hub, core, nodes = world.hub, _Core(world), NodeList()
        watch = DiscoveryWatch(SILENCE_LIMIT_US, None)
        sources: dict[str, PlatformDiscovery] = {}
        versions: list[int] = []
        frozen_at_us: list[int] = []
        names = (SOURCE, OTHER) if moves else (SOURCE,)
        listening = {name: Event(hub) for name in names}  # set once the source listens
        expected_source = SOURCE

        def serve(name: str) -> None:
            with hub.scope(name) as scope:
                source = PlatformDiscovery(hub, world.network, version=1 if name == SOURCE else 3)
                sources[name] = source
                source.set_server("n1", ("127.0.0.1", 9001), 0)
                source.start(scope)
                listening[name].set()
                hub.sleep(LIST_CHANGE_US)
                source.set_server("n2", ("127.0.0.1", 9002), 0)

        def head() -> None:
            with hub.scope("head") as scope:
                for flag in listening.values():
                    flag.wait()
                core.discovery = Discovery(
                    hub,
                    world.network,
                    scope,
                    cast(Core, core),
                    nodes,
                    cast(StorageNodes, _StorageNodes()),
                    watch,
                    sources[SOURCE].address,
                    MAX_LIST_BYTES,
                    0,
                    "head",
                    core.log,
                )
                core.discovery.subscribe(True)
                hub.sleep(LIST_CHANGE_US + SILENCE_LIMIT_US // 8)
                if moves:
                    hub.freeze(SOURCE, 2 * END_US)  # the call in progress is never answered
                    frozen_at_us.append(hub.now())
                if stops:
                    core.discovery.subscribe(False)
                    hub.sleep(0)
                    core.discovery.subscribe(True)
                hub.sleep(CALL_FAILURE_US)

        def move_source() -> None:
            nonlocal expected_source
            if core.discovery is not None:
                expected_source = OTHER
                core.discovery.change_address(sources[OTHER].address)

        if moves:
            world.fault("the source moves", HEAD, move_source)
        for name in names:
            world.spawn(name, "serves", serve, name)
        world.spawn(HEAD, "head", head)

        def view() -> tuple[int | None, tuple[str, ...], int]:
            node_names = tuple(sorted(member.entry.node for member in nodes.members()))
            if watch.version is not None and (not versions or versions[-1] != watch.version):
                versions.append(watch.version)
            return watch.version, node_names, core.notifications

        def judge(_view: object) -> str | None:
            if versions != sorted(versions):
                return f"the list in hand went back: {versions}"
            source = next(
                (candidate for candidate in sources.values() if candidate.version == watch.version), None
            )
            if source is not None and len(nodes) < len(source.servers):
                return f"version {watch.version} is in hand without its entries"
            return None

        def finish() -> str | None:
            source = sources[expected_source]
            if moves and expected_source == SOURCE:
                given_up = (
                    core.failed_calls or not frozen_at_us or hub.now() < frozen_at_us[0] + CALL_FAILURE_US
                )
                return None if given_up else "a call that is never answered is not given up"
            up_to_date = watch.version == source.version and len(nodes) == len(source.servers)
            if up_to_date or watch.state is WatchState.IDLE:
                return None if up_to_date else f"nobody asks: version {watch.version} of {source.version}"
            return f"the list is not told: version {watch.version} of {source.version}"

        world.view, world.judge, world.finish = view, judge, finish

    return build


END_US = 2_400_000

SCENARIOS = (
    Scenario(
        "watch-late",
        "the watch's silence against a late answer",
        _follow_list(False, False),
        lag=True,
        until_us=END_US,
        most_steps=1500,
    ),
    Scenario(
        "watch-moves",
        "the source moves while a call is under way",
        _follow_list(True, False),
        lag=True,
        until_us=END_US,
        most_steps=1500,
    ),
    Scenario(
        "watch-stops",
        "the module stops following, and follows again",
        _follow_list(False, True),
        lag=True,
        until_us=END_US,
        most_steps=1500,
    ),
)
