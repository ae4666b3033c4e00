"""`harriertrack standin list`: list service stand-ins as a process."""

from __future__ import annotations

from pathlib import Path

import click

from harriertrack.cli.common import configure_logging, fail, log_option, run_until_signal
from harriertrack.config.settings import ListServiceSettings, NodeSettings, load_list_service
from harriertrack.config.sexp import SettingsError
from harriertrack.decisions.interface import NodeState
from harriertrack.gateway.listing import member_of
from harriertrack.rules.recording import Recorder
from harriertrack.runtime.hub import Event, Hub
from harriertrack.runtime.streams import SocketNetwork
from harriertrack.standin.list_service import ListService

POLL_INTERVAL_US = 100_000  # between checks of the settings file


class _ListServices:
    """A list service for each entrance of the settings, with the nodes that it lists."""

    def __init__(self, hub: Hub, settings: ListServiceSettings, recorder: Recorder | None) -> None:
        self._wall_ahead_us = hub.clock.wall() - hub.now()
        self._published: dict[str, dict[str, NodeSettings]] = {}
        network = SocketNetwork(hub)
        self.services = {
            entrance.name: ListService(hub, network, recorder) for entrance in settings.entrances
        }

    def publish(self, settings: ListServiceSettings) -> None:
        """Publish the changes of the nodes; entrances can not be added or removed while the process runs."""
        for entrance in settings.entrances:
            service = self.services.get(entrance.name)
            published = self._published.setdefault(entrance.name, {})
            if service is None:
                continue
            current = {node.name: node for node in entrance.nodes}
            for name in published.keys() - current.keys():
                service.set_state(name, NodeState.GONE)
            for name, node in current.items():
                if published.get(name) != node:
                    service.set_member(member_of(node).with_local_start(self._wall_ahead_us))
            self._published[entrance.name] = current


@click.command("list")
@click.argument("settings", type=click.Path())
@click.option(
    "--record",
    type=click.Path(dir_okay=False),
    help="Write a recording of its answers to this file as JSON lines.",
)
@log_option
def list_service(settings: str, record: str | None, log_format: str) -> None:
    """Run a list service (Consul's health API) with its SETTINGS, and apply changes to that file."""

    def read_file() -> bytes:
        try:
            return Path(settings).read_bytes()
        except OSError:
            return b""

    first_bytes = read_file()
    try:
        first = load_list_service(settings)
    except SettingsError as error:
        fail(str(error))
    log, hub = configure_logging(log_format), Hub()
    list_services = _ListServices(hub, first, Recorder(record, at_once=True) if record else None)
    stopping = Event(hub)

    def watch_file() -> None:
        applied, last_bytes = first, first_bytes
        while True:
            hub.sleep(POLL_INTERVAL_US)
            if (new_bytes := read_file()) == last_bytes:
                continue  # reading is cheap, parsing is not: a file for dozens of heads is long
            last_bytes = new_bytes
            try:
                changed = load_list_service(settings)
            except SettingsError as error:
                log("list not taken", why=str(error))
                continue
            if changed != applied:
                list_services.publish(changed)
                applied = changed

    def serve() -> None:
        with hub.scope("list") as scope:
            list_services.publish(first)
            for entrance in first.entrances:
                list_services.services[entrance.name].start(scope, entrance.listen)
                host, port = entrance.listen
                log("list serves", entrance=entrance.name, listen=f"{host}:{port}")
            scope.spawn("file", watch_file)
            stopping.wait()
            scope.cancel()

    run_until_signal(hub, serve, stopping.set)
