"""`python -m harriertrack.service`: one head on the users' platform, in the foreground."""

from __future__ import annotations

import contextlib
import gc
import os
import signal
import sys

from harriertrack.runtime.hub import Hub
from harriertrack.runtime.signals import on_signals
from harriertrack.runtime.streams import SocketNetwork
from harriertrack.service.configuration import ConfigurationError, read
from harriertrack.service.head import PlatformHead


def note(event: str, **fields: object) -> None:
    """Log one line; a log that can't be written is no reason to stop."""
    line = " ".join((event, *(f"{name}={value}" for name, value in fields.items())))
    with contextlib.suppress(OSError):
        os.write(2, line.encode("utf-8", "replace") + b"\n")


def main() -> int:
    """Run the head until it is asked to leave; return the exit status."""
    try:
        configuration = read(os.environ)
    except ConfigurationError as error:
        note(f"harriertrack: {error}")
        return 2
    hub = Hub(seed=configuration.seed)
    head = PlatformHead(hub, SocketNetwork(hub), configuration, note)

    def heard(number: int) -> None:
        if number == signal.SIGTERM:
            head.stop()
            return
        try:
            head.reconfigure(read(os.environ))
        except ConfigurationError as error:
            note("configuration not taken", why=error)

    gc.collect()
    gc.freeze()
    with on_signals(hub, (signal.SIGTERM, signal.SIGHUP), heard):
        try:
            hub.run(head.run)
        except OSError as error:
            note(f"harriertrack: {configuration.listen}: {error}")
            return 1
    return 0


if __name__ == "__main__":
    sys.exit(main())
