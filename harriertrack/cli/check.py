"""`harriertrack check`: check settings without starting anything."""

from __future__ import annotations

import click

from harriertrack.cli.common import fail
from harriertrack.config.settings import load
from harriertrack.config.sexp import SettingsError


@click.command()
@click.argument("settings", type=click.Path())
def check(settings: str) -> None:
    """Check SETTINGS and report what is wrong: file, line and field."""
    try:
        load(settings)
    except SettingsError as error:
        fail(str(error))
    click.echo(f"{settings}: good")
