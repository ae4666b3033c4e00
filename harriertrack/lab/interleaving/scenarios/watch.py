"""The watch over the platform's list: silence against a late answer, a move of the source, a new list."""

from __future__ import annotations

from collections.abc import Callable
from typing import cast

from harriertrack.decisions.discovery_watch import DiscoveryWatch, WatchState
from harriertrack.decisions.interface import NodesChanged
from harriertrack.decisions.requests import Core
from harriertrack.lab.interleaving.world import Scenario, World
from harriertrack.membership.nodes import NodeList
from harriertrack.runtime.hub import Event
from harriertrack.service.discovery import Discovery
from harriertrack.service.storage_nodes import StorageNodes
from harriertrack.standin.platform import PlatformDiscovery

HEAD, SOURCE, OTHER = "head", "source", "other source"
AGAIN_US = 100_000  # after a failed call, as the module does
ASK_WITHIN_US = 2_000_000  # a quarter of it is the wait of a call
NEWS_US = 50_000
GIVEN_UP_US = 1_900_000  # a call's wait, and its patience, and some


class _Core:
    """Hears what the core of a head would, and asks for the list again as its module does."""

    def __init__(self, world: World) -> None:
        self._world, self.discovery = world, cast(Discovery, None)
        self.heard = 0
        self.given_up = 0  # calls that failed or were overdue

    def nodes_changed(self, _news: NodesChanged) -> None:
        self.heard += 1

    def list_call_ended(self, _began: int, _answered: bool) -> None:
        """Nothing waits for it."""

    def log(self, event: str, **_fields: object) -> None:
        self.given_up += event == "discovery failed"

    def list_failed(self) -> None:
        hub = self._world.hub
        hub.at(hub.now() + AGAIN_US, lambda: self.discovery.subscribe(True))


class _Shelfs:
    def node_removed(self, _node: str) -> None:
        """No connection is open to it."""


def _watched(moves: bool, stops: bool) -> Callable[[World], None]:
    def build(world: World) -> None:
        hub, core, nodes = world.hub, _Core(world), NodeList()
        watching = DiscoveryWatch(ASK_WITHIN_US, None)
        sources: dict[str, PlatformDiscovery] = {}
        versions: list[int] = []
        frozen: list[int] = []
        names = (SOURCE, OTHER) if moves else (SOURCE,)
        up = {name: Event(hub) for name in names}  # it listens
        wanted = SOURCE

        def serves(name: str) -> None:
            with hub.scope(name) as scope:
                one = PlatformDiscovery(hub, world.network, version=1 if name == SOURCE else 3)
                sources[name] = one
                one.set_server("n1", ("127.0.0.1", 9001), 0)
                one.start(scope)
                up[name].set()
                hub.sleep(NEWS_US)
                one.set_server("n2", ("127.0.0.1", 9002), 0)

        def head() -> None:
            with hub.scope("head") as scope:
                for flag in up.values():
                    flag.wait()
                core.discovery = Discovery(
                    hub,
                    world.network,
                    scope,
                    cast(Core, core),
                    nodes,
                    cast(StorageNodes, _Shelfs()),
                    watching,
                    sources[SOURCE].address,
                    0,
                    "head",
                    core.log,
                )
                core.discovery.subscribe(True)
                hub.sleep(NEWS_US + ASK_WITHIN_US // 8)
                if moves:
                    hub.freeze(SOURCE, 2 * END_US)  # its last call is never answered
                    frozen.append(hub.now())
                if stops:
                    core.discovery.subscribe(False)
                    hub.sleep(0)
                    core.discovery.subscribe(True)
                hub.sleep(GIVEN_UP_US)

        def move() -> None:
            nonlocal wanted
            if core.discovery is not None:
                wanted = OTHER
                core.discovery.change_address(sources[OTHER].address)

        if moves:
            world.fault("the source moves", HEAD, move)
        for name in names:
            world.spawn(name, "serves", serves, name)
        world.spawn(HEAD, "head", head)

        def view() -> tuple[int | None, tuple[str, ...], int]:
            known = tuple(sorted(one.entry.node for one in nodes.members()))
            if watching.version is not None and (not versions or versions[-1] != watching.version):
                versions.append(watching.version)
            return watching.version, known, core.heard

        def judge(_view: object) -> str | None:
            if versions != sorted(versions):
                return f"the list in hand went back: {versions}"
            at = next((one for one in sources.values() if one.version == watching.version), None)
            if at is not None and len(nodes) < len(at.servers):
                return f"version {watching.version} is in hand without its entries"
            return None

        def finish() -> str | None:
            source = sources[wanted]
            if moves and wanted == SOURCE:
                given_up = core.given_up or not frozen or hub.now() < frozen[0] + GIVEN_UP_US
                return None if given_up else "a call that is never answered is not given up"
            known = watching.version == source.version and len(nodes) == len(source.servers)
            if known or watching.state is WatchState.IDLE:
                return None if known else f"nobody asks: version {watching.version} of {source.version}"
            return f"the list is not told: version {watching.version} of {source.version}"

        world.view, world.judge, world.finish = view, judge, finish

    return build


END_US = 2_400_000

SCENARIOS = (
    Scenario(
        "watch-late",
        "the watch's silence against a late answer",
        _watched(False, False),
        lag=True,
        until_us=END_US,
        most_steps=1500,
    ),
    Scenario(
        "watch-moves",
        "the source moves while a call is under way",
        _watched(True, False),
        lag=True,
        until_us=END_US,
        most_steps=1500,
    ),
    Scenario(
        "watch-stops",
        "the module stops following, and follows again",
        _watched(False, True),
        lag=True,
        until_us=END_US,
        most_steps=1500,
    ),
)
