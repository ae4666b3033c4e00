"""The platform's head with system calls that fail at random, as Linux documents: `python -m ... SEED RATE CALL...`.

A call fails before it reaches the system, so it has no effect.
"""

import errno
import random
import select
import socket
import sys

ACCEPT = (
    "ECONNABORTED", "ENETDOWN", "EPROTO", "ENOPROTOOPT", "EHOSTDOWN", "ENONET", "EHOSTUNREACH", "EOPNOTSUPP",
    "ENETUNREACH", "EPERM", "ETIMEDOUT", "EINTR", "EMFILE", "ENFILE", "ENOBUFS", "ENOMEM",
)  # fmt: skip
FAILURES = {
    "accept": ACCEPT,
    "socket": ("EMFILE", "ENFILE", "ENOBUFS", "ENOMEM"),
    "connect_ex": ("EADDRNOTAVAIL", "EAGAIN", "ECONNREFUSED", "EINTR", "ENETUNREACH", "ETIMEDOUT", "EPERM"),
    "getsockopt": ("ENOBUFS", "ENOMEM"),
    "setsockopt": ("ENOBUFS", "ENOMEM"),
    "recv": ("EAGAIN", "ECONNRESET", "EINTR", "ENOMEM", "ETIMEDOUT", "EHOSTUNREACH"),
    "sendmsg": ("EAGAIN", "ECONNRESET", "EINTR", "ENOBUFS", "ENOMEM", "EPIPE"),
    "shutdown": ("ENOTCONN", "ENOBUFS"),
    "close": ("EINTR", "EIO", "ENOSPC"),
    "poll": ("ENOMEM",),
}


class Faults:
    """Draws which calls fail, and with which errors."""

    def __init__(self, seed, rate, calls):
        self._random, self._rate, self._calls = random.Random(seed), rate, calls
        self._serving = False  # before it listens, a head exits on errors, by design

    def draw_code(self, call):
        """Draw the error with which a call fails; 0 for none."""
        self._serving = self._serving or call == "accept"
        if not self._serving or call not in self._calls or self._random.random() >= self._rate:
            return 0
        return getattr(errno, self._random.choice(FAILURES[call]))

    def fail_sometimes(self, call):
        if code := self.draw_code(call):
            raise OSError(code, errno.errorcode[code])


def faulty_socket(faults):
    """Return a class of sockets whose calls fail at random."""

    class FaultySocket(socket.socket):
        def __init__(self, family=-1, type=-1, proto=-1, fileno=None):
            if fileno is None:  # otherwise the descriptor exists already
                faults.fail_sometimes("socket")
            super().__init__(family, type, proto, fileno)

        def accept(self):
            faults.fail_sometimes("accept")
            fd, address = self._accept()
            return FaultySocket(self.family, self.type, self.proto, fileno=fd), address

        def connect_ex(self, address):
            return faults.draw_code("connect_ex") or super().connect_ex(address)

        def getsockopt(self, *args):
            faults.fail_sometimes("getsockopt")
            return super().getsockopt(*args)

        def setsockopt(self, *args):
            faults.fail_sometimes("setsockopt")
            super().setsockopt(*args)

        def recv(self, *args):
            faults.fail_sometimes("recv")
            return super().recv(*args)

        def sendmsg(self, *args):
            faults.fail_sometimes("sendmsg")
            return super().sendmsg(*args)

        def shutdown(self, how):
            faults.fail_sometimes("shutdown")
            super().shutdown(how)

        def close(self):
            super().close()
            faults.fail_sometimes("close")  # Linux closes the descriptor even if close fails

    return FaultySocket


def faulty_poll(faults, real):
    """Return a replacement of `select.poll` whose objects' calls fail at random."""

    class FaultyPoll:
        def __init__(self):
            self._poll = real()
            self.register, self.unregister = self._poll.register, self._poll.unregister

        def poll(self, *args):
            faults.fail_sometimes("poll")
            return self._poll.poll(*args)

    return FaultyPoll


def main():
    from harriertrack.service import __main__ as service

    seed, rate, *calls = sys.argv[1:]
    faults = Faults(int(seed), float(rate), calls or list(FAILURES))
    socket.SocketType = socket.socket = faulty_socket(faults)
    select.poll = faulty_poll(faults, select.poll)
    return service.main()


if __name__ == "__main__":
    sys.exit(main())
