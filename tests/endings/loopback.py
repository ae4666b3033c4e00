"""The platform's head with its nodes and discovery over loopback sockets, all on one hub.

A client is a plain socket of the test. Everything that a test does to it between two waits happens within one
round of the hub: the head sees all of it at once, so no sleeps are needed to hit an instant.
"""

import fcntl
import socket
import sys
import termios

from harriertrack.lab.fleet.processes import LoopbackAddresses
from harriertrack.runtime.hub import Event, Hub, RealClock
from harriertrack.runtime.streams import SocketNetwork
from harriertrack.standin.platform import RESET, answer
from tests.test_platform import MS, Site

PLACES = LoopbackAddresses()  # a port per site: sockets left open by a failed test block no other
SMALL = 2048  # size of a small socket buffer, in bytes
CONDITION_TIMEOUT_US = 10_000_000  # for a condition that a test waits for


class LeapClock(RealClock):
    """Real time that a test can move forward."""

    ahead_us = 0

    def now(self):
        return super().now() + self.ahead_us

    def leap(self, us):
        self.ahead_us += us


class HeldNetwork(SocketNetwork):
    """TCP on this machine; connects to the addresses in `held` complete when the test sets `up`."""

    def __init__(self, hub):
        super().__init__(hub)
        self.held, self.waiting, self.up = set(), 0, Event(hub)
        self.sockets = []  # of the connections that were held
        self.send_buffer = 0  # SO_SNDBUF of later connections; 0: the default

    def connect(self, address, deadline=None, name=""):
        stream = super().connect(address, deadline, name)
        if self.send_buffer:
            stream._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, self.send_buffer)
        if address in self.held:
            self.sockets.append(stream._sock)
            self.waiting += 1
            try:
                self.up.wait(deadline)
            except BaseException:
                stream.close()
                raise
            finally:
                self.waiting -= 1
        return stream


class LoopbackSite(Site):
    """A head, two storage nodes and discovery over TCP on this machine, in real time."""

    def surroundings(self):
        hub = Hub(LeapClock(), seed=3)
        return hub, HeldNetwork(hub), PLACES.next()

    def hold_dials(self):
        """Let later connects to nodes complete only at `net.up.set()`."""
        self.net.held = {shelf.address for shelf in self.shelfs}

    def leap_first(self, us):
        """Move the clock in the hub's next round, before tasks that are woken after this call."""
        self.scope.spawn("leap", self.hub.clock.leap, us)

    def until(self, condition, within=CONDITION_TIMEOUT_US):
        """Wait until a condition is true; fail after a time that no healthy run needs."""
        deadline = self.hub.now() + within
        while not condition():
            assert self.hub.now() < deadline, "the condition never became true"
            self.hub.sleep(1 * MS)


class RawClient:
    """A client's socket: connects, sends and closes without a round of the hub in between."""

    def __init__(self, site, receive_buffer=0):
        self.site, self.received, self.ended, self.broken = site, b"", False, False
        self.socket = socket.socket()
        if receive_buffer:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.socket.connect(site.place)  # loopback: the kernel completes it before the head accepts
        self.socket.setblocking(False)

    def send(self, data):
        """Send bytes; return how many the kernel accepted."""
        return self.socket.send(data)

    def receive(self, most=1 << 16):
        """Read available bytes; return whether there were any, or an end of the connection."""
        try:
            data = self.socket.recv(most)
        except BlockingIOError:
            return False
        except ConnectionError:
            self.broken = self.ended = True
            return True
        self.received += data
        self.ended = self.ended or not data
        return True

    def until_ended(self):
        """Read up to the end of the connection; return all received bytes."""
        self.site.until(lambda: self.receive() and self.ended)
        return self.received

    def until_answered(self):
        """Read one complete answer; return (status, head in lower case, body)."""

        def is_complete():
            while not self.ended and self.receive():
                pass
            return self.ended or self._parse_answer() is not None

        self.site.until(is_complete)
        parsed = self._parse_answer()
        assert parsed is not None, f"the connection ended without a complete answer: {self.received[:200]!r}"
        answer, self.received = parsed
        return answer

    def _parse_answer(self):
        head, mark, rest = self.received.partition(b"\r\n\r\n")
        if not mark:
            return None
        head = head.lower()
        lengths = [
            line.partition(b":")[2] for line in head.split(b"\r\n") if line.startswith(b"content-length:")
        ]
        length = int(lengths[0]) if lengths else 0
        if len(rest) < length:
            return None
        return (int(head.split(b" ")[1]), head, rest[:length]), rest[length:]

    def unacknowledged(self):
        """Return how many sent bytes are still in the kernel's buffer."""
        return int.from_bytes(fcntl.ioctl(self.socket, termios.TIOCOUTQ, bytes(4)), sys.byteorder)

    def was_reset(self):
        """Whether the connection was reset, even if bytes and an end can still be read before that."""
        return self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0

    def half_close(self):
        """Send no more."""
        self.socket.shutdown(socket.SHUT_WR)

    def close(self):
        """Close as a client that disconnects."""
        self.socket.close()

    def reset(self):
        """Reset the connection."""
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        self.socket.close()


def request_with_lost_answer(site, then=lambda: None, **changes):
    """Send a request whose first attempt is reset when it arrives; call `then` in the same round."""

    def script(got):
        site.script = lambda got: answer(b"done")
        then()
        return RESET

    site.script = script
    client = RawClient(site)
    client.send(site.request(**changes))
    return client


class RawNode:
    """A storage node's listening socket that replaces one of the site's; the test itself accepts and answers."""

    def __init__(self, site, cell=1):
        self.site, self.socket = site, socket.socket()
        self.socket.bind(("127.0.0.1", 0))
        self.socket.listen()
        self.socket.setblocking(False)
        address = self.socket.getsockname()
        site.discovery.set_server(f"s{cell}", address, cell)
        site.until(lambda: site.head.nodes.find(f"s{cell}").address == address)

    def small_buffers(self, buffered=SMALL):
        """Use small buffers for later connections: sent bytes arrive only as this side reads.

        The kernel of the head buffers `buffered` bytes; 0: its default.
        """
        self.site.net.send_buffer = buffered
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL)

    def accept(self):
        """Wait for a connection of the head; return its end here."""
        accepted = []

        def is_accepted():
            try:
                accepted.append(self.socket.accept()[0])
            except BlockingIOError:
                return False
            return True

        self.site.until(is_accepted)
        return NodeEnd(self.site, accepted[0])


class NodeEnd(RawClient):
    """The node's end of a connection."""

    def __init__(self, site, accepted):
        self.site, self.received, self.ended, self.broken = site, b"", False, False
        self.socket = accepted
        accepted.setblocking(False)

    def until_requested(self, body=0):
        """Read up to the end of a request's head, and `body` bytes after it."""

        def is_requested():
            self.receive()
            _, mark, rest = self.received.partition(b"\r\n\r\n")
            return mark and len(rest) >= body

        self.site.until(is_requested)

    def serve(self, body=b"done"):
        """Answer the request."""
        self.until_requested()
        self.received = b""
        self.send(answer(body))


def client_states(site):
    """Return the states of all clients' connections."""
    connections = site.head.front.connections
    return [connections.state(connection) for connection in connections._state]


def slow_reader(site):
    """Return the first client of a head, connected with small buffers on both sides."""
    client = RawClient(site, receive_buffer=4096)
    site.until(lambda: len(site.head.front.connections))
    (connection,) = site.head.front.connections._state
    connection._stream._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    return client
