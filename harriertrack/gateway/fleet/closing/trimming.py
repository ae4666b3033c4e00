"""Trims what closes left, as background requests of the head's own."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from harriertrack.decisions.fleet.closing.trims import TrimQueue, TrimTarget
from harriertrack.decisions.requests import ClientRequest
from harriertrack.decisions.splitting import Kind, Outcome
from harriertrack.gateway import background
from harriertrack.gateway.parts import HeadParts
from harriertrack.storage.extents import ExtentMap

LOOK_US = 20_000


class Trimming:
    """One head's: one task for each trim that is out, as many as the figures allow."""

    def __init__(self, parts: HeadParts, trims: TrimQueue, places: ExtentMap, heads: Callable[[], int],
                 settle_us: int) -> None:  # fmt: skip
        self._parts, self._trims, self._places, self._heads = parts, trims, places, heads
        self._sizes = {volume.name: volume.size_bytes for volume in parts.settings.volumes}
        self._settle_us = settle_us
        self._requests: dict[TrimTarget, tuple[ClientRequest, background.Waiter]] = {}  # that are out
        # Called as one begins; what it returns, as it is done.
        self.begins: Callable[[TrimTarget], Callable[[], None]] = lambda _left: lambda: None
        self.emptied: Callable[[], None] = lambda: None  # nothing is left to trim

    def call_off(self, lefts: Iterable[TrimTarget]) -> None:
        """Send nothing more for these: what is out would come under the epoch of what is written next."""
        for left in lefts:
            if left in self._requests:
                request, waiter = self._requests[left]
                self._parts.core.client_left(request)
                waiter.answer(request)

    def known(self) -> list[TrimTarget]:
        """Return what is to be trimmed of volumes that this head has, as found on disk."""
        lefts = self._places.closing.lefts
        return [
            TrimTarget(volume, extent, shard)
            for volume, places in lefts.items() if volume in self._sizes for extent, shard in sorted(places)
        ]  # fmt: skip

    def run(self) -> None:
        """Trim whatever is due (a task)."""
        hub = self._parts.hub
        while True:
            while (left := self._trims.take_next(hub.now(), self._heads())) is not None:
                self._parts.scope.spawn(f"trim {left.volume} {left.extent}", self._trim, left)
            hub.sleep(LOOK_US)

    def _trim(self, left: TrimTarget) -> None:
        parts, size = self._parts, self._parts.settings.extent_bytes
        start = left.extent * size
        length = min(size, self._sizes[left.volume] - start)
        trimmed, waiter = self.begins(left), background.Waiter(parts.hub)
        request = ClientRequest(parts.core.volumes[left.volume], Kind.TRIM, start, length, b"", 0, waiter,
                                background=True, moving=True, trim_shard=left.shard)  # fmt: skip
        self._requests[left] = request, waiter
        parts.core.accept(parts.hub.now(), request)
        waiter.wait()
        del self._requests[left]
        gone = request.outcome is Outcome.SERVED
        if gone:
            if self._trims.failed_before(left):
                parts.hub.sleep(self._settle_us)  # an earlier try may run yet: nothing new is written before
            trimmed()
        self._trims.finish(parts.hub.now(), left, gone)
        if gone and not len(self._trims):
            self.emptied()
