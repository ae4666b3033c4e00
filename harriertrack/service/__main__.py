"""`python -m harriertrack.service`: one head on the users' platform, in the foreground.

SIGTERM and SIGHUP are blocked before the long imports and unblocked once their handlers are installed. A
signal that arrives in between stays pending and is handled then.
"""

from __future__ import annotations

import signal
import time

SIGNALS = (signal.SIGTERM, signal.SIGHUP)
if __name__ == "__main__":
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)
SIGNALS_PENDING_SINCE_US = time.monotonic_ns() // 1000  # a signal may have waited since

import contextlib  # noqa: E402
import gc  # noqa: E402
import os  # noqa: E402
import sys  # noqa: E402
from collections.abc import Iterator  # noqa: E402

from harriertrack.runtime.hub import Hub  # noqa: E402
from harriertrack.runtime.signals import on_signals  # noqa: E402
from harriertrack.runtime.streams import SocketNetwork  # noqa: E402
from harriertrack.service.configuration import ConfigurationError, read_configuration  # noqa: E402
from harriertrack.service.head import PlatformHead  # noqa: E402
from harriertrack.service.node_list_log import format_not_up  # noqa: E402


def log(event: str, **fields: object) -> None:
    """Log one line to standard error; errors of writing are ignored."""
    line = " ".join((event, *(f"{name}={value}" for name, value in fields.items())))
    with contextlib.suppress(OSError):
        os.write(2, line.encode("utf-8", "replace") + b"\n")


@contextlib.contextmanager
def signals_unblocked() -> Iterator[None]:
    """Unblock the signals in the body, and block them again after it, so that none interrupts the exit."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
    try:
        yield
    finally:
        signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)


def main() -> int:
    """Run the head until SIGTERM has shut it down; return the exit status."""
    try:
        configuration = read_configuration(os.environ)
    except ConfigurationError as error:
        log(f"harriertrack: {error}")
        return 2
    # The first log line of a start: a start that hangs without it hangs in the interpreter or an import.
    log(
        "starting",
        name=configuration.name,
        known=len(configuration.known),
        version=configuration.version,
        not_up=format_not_up(member.entry for member in configuration.known),
    )
    hub = Hub(seed=configuration.seed, input_since=SIGNALS_PENDING_SINCE_US)
    head = PlatformHead(hub, SocketNetwork(hub), configuration, log)

    def handle_signal(number: int) -> None:
        if number == signal.SIGTERM:
            head.stop()
            return
        try:
            head.reconfigure(read_configuration(os.environ))
        except ConfigurationError as error:
            log("configuration not taken", why=error)

    gc.collect()
    gc.freeze()
    with on_signals(hub, SIGNALS, handle_signal), signals_unblocked():
        try:
            hub.run(head.run)
        except OSError as error:
            log(f"harriertrack: {configuration.listen}: {error}")
            return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
