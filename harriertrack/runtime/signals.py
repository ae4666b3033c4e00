"""Signals as events of the hub, by a wake-up pipe."""

from __future__ import annotations

import signal
import socket
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from harriertrack.runtime.hub import READ, FdHandler, Hub
from harriertrack.runtime.streams import close_socket


@contextmanager
def on_signals(hub: Hub, numbers: tuple[int, ...], act: Callable[[int], None]) -> Iterator[None]:
    """Call `act` in the hub's loop for each of these signals while the context is open (main thread only).

    The interpreter's own handler writes the signal's number to a pipe, which ends the hub's poll; the
    Python-level handler does nothing, so a task is never interrupted between two of its lines.
    """
    receiving, sending = socket.socketpair()
    for end in (receiving, sending):
        end.setblocking(False)

    def read(_events: int) -> None:
        try:
            received = receiving.recv(256)
        except OSError:  # out of memory: the hub's next poll reports it again
            return
        for number in received:
            if number in numbers:
                act(number)

    handler = FdHandler(receiving.fileno(), READ, read)
    hub.add_handler(handler)
    wakeup = signal.set_wakeup_fd(sending.fileno(), warn_on_full_buffer=False)
    former_handlers = {number: signal.signal(number, lambda *_: None) for number in numbers}
    try:
        yield
    finally:
        for number, former in former_handlers.items():
            signal.signal(number, former)
        signal.set_wakeup_fd(wakeup)
        hub.remove_handler(handler)
        for end in (receiving, sending):
            close_socket(end)
