"""How commands ask a head for its view, and how they show tables."""

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

settings_option = click.option("--settings", "path", type=click.Path(), help="The head's settings.")
address_option = click.option("--at", "place", help="HOST:PORT at which the head listens for its fleet.")
json_option = click.option("--json", "as_json", is_flag=True, help="JSON in place of text.")
required_settings_option = click.option("--settings", "path", type=click.Path(), required=True,
                               help="The settings of any head of the fleet.")  # fmt: skip


def resolve_head_address(path: str | None, place: str | None) -> tuple[str, int]:
    """Return where the head listens that two options name; one of them must. Ends the command otherwise."""
    if (path is None) == (place is None):
        fail("name one of --settings and --at")
    if place is not None:
        match = ADDRESS_PATTERN.match(place)
        if match is None or int(match[2]) > 65535:
            fail(f"{place}: expected HOST:PORT")
        return match[1], int(match[2])
    assert path is not None
    settings = load_settings(path, HeadSettings)
    if settings.fleet is None:
        fail(f"{path}:1: fleet: not set; this head knows of no other")
    return settings.fleet.listen


def read_document_bytes(hub: Hub, address: tuple[str, int]) -> bytes:
    """Return a head's view as it tells it. Raises OSError, DeadlineExceeded."""
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
    """Return a head's view, as bytes and read. Ends the command if there is none."""
    hub = Hub()
    try:
        body = hub.run(read_document_bytes, hub, address)
        return body, parse_document(body)
    except (OSError, DeadlineExceeded, MalformedDocument) as error:
        fail(f"{address[0]}:{address[1]}: {error or 'no answer in time'}")


def format_table(lines: Sequence[tuple[str, ...]]) -> str:
    """Return lines of words, the first of which heads the columns, as text."""
    widths = [max(len(line[at]) for line in lines) for at in range(len(lines[0]))]
    pairs = [zip(line, widths, strict=True) for line in lines]
    return "\n".join("  ".join(word.ljust(width) for word, width in pair).rstrip() for pair in pairs)
