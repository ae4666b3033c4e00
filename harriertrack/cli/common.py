"""Shared by the sub-commands: logging, errors, and running until a signal."""

from __future__ import annotations

import logging
import re
import signal
import sys
from collections.abc import Callable
from typing import Any, NoReturn

import click
import structlog

from harriertrack.config.settings import load
from harriertrack.config.sexp import SettingsError
from harriertrack.runtime.hub import Hub
from harriertrack.runtime.signals import on_signals
from harriertrack.storage.extents import ExtentMapError

EXIT_BAD_INPUT = 2
SEED_RANGE = re.compile(r"(\d+)\.\.(\d+)\Z")

log_option = click.option(
    "--log",
    "log_format",
    type=click.Choice(["console", "json"]),
    default="console",
    help="Format of log lines.",
)


def configure_logging(log_format: str, quiet: bool = False) -> Callable[..., None]:
    """Configure logging to standard error; return a function that logs an event with its fields."""
    console = structlog.dev.ConsoleRenderer(colors=sys.stderr.isatty())
    renderer: Any = structlog.processors.JSONRenderer() if log_format == "json" else console
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.WARNING if quiet else logging.INFO),
        logger_factory=structlog.PrintLoggerFactory(sys.stderr),
    )
    log = structlog.get_logger()
    return lambda event, **fields: log.info(event, **fields)


def fail(message: str) -> NoReturn:
    """Print a one-line error and exit with the code for bad input."""
    click.echo(f"harriertrack: {message}", err=True)
    sys.exit(EXIT_BAD_INPUT)


def seed_range(text: str | None, seed: int) -> range:
    """Return the seeds of an option `--seeds FROM..TO`, or the single one if it was not given."""
    if text is None:
        return range(seed, seed + 1)
    match = SEED_RANGE.match(text)
    if match is None or int(match[1]) >= int(match[2]):
        fail(f"--seeds {text}: expected FROM..TO, such as 0..100 for 0 to 99")
    return range(int(match[1]), int(match[2]))


def load_settings(path: str, settings_type: type) -> Any:
    """Load settings of one type; exit with an error if they are invalid or of another type."""
    try:
        settings = load(path)
    except SettingsError as error:
        fail(str(error))
    if not isinstance(settings, settings_type):
        fail(
            f"{path}:1: these are not the settings of a "
            f"{settings_type.__name__.removesuffix('Settings').lower()}"
        )
    return settings


def run_until_signal(hub: Hub, main: Callable[[], None], stop: Callable[[], None]) -> None:
    """Run a task until it ends; on SIGINT or SIGTERM call `stop`, which must make it end."""
    with on_signals(hub, (signal.SIGINT, signal.SIGTERM), lambda _number: stop()):
        try:
            hub.run(main)
        except (OSError, ExtentMapError) as error:
            fail(str(error))
