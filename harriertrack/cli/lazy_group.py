"""Commands that are imported on first use, so that starting a head does not import the laboratory."""

from __future__ import annotations

from collections.abc import Mapping
from importlib import import_module
from typing import ClassVar

import click

# By command name: "MODULE:ATTRIBUTE" in harriertrack.cli, and the command's one-line help.
CommandSpecs = Mapping[str, tuple[str, str]]


class LazyGroup(click.Group):
    """A group whose commands are imported on first use."""

    lazy_commands: ClassVar[CommandSpecs] = {}

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands, sorted."""
        return sorted([*super().list_commands(ctx), *self.lazy_commands])

    def get_command(self, ctx: click.Context, cmd_name: str) -> click.Command | None:
        """Return a command by its name, importing it if needed."""
        if cmd_name not in self.lazy_commands:
            return super().get_command(ctx, cmd_name)
        module, _, attribute = self.lazy_commands[cmd_name][0].partition(":")
        command: click.Command = getattr(import_module(f"harriertrack.cli.{module}"), attribute)
        return command

    def format_commands(self, ctx: click.Context, formatter: click.HelpFormatter) -> None:
        """Write the help line of each command without importing any."""
        imported = {
            name: command.get_short_help_str(200)
            for name, command in self.commands.items()
            if not command.hidden
        }
        rows = imported | {name: help_line for name, (_, help_line) in self.lazy_commands.items()}
        with formatter.section("Commands"):
            formatter.write_dl(sorted(rows.items()))
