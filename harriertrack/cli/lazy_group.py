"""Commands that are imported only when they are asked for: a head's start does not pay for the laboratory."""

from __future__ import annotations

from collections.abc import Mapping
from importlib import import_module
from typing import ClassVar

import click

# By name: where it is, "MODULE:ATTRIBUTE" in cli/, and its one line of help.
CommandSpecs = Mapping[str, tuple[str, str]]


class LazyGroup(click.Group):
    """A group with commands that are imported late."""

    lazy_commands: ClassVar[CommandSpecs] = {}

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Name all commands."""
        return sorted([*super().list_commands(ctx), *self.lazy_commands])

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return a command by its name."""
        if cmd_name not in self.lazy_commands:
            return super().get_command(ctx, cmd_name)
        module, _, attribute = self.lazy_commands[cmd_name][0].partition(":")
        found: click.Command = getattr(import_module(f"harriertrack.cli.{module}"), attribute)
        return found

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        """Write a line for each command, without importing any."""
        at_once = {name: one.get_short_help_str(200) for name, one in self.commands.items() if not one.hidden}
        rows = at_once | {name: line for name, (_, line) in self.lazy_commands.items()}
        with formatter.section("Commands"):
            formatter.write_dl(sorted(rows.items()))
