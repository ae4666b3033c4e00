"""Fetching a head's status document for commands, and formatting tables."""

from __future__ import annotations

import re
from collections.abc import Sequence

import click

from harriertrack.cli.common import fail, load_settings
from harriertrack.config.settings import HeadSettings
from harriertrack.membership.fleet.status_document import Document, MalformedDocument, parse_document
from harriertrack.runtime.hub import DeadlineExceeded, Hub
from harriertrack.runtime.streams import SocketNetwork

REQUEST_TIMEOUT_US = 3_000_000
MAX_DOCUMENT_BYTES = 16 << 20
ADDRESS_PATTERN = re.compile(r"\[?([0-9A-Fa-f.:]+?)\]?:(\d{1,5})\Z")

settings_option = click.option("--settings", "settings_path", type=click.Path(), help="The head's settings.")
address_option = click.option(
    "--at", "head_address", help="HOST:PORT on which the head listens for its fleet."
)
json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON instead of text.")
required_settings_option = click.option("--settings", "settings_path", type=click.Path(), required=True,
                                        help="The settings of any head of the fleet.")  # fmt: skip


def resolve_head_address(settings_path: str | None, head_address: str | None) -> tuple[str, int]:
    """Return a head's fleet address from --at or from its settings; exit unless exactly one is given."""
    if (settings_path is None) == (head_address is None):
        fail("give either --settings or --at")
    if head_address is not None:
        match = ADDRESS_PATTERN.match(head_address)
        if match is None or int(match[2]) > 65535:
            fail(f"{head_address}: expected HOST:PORT")
        return match[1], int(match[2])
    assert settings_path is not None
    settings = load_settings(settings_path, HeadSettings)
    if settings.fleet is None:
        fail(f"{settings_path}:1: fleet: not set; this head belongs to no fleet")
    return settings.fleet.listen


def read_document_bytes(hub: Hub, address: tuple[str, int]) -> bytes:
    """Return the status document that a head sends on connect. Raises OSError, DeadlineExceeded."""
    deadline = hub.now() + REQUEST_TIMEOUT_US
    stream = SocketNetwork(hub).connect(address, deadline)
    body = b""
    try:
        while (data := stream.read(deadline)) and len(body) < MAX_DOCUMENT_BYTES:
            body += data
    finally:
        stream.close()
    return body


def fetch_document(address: tuple[str, int]) -> tuple[bytes, Document]:
    """Return a head's status document as bytes and decoded; exit with an error if there is none."""
    hub = Hub()
    try:
        body = hub.run(read_document_bytes, hub, address)
        return body, parse_document(body)
    except (OSError, DeadlineExceeded, MalformedDocument) as error:
        fail(f"{address[0]}:{address[1]}: {error or 'no answer in time'}")


def format_table(rows: Sequence[tuple[str, ...]]) -> str:
    """Return rows, the first of which is the header, as text with aligned columns."""
    widths = [max(len(row[column]) for row in rows) for column in range(len(rows[0]))]
    padded = [zip(row, widths, strict=True) for row in rows]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in padded_row).rstrip() for padded_row in padded
    )
