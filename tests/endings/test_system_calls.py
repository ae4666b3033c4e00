"""A system call that fails as Linux documents it breaks at most the connection that it was made for.

Found with one in twenty calls of `accept` failing with EHOSTUNREACH, EPROTO or ENETUNREACH (two seeds of two): a
head exited with status 1 within seconds; the last line of its log was `harriertrack: ADDRESS: [Errno 113]
EHOSTUNREACH`. Linux reports an error that is pending on a new connection from `accept`; accept(2) says to treat it
like EAGAIN. The listener passed on all errors except the four of exhausted resources, and no caller handled them.
Now the listener distinguishes a failed connection from an invalid listener, and repeats the call.

Found with one in twenty calls of `poll` failing with ENOMEM (two seeds of two), with the same result: neither the
hub's loop nor the check for disconnected clients expected poll(2) to fail. Now the loop waits for a millisecond and
polls again: poll reports states, so nothing is missed.

Found with `close` failing with EINTR, EIO or ENOSPC (two seeds of two), and with all calls of FAILURES together,
with the same result: `harriertrack: ADDRESS: [Errno 5] EIO`. Streams assumed that closing and setting options never
fail, in callbacks without error handling. The same happens if `setsockopt` fails with ENOBUFS, or if a signal's pipe
can't be read (`recv` ENOMEM, in a separate test). Now a stream ignores errors of close and of setting options, as it
can't handle them, and a pipe is read again at the next poll.
"""

import errno
import os
import signal
import socket
import sys
from contextlib import contextmanager

import pytest

from harriertrack.runtime.hub import Hub
from harriertrack.runtime.signals import on_signals
from harriertrack.runtime.streams import SocketListener
from harriertrack.standin.platform import read_message
from tests.endings.faulty_head import ACCEPT, FAILURES
from tests.endings.test_start_and_reload import TIMEOUT_US, REQUEST, play
from tests.test_platform import MS

REQUESTS = 200
RATE = 0.05
BREAKS = {"recv", "sendmsg"}  # calls whose failure breaks the client's own connection, without an answer
OUT_OF_RESOURCES = ("EMFILE", "ENFILE", "ENOBUFS", "ENOMEM")  # no further connection is possible


class FailingListener(socket.socket):
    """A listening socket whose next calls of `accept` fail with `codes`, one after another."""

    codes: list = []

    def accept(self):
        if self.codes:
            raise OSError(self.codes.pop(0), "of the new connection")
        return super().accept()


@contextmanager
def listening(codes):
    hub = Hub()
    listener = SocketListener(hub, ("127.0.0.1", 0))
    listener._sock.close()
    listener._sock = sock = FailingListener()
    sock.bind(listener.address)
    sock.listen()
    sock.setblocking(False)
    hub.remove_handler(listener._handler)
    listener._handler.fd = sock.fileno()
    hub.add_handler(listener._handler)
    sock.codes = [getattr(errno, code) for code in codes]
    yield hub, listener
    listener.close()


@pytest.mark.parametrize("times", [1, 40])
@pytest.mark.parametrize("code", ACCEPT)
def test_a_failed_accept_is_repeated(code, times):
    def main():
        client = socket.create_connection(listener.address)
        assert listener.accept(hub.now() + 10_000 * MS).peer.startswith("127.0.0.1:")
        client.close()

    with listening([code] * times) as (hub, listener):
        hub.run(main)


@pytest.mark.parametrize("code", [code for code in ACCEPT if code not in OUT_OF_RESOURCES])
def test_waiting_connections_are_accepted_though_a_call_fails(code):
    """A head that drains accepts the connections that the system completed, then closes the listener."""

    def main():
        client = socket.create_connection(listener.address)
        assert listener.accept_now() is not None
        assert listener.accept_now() is None
        client.close()

    with listening([code]) as (hub, listener):
        hub.run(main)


def test_a_signal_is_handled_though_the_first_reads_of_its_pipe_fail(monkeypatch):
    class Pipe(socket.socket):
        failures_left = 2

        def recv(self, *args):
            if self.failures_left:
                self.failures_left -= 1
                raise OSError(errno.ENOMEM, "no memory")
            return super().recv(*args)

    def main():
        with on_signals(hub, (signal.SIGUSR1,), received.append):
            os.kill(os.getpid(), signal.SIGUSR1)
            hub.sleep(50 * MS)

    ends = socket.socketpair()
    monkeypatch.setattr(socket, "socketpair", lambda: tuple(Pipe(fileno=end.detach()) for end in ends))
    hub, received = Hub(), []
    hub.run(main)
    assert received == [signal.SIGUSR1]


@pytest.mark.parametrize("code", ["EBADF", "EINVAL", "ENOTSOCK"])
def test_an_invalid_listener_is_an_error(code):
    with listening([code]) as (hub, listener), pytest.raises(OSError):
        hub.run(listener.accept, hub.now() + 1_000 * MS)


def request_status(site, number):
    """Send a request over a new connection; return the status of its answer, 0 if the connection broke."""
    try:
        stream = site.net.connect(site.place, site.hub.now() + TIMEOUT_US)
        stream.write(f"{REQUEST}{number:016x}\r\n\r\n".encode())
        head, _, _ = read_message(stream, b"", site.hub.now() + TIMEOUT_US)
        stream.close()
    except ConnectionError:
        return 0
    return int(head.split(b" ")[1]) if head else 0


@pytest.mark.real_time
@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("calls", [[call] for call in FAILURES] + [list(FAILURES)], ids="+".join)
def test_a_head_whose_calls_fail_at_random_keeps_serving(tmp_path, calls, seed):
    """Each request uses a connection of its own, and so several system calls of the head."""

    def act(site):
        site.start([sys.executable, "-m", "tests.endings.faulty_head", str(seed), str(RATE), *calls])
        site.until(site.ready)
        statuses = [request_status(site, number) for number in range(1, REQUESTS + 1)]
        assert site.process.poll() is None, site.logged()[-2000:]
        assert statuses.count(200) and (all(statuses) or BREAKS.intersection(calls)), statuses
        site.send(signal.SIGTERM)
        site.assert_shuts_down()

    play(tmp_path, act)
