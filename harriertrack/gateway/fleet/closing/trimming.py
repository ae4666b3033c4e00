"""Trims purged extents by background requests of the head."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from harriertrack.decisions.fleet.closing.trims import TrimQueue, TrimTarget
from harriertrack.decisions.requests import ClientRequest
from harriertrack.decisions.splitting import Kind, Outcome
from harriertrack.gateway import background
from harriertrack.gateway.parts import HeadParts
from harriertrack.storage.extents import ExtentMap

POLL_US = 20_000


class Trimming:
    """Runs the trims of one head, each in a task, as many at a time as `TrimQueue` allows."""

    def __init__(self, parts: HeadParts, trims: TrimQueue, places: ExtentMap, heads: Callable[[], int],
                 settle_us: int) -> None:  # fmt: skip
        self._parts, self._trims, self._places, self._heads = parts, trims, places, heads
        self._sizes = {volume.name: volume.size_bytes for volume in parts.settings.volumes}
        self._settle_us = settle_us
        self._requests: dict[TrimTarget, tuple[ClientRequest, background.Waiter]] = {}  # of trims in progress
        # Called as a trim begins; the function that it returns is called as the trim is done.
        self.on_begin: Callable[[TrimTarget], Callable[[], None]] = lambda _target: lambda: None
        self.on_all_done: Callable[[], None] = lambda: None  # nothing is left to trim

    def cancel(self, targets: Iterable[TrimTarget]) -> None:
        """Cancel these trims: further attempts would have the same epoch as the next writes."""
        for target in targets:
            if target in self._requests:
                request, waiter = self._requests[target]
                self._parts.core.client_left(request)
                waiter.answer(request)

    def recorded_targets(self) -> list[TrimTarget]:
        """Return the extents left to trim, as recorded on disk, in volumes that this head serves."""
        targets = self._places.closing.lefts
        return [
            TrimTarget(volume, extent, shard)
            for volume, places in targets.items() if volume in self._sizes for extent, shard in sorted(places)
        ]  # fmt: skip

    def run(self) -> None:
        """Start the trims that are due (a task)."""
        hub = self._parts.hub
        while True:
            while (target := self._trims.take_next(hub.now(), self._heads())) is not None:
                self._parts.scope.spawn(f"trim {target.volume} {target.extent}", self._trim, target)
            hub.sleep(POLL_US)

    def _trim(self, target: TrimTarget) -> None:
        parts, size = self._parts, self._parts.settings.extent_bytes
        start = target.extent * size
        length = min(size, self._sizes[target.volume] - start)
        trimmed, waiter = self.on_begin(target), background.Waiter(parts.hub)
        request = ClientRequest(parts.core.volumes[target.volume], Kind.TRIM, start, length, b"", 0, waiter,
                                background=True, moving=True, trim_shard=target.shard)  # fmt: skip
        self._requests[target] = request, waiter
        parts.core.accept(parts.hub.now(), request)
        waiter.wait()
        del self._requests[target]
        served = request.outcome is Outcome.SERVED
        if served:
            if self._trims.failed_before(target):
                parts.hub.sleep(self._settle_us)  # an earlier attempt may still run; no writes until it can't
            trimmed()
        self._trims.finish(parts.hub.now(), target, served)
        if served and not len(self._trims):
            self.on_all_done()
