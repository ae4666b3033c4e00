"""`harriertrack nbd`: an NBD client for any server."""

from __future__ import annotations

import re
import sys
from collections.abc import Callable

import click

from harriertrack.cli.common import fail
from harriertrack.gateway.client import NbdClient, NbdClientError
from harriertrack.protocol.nbd.client import errno_name
from harriertrack.protocol.nbd.wire import Command, ProtocolViolation
from harriertrack.runtime.hub import DeadlineExceeded, Hub
from harriertrack.runtime.streams import SocketNetwork

REQUEST_TIMEOUT_US = 10_000_000
URI = re.compile(r"nbd://([^:/]+)(?::(\d+))?(?:/(.*))?\Z")


@click.group()
def nbd() -> None:
    """An NBD client for any server: list, info, read, write, exercise."""


def _run_with_client(uri: str, action: Callable[[NbdClient], None], needs_export: bool = True) -> None:
    """Connect to a server, open the export that the URI names unless it is not needed, and run an action."""
    match = URI.match(uri)
    if match is None:
        fail(f"{uri}: expected nbd://HOST[:PORT][/EXPORT]")
    hub = Hub()

    def run() -> None:
        client = NbdClient(hub, SocketNetwork(hub))
        deadline = hub.now() + REQUEST_TIMEOUT_US
        with hub.scope("nbd") as scope:
            client.open((match[1], int(match[2] or 10809)), deadline)
            if needs_export:
                client.go(scope, match[3] or "", deadline)
            action(client)
            client.close()

    try:
        hub.run(run)
    except (OSError, DeadlineExceeded, ProtocolViolation, NbdClientError) as error:
        fail(f"{uri}: {error or 'no answer in time'}")


@nbd.command("list")
@click.argument("uri")
def nbd_list(uri: str) -> None:
    """List the exports of a server."""
    _run_with_client(uri, lambda client: click.echo("\n".join(client.names())), needs_export=False)


@nbd.command("info")
@click.argument("uri")
def nbd_info(uri: str) -> None:
    """Show an export's size, flags and contexts."""

    def action(client: NbdClient) -> None:
        click.echo(f"size {client.size} bytes; {client.flags!r}; block sizes {client.block_sizes}")
        click.echo(f"structured replies {'yes' if client.structured else 'no'}; contexts {client.contexts}")

    _run_with_client(uri, action)


@nbd.command("read")
@click.argument("uri")
@click.argument("offset", type=click.IntRange(0))
@click.argument("length", type=click.IntRange(0, 32 << 20))
def nbd_read(uri: str, offset: int, length: int) -> None:
    """Write LENGTH bytes from OFFSET to standard output."""

    def action(client: NbdClient) -> None:
        reply = client.call(Command.READ, offset, length)
        if reply.error:
            raise NbdClientError(f"{errno_name(reply.error)}: {reply.message}")
        sys.stdout.buffer.write(reply.data)
        sys.stdout.buffer.flush()

    _run_with_client(uri, action)


@nbd.command("write")
@click.argument("uri")
@click.argument("offset", type=click.IntRange(0))
@click.argument("text")
def nbd_write(uri: str, offset: int, text: str) -> None:
    """Write TEXT at OFFSET, and flush; "-" reads standard input."""
    data = sys.stdin.buffer.read(32 << 20) if text == "-" else text.encode()

    def action(client: NbdClient) -> None:
        for reply in (client.call(Command.WRITE, offset, data=data), client.call(Command.FLUSH)):
            if reply.error:
                raise NbdClientError(f"{errno_name(reply.error)}: {reply.message}")

    _run_with_client(uri, action)


@nbd.command("exercise")
@click.argument("uri")
@click.option("--connections", type=click.IntRange(1, 1024), default=8, show_default=True)
@click.option(
    "--depth",
    type=click.IntRange(1, 1024),
    default=16,
    show_default=True,
    help="Requests in flight on each connection.",
)
@click.option("--least", type=click.IntRange(1, 32 << 20), default=512, show_default=True,
              help="Smallest request, bytes.")  # fmt: skip
@click.option("--most", type=click.IntRange(1, 32 << 20), default=1 << 20, show_default=True,
              help="Largest request, bytes.")  # fmt: skip
@click.option("--align", type=click.IntRange(1, 1 << 20), default=1, show_default=True,
              help="Alignment, bytes.")  # fmt: skip
@click.option(
    "--span", type=click.IntRange(0), default=0, help="Bytes of the export to use, from its start; 0: all."
)
@click.option("--seconds", type=click.FloatRange(0.1), default=5.0, show_default=True)
@click.option("--seed", type=int, default=1, show_default=True)
def nbd_exercise(uri: str, connections: int, depth: int, least: int, most: int, align: int, span: int,
                 seconds: float, seed: int) -> None:  # fmt: skip
    """OVERWRITE an export with mixed requests at full depth. Exit code 1 after an error or a wrong byte."""
    match = URI.match(uri)
    if match is None or not match[3]:
        fail(f"{uri}: expected nbd://HOST[:PORT]/EXPORT")
    if least > most:
        fail(f"--least {least} is more than --most {most}")
    from harriertrack.lab.exercise import Exercise, Load  # only this command needs it

    hub, load = Hub(), Load(connections, depth, least, most, align, span)
    exercise = Exercise(hub, SocketNetwork(hub), (match[1], int(match[2] or 10809)), match[3], load, seed)

    def run() -> None:
        with hub.scope("exercise") as scope:
            exercise.run(scope, int(seconds * 1e6))

    try:
        hub.run(run)
    except (OSError, DeadlineExceeded, ProtocolViolation, NbdClientError) as error:
        fail(f"{uri}: {error or 'no answer in time'}")
    result = exercise.result
    click.echo(
        f"{result.done} requests done, {result.moved_bytes >> 20} MiB; microseconds: "
        + ", ".join(
            f"p{percentile:g} {result.latencies.get_value_at_percentile(percentile)}"
            for percentile in (50, 99, 100)
        )
    )
    for line in result.errors[:10]:
        click.echo(line, err=True)
    if result.errors:
        sys.exit(1)
