"""`harriertrack nvme`: an NVMe/TCP host for inspection and trials."""

from __future__ import annotations

import re
import sys
from collections.abc import Callable

import click

from harriertrack.cli.common import fail
from harriertrack.gateway.nvme_client import NvmeClient, NvmeError, io_sqe
from harriertrack.protocol.nvme.admin import BLOCK_BYTES, DISCOVERY_NQN, IoOpcode
from harriertrack.protocol.nvme.transport import NO_DIGESTS
from harriertrack.protocol.nvme.wire import DigestFlags, Sqe
from harriertrack.runtime.hub import DeadlineExceeded, Hub, Scope
from harriertrack.runtime.streams import SocketNetwork

REQUEST_TIMEOUT_US = 5_000_000
ADDRESS = re.compile(r"([^:]+)(?::(\d+))?\Z")
MAX_TRANSFER_BYTES = 1 << 20
address = click.argument("address", metavar="HOST[:PORT]")
nqn_option = click.option("--nqn", required=True, help="The subsystem's name; `discover` lists them.")
nsid_option = click.option("--nsid", type=click.IntRange(1), default=1, show_default=True)
digests_option = click.option("--digests", is_flag=True, help="Request header and data digests.")


@click.group()
def nvme() -> None:
    """An NVMe/TCP host: discover, connect, read, write."""


def _run_with_client(
    host_and_port: str, nqn: str, digests: bool, action: Callable[[NvmeClient, Scope, int], None]
) -> None:
    """Connect to a subsystem and run an action with the client, its scope and the deadline."""
    match = ADDRESS.match(host_and_port)
    if not match:
        fail(f"{host_and_port}: expected HOST[:PORT]")
    hub = Hub()
    server_address = (match[1], int(match[2] or (8009 if nqn == DISCOVERY_NQN else 4420)))

    def run() -> None:
        requested_digests = DigestFlags.HEADER | DigestFlags.DATA if digests else NO_DIGESTS
        client = NvmeClient(hub, SocketNetwork(hub), server_address, requested_digests)
        deadline = hub.now() + REQUEST_TIMEOUT_US
        with hub.scope("nvme") as scope:
            client.connect(scope, nqn, deadline=deadline)
            action(client, scope, deadline)
            client.close()
            scope.cancel()

    try:
        hub.run(run)
    except (OSError, DeadlineExceeded, NvmeError, ValueError) as error:
        fail(f"{host_and_port}: {error or 'no answer in time'}")


@nvme.command("discover")
@address
def nvme_discover(address: str) -> None:
    """List the subsystems of a discovery controller."""

    def action(client: NvmeClient, _scope: Scope, deadline: int) -> None:
        for entry in client.discover(deadline):
            click.echo(f"{entry.nqn} at {entry.address}:{entry.port}")

    _run_with_client(address, DISCOVERY_NQN, False, action)


@nvme.command("connect")
@address
@nqn_option
@digests_option
def nvme_connect(address: str, nqn: str, digests: bool) -> None:
    """Connect, and show the controller and its namespaces."""

    def action(client: NvmeClient, _scope: Scope, deadline: int) -> None:
        info = client.info
        click.echo(f"controller {info.cntlid}, {info.model} {info.serial}")
        click.echo(f"transfers up to {info.max_transfer} bytes, {info.in_capsule} in a capsule; "
                   f"retry delays {info.retry_delays} x 100 ms")  # fmt: skip
        for nsid, namespace in client.namespaces(deadline).items():
            read_only = ", read only" if namespace.read_only else ""
            click.echo(f"namespace {nsid}: {namespace.blocks} blocks of {namespace.block} bytes, "
                       f"{namespace.guid.hex()}{read_only}")  # fmt: skip

    _run_with_client(address, nqn, digests, action)


def _block_range(offset: int, length: int) -> tuple[int, int]:
    """Return the first block and the number of blocks; exit unless the range is aligned to blocks."""
    if offset % BLOCK_BYTES or length % BLOCK_BYTES or not length:
        fail(f"offset and length must be multiples of {BLOCK_BYTES} bytes")
    return offset // BLOCK_BYTES, length // BLOCK_BYTES


@nvme.command("read")
@address
@click.argument("offset", type=click.IntRange(0))
@click.argument("length", type=click.IntRange(BLOCK_BYTES, MAX_TRANSFER_BYTES))
@nqn_option
@nsid_option
@digests_option
def nvme_read(address: str, offset: int, length: int, nqn: str, nsid: int, digests: bool) -> None:
    """Write LENGTH bytes from OFFSET to standard output."""
    block, blocks = _block_range(offset, length)

    def action(client: NvmeClient, scope: Scope, deadline: int) -> None:
        sqe = io_sqe(IoOpcode.READ, nsid, block, blocks, expects=length)
        sys.stdout.buffer.write(client.io(scope, deadline).must(sqe, deadline=deadline).data)
        sys.stdout.buffer.flush()

    _run_with_client(address, nqn, digests, action)


@nvme.command("write")
@address
@click.argument("offset", type=click.IntRange(0))
@click.argument("text")
@nqn_option
@nsid_option
@digests_option
def nvme_write(address: str, offset: int, text: str, nqn: str, nsid: int, digests: bool) -> None:
    """Write TEXT at OFFSET, zero-padded to complete blocks, and flush; "-" reads standard input."""
    data = sys.stdin.buffer.read(MAX_TRANSFER_BYTES) if text == "-" else text.encode()
    data = data.ljust(-(-len(data) // BLOCK_BYTES) * BLOCK_BYTES, b"\0")
    block, blocks = _block_range(offset, len(data))

    def action(client: NvmeClient, scope: Scope, deadline: int) -> None:
        queue = client.io(scope, deadline)
        queue.must(io_sqe(IoOpcode.WRITE, nsid, block, blocks), data, deadline)
        queue.must(Sqe(IoOpcode.FLUSH, 0, nsid), deadline=deadline)

    _run_with_client(address, nqn, digests, action)
