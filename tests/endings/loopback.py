"""The platform's head with its nodes and discovery over loopback sockets, all on one hub.

A client is a plain socket that the test holds itself. What a test does to it between two waits of its own lies
within one turn of the hub: the head sees all of it at once, and no sleep is needed to force an instant.
"""

import fcntl
import socket
import sys
import termios

from harriertrack.lab.fleet.processes import Places
from harriertrack.runtime.hub import Event, Hub, RealClock
from harriertrack.runtime.streams import SocketNetwork
from harriertrack.standin.platform import RESET, answer
from tests.test_platform import MS, Site

PLACES = Places()  # each site listens elsewhere: what one that failed left open hinders no other
SMALL = 2048  # bytes that a small buffer holds
PATIENCE_US = 10_000_000  # the longest that a test waits for a condition


class LeapClock(RealClock):
    """Real time that a test can let pass at once."""

    ahead_us = 0

    def now(self):
        return super().now() + self.ahead_us

    def leap(self, us):
        self.ahead_us += us


class HeldNetwork(SocketNetwork):
    """TCP on this machine, over which connections to some addresses come up when the test says so."""

    def __init__(self, hub):
        super().__init__(hub)
        self.held, self.waiting, self.up = set(), 0, Event(hub)
        self.sockets = []  # of the connections that were held up
        self.send_buffer = 0  # bytes that the kernel takes, of connections made from now on; 0: as it likes

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
        """Connections to nodes come up at `net.up.set()` from now on."""
        self.net.held = {shelf.address for shelf in self.shelfs}

    def leap_first(self, us):
        """Let so much time pass in the hub's next round, before tasks that are woken after this call."""
        self.scope.spawn("leap", self.hub.clock.leap, us)

    def until(self, holds, within=PATIENCE_US):
        """Wait until a condition holds; fail after a time that no healthy run needs."""
        deadline = self.hub.now() + within
        while not holds():
            assert self.hub.now() < deadline, "the condition never held"
            self.hub.sleep(1 * MS)


class RawClient:
    """A client's socket: connects, sends and ends at once, without a turn of the hub in between."""

    def __init__(self, site, receive_buffer=0):
        self.site, self.received, self.ended, self.broken = site, b"", False, False
        self.socket = socket.socket()
        if receive_buffer:
            self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        self.socket.connect(site.place)  # loopback: the kernel completes it though nobody has accepted yet
        self.socket.setblocking(False)

    def send(self, data):
        """Send bytes; return how many the kernel took."""
        return self.socket.send(data)

    def receive(self, most=1 << 16):
        """Take what has come; return whether anything new was seen."""
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
        """Read up to the end of the connection; return all that came."""
        self.site.until(lambda: self.receive() and self.ended)
        return self.received

    def until_answered(self):
        """Read one whole answer; return (status, head in lower case, body)."""

        def whole():
            while not self.ended and self.receive():
                pass
            return self.ended or self._answer() is not None

        self.site.until(whole)
        found = self._answer()
        assert found is not None, f"the connection ended without a whole answer: {self.received[:200]!r}"
        answer, self.received = found
        return answer

    def _answer(self):
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
        """Return how many bytes the system still has of what was sent."""
        return int.from_bytes(fcntl.ioctl(self.socket, termios.TIOCOUTQ, bytes(4)), sys.byteorder)

    def was_reset(self):
        """Whether the connection was reset, also behind bytes and an end that can still be read."""
        return self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0

    def half_close(self):
        """Send no more."""
        self.socket.shutdown(socket.SHUT_WR)

    def close(self):
        """Close as a client that goes away does."""
        self.socket.close()

    def reset(self):
        """Break the connection."""
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
        self.socket.close()


def ask_with_a_lost_answer(site, then=lambda: None, **changes):
    """Send a request whose first attempt is reset once it has come; call `then` in that same turn."""

    def script(got):
        site.script = lambda got: answer(b"done")
        then()
        return RESET

    site.script = script
    client = RawClient(site)
    client.send(site.request(**changes))
    return client


class RawNode:
    """A storage node's listening socket, in place of one of the site's; the test accepts and answers itself."""

    def __init__(self, site, cell=1):
        self.site, self.socket = site, socket.socket()
        self.socket.bind(("127.0.0.1", 0))
        self.socket.listen()
        self.socket.setblocking(False)
        address = self.socket.getsockname()
        site.discovery.set_server(f"s{cell}", address, cell)
        site.until(lambda: site.head.nodes.find(f"s{cell}").address == address)

    def small_buffers(self, kept=SMALL):
        """What is sent over connections made from now on does not come before it is read here.

        The head's system takes `kept` bytes, 0: as many as it likes.
        """
        self.site.net.send_buffer = kept
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL)

    def accept(self):
        """Wait for a connection of the head; return its end here."""
        found = []

        def comes():
            try:
                found.append(self.socket.accept()[0])
            except BlockingIOError:
                return False
            return True

        self.site.until(comes)
        return NodeEnd(self.site, found[0])


class NodeEnd(RawClient):
    """The node's end of a connection."""

    def __init__(self, site, accepted):
        self.site, self.received, self.ended, self.broken = site, b"", False, False
        self.socket = accepted
        accepted.setblocking(False)

    def until_asked(self, body=0):
        """Read up to the end of a request's head, and so many bytes behind it."""

        def asked():
            self.receive()
            _, mark, rest = self.received.partition(b"\r\n\r\n")
            return mark and len(rest) >= body

        self.site.until(asked)

    def serve(self, body=b"done"):
        """Answer what was asked."""
        self.until_asked()
        self.received = b""
        self.send(answer(body))


def caller_states(site):
    """Return the states of all clients' connections."""
    callers = site.head.front.connections
    return [callers.state(caller) for caller in callers._state]


def slow_reader(site):
    """Return the first client of a head, connected with small buffers on both sides."""
    client = RawClient(site, receive_buffer=4096)
    site.until(lambda: len(site.head.front.connections))
    (caller,) = site.head.front.connections._state
    caller._stream._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    return client
