"""`harriertrack standin`: stand-ins for outside systems as processes, for rehearsals and tests."""

from __future__ import annotations

from typing import ClassVar

import click

from harriertrack.cli.lazy_group import CommandSpecs, LazyGroup


class _Commands(LazyGroup):
    lazy_commands: ClassVar[CommandSpecs] = {
        "list": (
            "list_service:list_service",
            "Run a list service (Consul's health API) with its SETTINGS, and apply changes to that file.",
        ),
        "witness": (
            "witness:witness",
            "Run a witness: Consul's sessions and locked keys, as far as heads use them.",
        ),
    }


@click.group(cls=_Commands)
def standin() -> None:
    """Stand-ins for outside systems."""
