"""A bare pass-through on the same hub and codecs: what a head would cost that decides nothing.

Each client's request goes on at once, whole, to the node that its extent's number names.
"""

from __future__ import annotations

import sys

from harriertrack.config.settings import HeadSettings, load, load_nodes
from harriertrack.gateway.client import NbdClient
from harriertrack.gateway.front import VolumeExports
from harriertrack.protocol.nbd.client import Reply
from harriertrack.protocol.nbd.server import Disconnect, Request, ServerConnection
from harriertrack.protocol.nbd.wire import Command, Errno
from harriertrack.runtime.hub import Hub, Scope
from harriertrack.runtime.streams import SocketNetwork, Stream


class Pass:
    """One client's connection."""

    def __init__(self, settings: HeadSettings, nodes: list[NbdClient], stream: Stream) -> None:
        self._nodes, self._stream = nodes, stream
        self._extent = settings.extent_bytes
        self._nbd = ServerConnection(VolumeExports(settings))

    def run(self) -> None:
        """Serve the connection until it ends."""
        self._push()
        while data := self._stream.read():
            events = self._nbd.receive(data)
            self._push()
            for event in events:
                if isinstance(event, Request):
                    self._forward(event)
                elif isinstance(event, Disconnect):
                    self._stream.close()
                    return

    def _push(self) -> None:
        for part in self._nbd.take_outgoing():
            self._stream.write(part)

    def _forward(self, event: Request) -> None:
        node = self._nodes[event.offset // self._extent % len(self._nodes)]

        def then(reply: Reply | None) -> None:
            if reply is None or reply.error:
                self._nbd.reply_error(event.cookie, Errno.EIO)
            elif event.command is Command.READ:
                self._nbd.reply_read(event.cookie, event.offset, [reply.data])
            else:
                self._nbd.reply_done(event.cookie)
            self._push()

        node.start(event.command, event.offset, event.length, event.data, then)


def main(path: str) -> None:
    """Serve by a head's settings."""
    settings = load(path)
    assert isinstance(settings, HeadSettings)
    hub = Hub()
    net = SocketNetwork(hub)

    def serve() -> None:
        with hub.scope("pass") as scope:
            nodes = [open_node(scope, node.address) for node in load_nodes(settings.node_list.file)]
            listener = net.listen(settings.listen)
            while True:
                scope.spawn("client", Pass(settings, nodes, listener.accept()).run)

    def open_node(scope: Scope, address: tuple[str, int]) -> NbdClient:
        client = NbdClient(hub, net)
        client.open(address)
        client.go(scope, settings.volumes[0].name)
        return client

    hub.run(serve)


if __name__ == "__main__":
    main(sys.argv[1])
