"""`harriertrack head`: a head as a process."""

from __future__ import annotations

import gc

import click

from harriertrack.cli.common import configure_logging, fail, load_settings, log_option, run_until_signal
from harriertrack.config.settings import HeadSettings
from harriertrack.config.sexp import SettingsError
from harriertrack.gateway.head import Head, Wiring
from harriertrack.runtime.clocks import RatedClock
from harriertrack.runtime.hub import Hub
from harriertrack.runtime.streams import SocketNetwork


@click.command()
@click.argument("settings", type=click.Path())
@click.option("--clock-rate", type=click.FloatRange(0.5, 2.0), default=1.0,
              help="For rehearsals: the rate of the process's clock.")  # fmt: skip
@click.option("--clock-ahead", type=float, default=0.0,
              help="For rehearsals: seconds by which its wall clock is ahead.")  # fmt: skip
@click.option("--as-later", is_flag=True, help="For rehearsals: send the datagrams of a later version.")
@click.option(
    "--as-liar", is_flag=True, help="For rehearsals: report inverted weights of nodes to the fleet."
)
@click.option(
    "--rehearse", default="", help="For rehearsals: a fault: refuse:CLASS:PART, crash:SECONDS or mute."
)
@log_option
def head(settings: str, clock_rate: float, clock_ahead: float, as_later: bool, as_liar: bool, rehearse: str,
         log_format: str) -> None:  # fmt: skip
    """Run a head with its SETTINGS until SIGINT or SIGTERM."""
    head_settings = load_settings(settings, HeadSettings)
    log = configure_logging(log_format)
    clock_is_altered = clock_rate != 1.0 or clock_ahead
    hub = Hub(RatedClock(clock_rate, int(clock_ahead * 1e6))) if clock_is_altered else Hub()
    hub.random.seed()
    wiring, serve = Wiring(), lambda _hub, head: head.run()
    if head_settings.fleet is not None or as_later or as_liar or rehearse:
        from harriertrack.cli import rollout  # heads without a fleet do not need it

        wiring, serve = rollout.fleet_head_wiring(hub, as_later, as_liar, rehearse)
    try:
        process_head = Head(hub, SocketNetwork(hub), head_settings, log, wiring=wiring)
    except SettingsError as error:
        fail(str(error))
    hub.on_stall = lambda us: log("the loop stood still", us=us)
    # Requests and their parts form reference cycles: collect these less often, and exclude permanent objects.
    gc.freeze()
    gc.set_threshold(20_000, 20, 20)
    log(
        "head starts",
        listen=f"{head_settings.listen[0]}:{head_settings.listen[1]}",
        head=f"{process_head.head_id:016x}",
    )
    run_until_signal(hub, lambda: serve(hub, process_head), process_head.stop)
    log("head stopped")
