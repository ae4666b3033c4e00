"""Background requests of the head itself, which copy, compare and move extents."""

from __future__ import annotations

from harriertrack.decisions.requests import ClientRequest, Core
from harriertrack.decisions.splitting import Kind
from harriertrack.runtime.hub import Event, Hub


class Waiter:
    """Waits for the answer to a background request, or for an extent to be held."""

    def __init__(self, hub: Hub) -> None:
        self._ended = Event(hub)

    def answer(self, request: ClientRequest) -> None:
        """Handle the core's answer."""
        self._ended.set()

    def held(self) -> None:
        """Handle that the extent is held."""
        self._ended.set()

    def wait(self) -> None:
        """Block the current task until then."""
        self._ended.wait()


def run_request(hub: Hub, core: Core, volume: str, kind: Kind, start: int, length: int, data: bytes = b"",
       moving: bool = False, at_shard: int = -1) -> ClientRequest:  # fmt: skip
    """Run a background request and wait for its end, which is bounded by the deadline of its class."""
    waiter = Waiter(hub)
    request = ClientRequest(core.volumes[volume], kind, start, length, data, 0, waiter,
                            background=True, moving=moving, trim_shard=at_shard)  # fmt: skip
    core.accept(hub.now(), request)
    waiter.wait()
    return request
