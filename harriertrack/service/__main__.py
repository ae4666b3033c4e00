"""`python -m harriertrack.service`: one head on the users' platform, in the foreground.

SIGTERM and SIGHUP are blocked before the long imports and let through once their handlers stand: what comes
in between stays pending, and is answered then as at any other time.
"""

from __future__ import annotations

import signal

SIGNALS = (signal.SIGTERM, signal.SIGHUP)
if __name__ == "__main__":
    signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)

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


def log(event: str, **fields: object) -> None:
    """Log one line; a log that can't be written is no reason to stop."""
    line = " ".join((event, *(f"{name}={value}" for name, value in fields.items())))
    with contextlib.suppress(OSError):
        os.write(2, line.encode("utf-8", "replace") + b"\n")


@contextlib.contextmanager
def let_through() -> Iterator[None]:
    """Let the signals through meanwhile; after it none ends the process before it has ended by itself."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, SIGNALS)
    try:
        yield
    finally:
        signal.pthread_sigmask(signal.SIG_BLOCK, SIGNALS)


def main() -> int:
    """Run the head until it is asked to leave; return the exit status."""
    try:
        configuration = read_configuration(os.environ)
    except ConfigurationError as error:
        log(f"harriertrack: {error}")
        return 2
    # The first step that a start tells: one that stands still before it does so in Python or in an import.
    log("starting", name=configuration.name, known=len(configuration.known))
    hub = Hub(seed=configuration.seed)
    head = PlatformHead(hub, SocketNetwork(hub), configuration, log)

    def heard(number: int) -> None:
        if number == signal.SIGTERM:
            head.stop()
            return
        try:
            head.reconfigure(read_configuration(os.environ))
        except ConfigurationError as error:
            log("configuration not taken", why=error)

    gc.collect()
    gc.freeze()
    with on_signals(hub, SIGNALS, heard), let_through():
        try:
            hub.run(head.run)
        except OSError as error:
            log(f"harriertrack: {configuration.listen}: {error}")
            return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
