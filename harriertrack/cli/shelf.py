"""`harriertrack shelf`: a storage node stand-in as a process."""

from __future__ import annotations

import click

from harriertrack.cli.common import configure_logging, load_settings, log_option, run_until_signal
from harriertrack.config.settings import NodeStandInSettings
from harriertrack.rules.recording import Recorder
from harriertrack.runtime.hub import Hub
from harriertrack.runtime.streams import SocketNetwork
from harriertrack.standin.node import ShardStorage
from harriertrack.standin.node_server import NodeServer


@click.command()
@click.argument("settings", type=click.Path())
@click.option(
    "--record",
    type=click.Path(dir_okay=False),
    help="Write a recording of the requests to this file as JSON lines.",
)
@log_option
def shelf(settings: str, record: str | None, log_format: str) -> None:
    """Run a storage node stand-in with its SETTINGS until SIGINT or SIGTERM; its data is in memory."""
    node_settings = load_settings(settings, NodeStandInSettings)
    log = configure_logging(log_format)
    hub = Hub()
    recorder = Recorder(record, at_once=True) if record else None
    server = NodeServer(
        hub, SocketNetwork(hub), node_settings, ShardStorage(node_settings.extent_bytes), recorder
    )

    def serve() -> None:
        with hub.scope("shelf") as scope:
            server.start(scope)
            log("shelf serves", listen=f"{server.address[0]}:{server.address[1]}")

    run_until_signal(hub, serve, server.stop)
