"""The command `harriertrack`."""

from __future__ import annotations

import click


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
def main() -> None:
    """A storage gateway: heads that decide when and to which storage node each request goes."""
