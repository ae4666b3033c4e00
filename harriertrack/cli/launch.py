"""`harriertrack launch`: a launcher as a process, which runs heads as child processes."""

from __future__ import annotations

import click

from harriertrack.cli.common import configure_logging, fail, run_until_signal
from harriertrack.config.rollout import load_launcher
from harriertrack.config.sexp import SettingsError
from harriertrack.gateway.fleet.rollout.launcher.launcher import Launcher
from harriertrack.runtime.hub import Hub


@click.command()
@click.argument("settings", type=click.Path())
@click.option("--log", "log_format", type=click.Choice(["console", "json"]), default="console",
              help="Format of log lines; for the head's set it in (arguments ...).")  # fmt: skip
def launch(settings: str, log_format: str) -> None:
    """Run a head with the launcher's SETTINGS, and other versions of it as the fleet requires,
    until SIGTERM.
    """
    try:
        launcher_settings = load_launcher(settings)
    except SettingsError as error:
        fail(str(error))
    log = configure_logging(log_format)
    hub = Hub()
    hub.random.seed()
    launcher = Launcher(hub, launcher_settings, log)
    run_until_signal(hub, launcher.run, launcher.stop)
    log("launch: ended")
