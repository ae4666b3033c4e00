"""A system call that fails as Linux documents it hurts at most the connection that it was made for.

Seen: a head ends with status 1 within seconds where one in twenty of its calls of `accept` fails with
EHOSTUNREACH, EPROTO or ENETUNREACH, two seeds of two; its log's last line is `harriertrack: ADDRESS: [Errno 113]
EHOSTUNREACH`. Linux hands an error that is pending on a new connection to `accept`; accept(2) says to take it as
EAGAIN. The listener passed on all errors but the four of a process without room, and nobody above it caught them.
Now the listener itself tells a connection that failed from a listener that is none, and makes the call again.

Seen: the same with one in twenty calls of `poll` that fail with ENOMEM, on two seeds of two. Neither the hub's loop
nor the look whether a client has gone took poll(2) to fail. Now the loop rests for a
millisecond and looks again: poll tells of states, so nothing is missed.

Seen: the same with `close` that fails with EINTR, EIO or ENOSPC (two seeds of two), and with all calls of
FAILURES together; `harriertrack: ADDRESS: [Errno 5] EIO`. Streams closed and set options as if that never failed, in
callbacks that nobody guards. `setsockopt` that fails with ENOBUFS does so, too, and a signal's pipe that can't be
read (`recv` ENOMEM, a test alone). Now a stream closes and sets options whatever these calls return, for it can do
nothing about them, and a pipe is read again at the next poll.
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
from tests.endings.test_start_and_reload import PATIENCE_US, REQUEST, play
from tests.test_platform import MS

REQUESTS = 200
RATE = 0.05
BREAKS = {"recv", "sendmsg"}  # calls whose failure breaks a client's own connection: no answer comes over it
NO_ROOM = ("EMFILE", "ENFILE", "ENOBUFS", "ENOMEM")  # for another connection


class FailingOnce(socket.socket):
    """A listening socket of which the next calls of `accept` fail, `accept` by `accept`."""

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
    listener._sock = sock = FailingOnce()
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
def test_an_accept_that_fails_is_made_again(code, times):
    def main():
        here = socket.create_connection(listener.address)
        assert listener.accept(hub.now() + 10_000 * MS).peer.startswith("127.0.0.1:")
        here.close()

    with listening([code] * times) as (hub, listener):
        hub.run(main)


@pytest.mark.parametrize("code", [code for code in ACCEPT if code not in NO_ROOM])
def test_what_waits_to_be_accepted_is_taken_though_a_call_fails(code):
    """As a head drains it takes what the system has connected, then closes the listener."""

    def main():
        here = socket.create_connection(listener.address)
        assert listener.accept_now() is not None
        assert listener.accept_now() is None
        here.close()

    with listening([code]) as (hub, listener):
        hub.run(main)


def test_a_signal_is_heard_though_its_pipe_can_not_be_read_at_once(monkeypatch):
    class Pipe(socket.socket):
        fails = 2

        def recv(self, *args):
            if self.fails:
                self.fails -= 1
                raise OSError(errno.ENOMEM, "no memory")
            return super().recv(*args)

    def main():
        with on_signals(hub, (signal.SIGUSR1,), heard.append):
            os.kill(os.getpid(), signal.SIGUSR1)
            hub.sleep(50 * MS)

    ends = socket.socketpair()
    monkeypatch.setattr(socket, "socketpair", lambda: tuple(Pipe(fileno=end.detach()) for end in ends))
    hub, heard = Hub(), []
    hub.run(main)
    assert heard == [signal.SIGUSR1]


@pytest.mark.parametrize("code", ["EBADF", "EINVAL", "ENOTSOCK"])
def test_a_listener_that_is_none_is_an_error(code):
    with listening([code]) as (hub, listener), pytest.raises(OSError):
        hub.run(listener.accept, hub.now() + 1_000 * MS)


def asked(site, number):
    """Ask over a new connection; return the answer's status, 0 where the connection broke."""
    try:
        stream = site.net.connect(site.place, site.hub.now() + PATIENCE_US)
        stream.write(f"{REQUEST}{number:016x}\r\n\r\n".encode())
        head, _, _ = read_message(stream, b"", site.hub.now() + PATIENCE_US)
        stream.close()
    except ConnectionError:
        return 0
    return int(head.split(b" ")[1]) if head else 0


@pytest.mark.real_time
@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("calls", [[call] for call in FAILURES] + [list(FAILURES)], ids="+".join)
def test_a_head_whose_calls_fail_now_and_then_serves_on(tmp_path, calls, seed):
    """Clients ask over a connection each, so that each request meets several of the head's calls."""

    def act(site):
        site.start([sys.executable, "-m", "tests.endings.faulty_head", str(seed), str(RATE), *calls])
        site.until(site.ready)
        statuses = [asked(site, number) for number in range(1, REQUESTS + 1)]
        assert site.process.poll() is None, site.logged()[-2000:]
        assert statuses.count(200) and (all(statuses) or BREAKS.intersection(calls)), statuses
        site.send(signal.SIGTERM)
        site.leaves()

    play(tmp_path, act)
