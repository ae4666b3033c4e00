"""`harriertrack head`: one head as a process."""

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
              help="For rehearsals: how fast the process's clock runs.")  # fmt: skip
@click.option("--clock-ahead", type=float, default=0.0,
              help="For rehearsals: seconds that its wall clock is off.")  # fmt: skip
@click.option("--as-later", is_flag=True, help="For rehearsals: speak to the fleet as a later version would.")
@click.option("--as-liar", is_flag=True, help="For rehearsals: say of nodes the contrary of what is seen.")
@click.option("--rehearse", default="", help="For rehearsals: refuse:CLASS:PART, crash:SECONDS or mute.")
@log_option
def head(settings: str, clock_rate: float, clock_ahead: float, as_later: bool, as_liar: bool, rehearse: str,
         log_form: str) -> None:  # fmt: skip
    """Run a head by its SETTINGS until SIGINT or SIGTERM."""
    checked = load_settings(settings, HeadSettings)
    note = configure_logging(log_form)
    rehearsed = clock_rate != 1.0 or clock_ahead
    hub = Hub(RatedClock(clock_rate, int(clock_ahead * 1e6))) if rehearsed else Hub()
    hub.random.seed()
    wiring, serve = Wiring(), lambda _hub, head: head.run()
    if checked.fleet is not None or as_later or as_liar or rehearse:
        from harriertrack.cli import rollout  # other heads do not load it

        wiring, serve = rollout.fleet_head_wiring(hub, as_later, as_liar, rehearse)
    try:
        one = Head(hub, SocketNetwork(hub), checked, note, wiring=wiring)
    except SettingsError as error:
        fail(str(error))
    hub.on_stall = lambda us: note("the loop stood still", us=us)
    # Requests and their parts refer to each other: collect such cycles in larger lots, and never what stays.
    gc.freeze()
    gc.set_threshold(20_000, 20, 20)
    note("head starts", listen=f"{checked.listen[0]}:{checked.listen[1]}", head=f"{one.head_id:016x}")
    run_until_signal(hub, lambda: serve(hub, one), one.stop)
    note("head stopped")
