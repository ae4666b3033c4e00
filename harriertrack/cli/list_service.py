"""`harriertrack standin list`: list services as a process."""

from __future__ import annotations

from pathlib import Path

import click

from harriertrack.cli.common import fail, log_option, logger, run_until_signal
from harriertrack.config.settings import ListServiceSettings, NodeSettings, load_list_service
from harriertrack.config.sexp import SettingsError
from harriertrack.decisions.interface import NodeState
from harriertrack.gateway.listing import member_of
from harriertrack.rules.recording import Recorder
from harriertrack.runtime.hub import Event, Hub
from harriertrack.runtime.streams import SocketNetwork
from harriertrack.standin.list_service import ListService

LOOK_US = 100_000  # how often the file is looked at


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
                    service.set_member(member_of(node).with_local_start(self._wall_ahead_us))
            self._told[entrance.name] = fresh


@click.command("list")
@click.argument("settings", type=click.Path())
@click.option("--record", type=click.Path(dir_okay=False), help="Write what it told, JSON lines.")
@log_option
def list_service(settings: str, record: str | None, log_form: str) -> None:
    """Run a list service (Consul's health API) by its SETTINGS, and follow them as they change."""

    def written() -> bytes:
        try:
            return Path(settings).read_bytes()
        except OSError:
            return b""

    before = written()
    try:
        first = load_list_service(settings)
    except SettingsError as error:
        fail(str(error))
    note, hub = logger(log_form), Hub()
    lists = _Lists(hub, first, Recorder(record, at_once=True) if record else None)
    stopping = Event(hub)

    def watch() -> None:
        known, read = first, before
        while True:
            hub.sleep(LOOK_US)
            if (now := written()) == read:
                continue  # reading is cheap, taking apart is not: a file for dozens of heads is long
            read = now
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
