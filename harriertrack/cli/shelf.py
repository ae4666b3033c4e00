"""`harriertrack shelf`: one storage node stand-in as a process."""

from __future__ import annotations

import click

from harriertrack.cli.common import log_option, logger, run_until_signal, settings_of
from harriertrack.config.settings import ShelfSettings
from harriertrack.rules.recording import Recorder
from harriertrack.runtime.hub import Hub
from harriertrack.runtime.streams import SocketNetwork
from harriertrack.standin.node import ShardStorage
from harriertrack.standin.node_server import NodeServer


@click.command()
@click.argument("settings", type=click.Path())
@click.option("--record", type=click.Path(dir_okay=False), help="Write what it saw, JSON lines.")
@log_option
def shelf(settings: str, record: str | None, log_form: str) -> None:
    """Run a storage node stand-in by its SETTINGS until SIGINT or SIGTERM; its bytes live in memory."""
    checked = settings_of(settings, ShelfSettings)
    note = logger(log_form)
    hub = Hub()
    recorder = Recorder(record, at_once=True) if record else None
    one = NodeServer(hub, SocketNetwork(hub), checked, ShardStorage(checked.extent_bytes), recorder)

    def serve() -> None:
        with hub.scope("shelf") as scope:
            one.start(scope)
            note("shelf serves", listen=f"{one.address[0]}:{one.address[1]}")

    run_until_signal(hub, serve, one.stop)
