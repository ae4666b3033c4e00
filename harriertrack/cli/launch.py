"""`harriertrack launch`: a launcher as a process, which runs heads as its children."""

from __future__ import annotations

import click

from harriertrack.cli.common import configure_logging, fail, run_until_signal
from harriertrack.config.rollout import load_launcher
from harriertrack.config.sexp import SettingsError
from harriertrack.gateway.fleet.rollout.launcher.launcher import Launcher
from harriertrack.runtime.hub import Hub


@click.command()
@click.argument("settings", type=click.Path())
@click.option("--log", "log_form", type=click.Choice(["console", "json"]), default="console",
              help="How log lines look; of the head say it in (arguments ...).")  # fmt: skip
def launch(settings: str, log_form: str) -> None:
    """Run a head by the launcher's SETTINGS, and other versions of it as the fleet wants, until SIGTERM."""
    try:
        checked = load_launcher(settings)
    except SettingsError as error:
        fail(str(error))
    note = configure_logging(log_form)
    hub = Hub()
    hub.random.seed()
    one = Launcher(hub, checked, note)
    run_until_signal(hub, one.run, one.stop)
    note("launch: ended")
