"""`harriertrack standin witness`: a witness stand-in as a process."""

from __future__ import annotations

from pathlib import Path

import click

from harriertrack.cli.common import configure_logging, fail, log_option, run_until_signal
from harriertrack.runtime.hub import Event, Hub
from harriertrack.runtime.streams import SocketNetwork
from harriertrack.standin.witness import Witness


@click.command("witness")
@click.option("--listen", "listen_address", required=True, help="HOST:PORT.")
@click.option("--state", type=click.Path(dir_okay=False), help="Store its state in this file.")
@click.option("--clock-rate", type=click.FloatRange(0.5, 2), default=1.0, show_default=True)
@log_option
def witness(listen_address: str, state: str | None, clock_rate: float, log_format: str) -> None:
    """Run a witness: Consul's sessions and locked keys, as far as heads use them."""
    host, _, port = listen_address.rpartition(":")
    if not host or not port.isdecimal() or int(port) > 65535:
        fail(f"{listen_address}: expected HOST:PORT")
    log, hub = configure_logging(log_format), Hub()
    server = Witness(hub, SocketNetwork(hub), clock_rate)
    state_file = Path(state) if state is not None else None
    try:
        if state_file is not None and state_file.exists():
            server.restore(state_file.read_bytes())
    except (OSError, ValueError, KeyError, TypeError) as error:
        fail(f"{state_file}: {error}")
    stopping = Event(hub)

    def save_state() -> None:
        if state_file is not None:
            temporary = state_file.with_suffix(".new")
            temporary.write_bytes(server.backup())
            temporary.replace(state_file)  # atomic: the file is never incomplete

    def serve() -> None:
        with hub.scope("witness") as scope:
            server.on_change = save_state
            server.start(scope, (host, int(port)))
            log("witness serves", listen=listen_address)
            stopping.wait()
            scope.cancel()

    run_until_signal(hub, serve, stopping.set)
