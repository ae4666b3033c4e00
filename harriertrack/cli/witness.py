"""`harriertrack standin witness`: the witness as a process."""

from __future__ import annotations

from pathlib import Path

import click

from harriertrack.cli.common import fail, log_option, logger, run_until_signal
from harriertrack.runtime.hub import Event, Hub
from harriertrack.runtime.streams import SocketNetwork
from harriertrack.standin.witness import Witness


@click.command("witness")
@click.option("--listen", "place", required=True, help="HOST:PORT.")
@click.option("--state", type=click.Path(dir_okay=False), help="Keep what it knows in this file.")
@click.option("--clock-rate", type=click.FloatRange(0.5, 2), default=1.0, show_default=True)
@log_option
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
            keeper.restore(file.read_bytes())
    except (OSError, ValueError, KeyError, TypeError) as error:
        fail(f"{file}: {error}")
    stopping = Event(hub)

    def keep() -> None:
        if file is not None:
            fresh = file.with_suffix(".new")
            fresh.write_bytes(keeper.backup())
            fresh.replace(file)  # whole, or as it was

    def serve() -> None:
        with hub.scope("witness") as scope:
            keeper.on_change = keep
            keeper.start(scope, (host, int(port)))
            note("witness serves", listen=place)
            stopping.wait()
            scope.cancel()

    run_until_signal(hub, serve, stopping.set)
