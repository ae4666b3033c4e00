"""`harriertrack standin`: stand-ins for outside systems as processes, for rehearsals."""

from __future__ import annotations

from pathlib import Path

import click

from harriertrack.cli.common import fail, logger, run_until_signal
from harriertrack.config.settings import ListServiceSettings, NodeSettings, load_list_service
from harriertrack.config.sexp import SettingsError
from harriertrack.decisions.interface import NodeState
from harriertrack.gateway.listing import member_of
from harriertrack.rules.recording import Recorder
from harriertrack.runtime.hub import Event, Hub
from harriertrack.runtime.streams import SocketNetwork
from harriertrack.standin.listservice import ListService
from harriertrack.standin.witness import Witness

LOOK_US = 100_000  # how often the file is looked at


@click.group()
def standin() -> None:
    """Stand-ins for outside systems."""


class _Lists:
    """The entrances of a file, each telling its own nodes, and what the file says of them now."""

    def __init__(self, hub: Hub, settings: ListServiceSettings, recorder: Recorder | None) -> None:
        self._wall_ahead_us = hub.clock.wall() - hub.now()
        self._told: dict[str, dict[str, NodeSettings]] = {}
        network = SocketNetwork(hub)
        self.services = {one.name: ListService(hub, network, recorder) for one in settings.entrances}

    def follow(self, settings: ListServiceSettings) -> None:
        """Tell what changed; entrances neither come nor go while it runs."""
        for entrance in settings.entrances:
            service, told = self.services.get(entrance.name), self._told.setdefault(entrance.name, {})
            if service is None:
                continue
            fresh = {node.name: node for node in entrance.nodes}
            for name in told.keys() - fresh.keys():
                service.set_state(name, NodeState.GONE)
            for name, node in fresh.items():
                if told.get(name) != node:
                    service.set(member_of(node).localised(self._wall_ahead_us))
            self._told[entrance.name] = fresh


@standin.command("witness")
@click.option("--listen", "place", required=True, help="HOST:PORT.")
@click.option("--state", type=click.Path(dir_okay=False), help="Keep what it knows in this file.")
@click.option("--clock-rate", type=click.FloatRange(0.5, 2), default=1.0, show_default=True)
@click.option("--log", "log_form", type=click.Choice(["console", "json"]), default="console")
def witness(place: str, state: str | None, clock_rate: float, log_form: str) -> None:
    """Run a witness: Consul's sessions and locked keys, as far as heads use them."""
    host, _, port = place.rpartition(":")
    if not host or not port.isdecimal() or int(port) > 65535:
        fail(f"{place}: expected HOST:PORT")
    note, hub = logger(log_form), Hub()
    keeper = Witness(hub, SocketNetwork(hub), clock_rate)
    file = Path(state) if state is not None else None
    try:
        if file is not None and file.exists():
            keeper.take_up(file.read_bytes())
    except (OSError, ValueError, KeyError, TypeError) as error:
        fail(f"{file}: {error}")
    stopping = Event(hub)

    def keep() -> None:
        if file is not None:
            fresh = file.with_suffix(".new")
            fresh.write_bytes(keeper.kept())
            fresh.replace(file)  # whole, or as it was

    def serve() -> None:
        with hub.scope("witness") as scope:
            keeper.changed = keep
            keeper.start(scope, (host, int(port)))
            note("witness serves", listen=place)
            stopping.wait()
            scope.cancel()

    run_until_signal(hub, serve, stopping.set)


@standin.command("list")
@click.argument("settings", type=click.Path())
@click.option("--record", type=click.Path(dir_okay=False), help="Write what it told, JSON lines.")
@click.option("--log", "log_form", type=click.Choice(["console", "json"]), default="console")
def list_service(settings: str, record: str | None, log_form: str) -> None:
    """Run a list service (Consul's health API) by its SETTINGS, and follow them as they change."""
    try:
        first = load_list_service(settings)
    except SettingsError as error:
        fail(str(error))
    note, hub = logger(log_form), Hub()
    lists = _Lists(hub, first, Recorder(record, at_once=True) if record else None)
    stopping = Event(hub)

    def watch() -> None:
        known = first
        while True:
            hub.sleep(LOOK_US)
            try:
                fresh = load_list_service(settings)
            except SettingsError as error:
                note("list not taken", why=str(error))
                continue
            if fresh != known:
                lists.follow(fresh)
                known = fresh

    def serve() -> None:
        with hub.scope("list") as scope:
            lists.follow(first)
            for entrance in first.entrances:
                lists.services[entrance.name].start(scope, entrance.listen)
                host, port = entrance.listen
                note("list serves", entrance=entrance.name, listen=f"{host}:{port}")
            scope.spawn("file", watch)
            stopping.wait()
            scope.cancel()

    run_until_signal(hub, serve, stopping.set)
