"""The core's guard on closes: which requests pass, and what is recorded before a first write is sent."""

from __future__ import annotations

from collections.abc import Callable

from harriertrack.decisions.epochs import Epochs
from harriertrack.decisions.fleet.closing.clocks import FleetClock, Interval
from harriertrack.decisions.fleet.closing.fences import Fences
from harriertrack.decisions.fleet.closing.trims import TrimQueue
from harriertrack.decisions.requests import ClientRequest
from harriertrack.decisions.splitting import Kind
from harriertrack.runtime.hub import Hub
from harriertrack.storage.extents import ExtentMap

MOVING_HINT_US = 100_000


class Guard:
    """Checks the requests of one head against its fences."""

    def __init__(self, hub: Hub, wall: Callable[[], int], clock: FleetClock, fences: Fences, trims: TrimQueue,
                 places: ExtentMap, epochs: Epochs, extent_bytes: int, settle_us: int) -> None:  # fmt: skip
        self._hub, self._wall, self._clock = hub, wall, clock
        self._fences, self._trims, self._places = fences, trims, places
        self._epochs, self._extent_bytes, self._settle_us = epochs, extent_bytes, settle_us
        self._unsettled: dict[tuple[str, int], int] = {}  # until when requests may run, by (volume, extent)
        self.refused = 0

    def reading(self) -> Interval | None:
        """Return the interval that contains true time; None: unknown, as after the machine was suspended."""
        now = self._hub.now()
        self._clock.check_jump(now, self._wall())
        return self._clock.reading(now)

    def refusal_hint_us(self, request: ClientRequest) -> int | None:
        """Return the retry hint with which a request is refused now; None: it passes."""
        volume = request.volume.settings.name
        if request.kind is Kind.FLUSH or request.trim_shard >= 0 or not self._fences.may_purge(volume):
            return None
        hint = self._fences.refusal_hint_us(self.reading(), volume, request.offset, request.length)
        if hint is None and request.moving and request.kind is Kind.WRITE:
            extent = request.offset // self._extent_bytes  # a move concerns one extent
            if any(at == extent for at, _ in self._places.closing.lefts.get(volume, ())):
                hint = MOVING_HINT_US
        self.refused += hint is not None
        return hint

    def generation(self, volume: str) -> int:
        """Return the generation of a volume's data here; 0: never purged."""
        return self._epochs.generation(volume)

    def admits(self, volume: str, theirs: int) -> bool:
        """Whether a copy from a lease holder with this generation may be stored here now."""
        return self._fences.accepts_generation(self.reading(), volume, self.generation(volume), theirs)

    def unsettled_us(self, volume: str) -> int:
        """Return for how long the other region's head may differ on whether a volume's close has passed."""
        if not self._fences.may_purge(volume):
            return 0
        return self._fences.unsettled_us(self.reading(), volume, 2 * self._clock.rules.error_us)

    def record_placement(self, volume: str, extent: int, shard: int) -> None:
        """Record on disk, in case of a crash, that an extent's first write is about to be sent to a shard."""
        if self._fences.may_purge(volume):
            self._places.doubt(volume, extent, shard)

    def record_running(self, volume: str, extent: int) -> None:
        """Record that a request for an extent may still run at its node."""
        if self._fences.may_purge(volume):
            self._unsettled[volume, extent] = self._hub.now() + self._settle_us

    def settled_at(self, volume: str, extent: int) -> int:
        """Return when no request sent for an extent can still run."""
        return self._unsettled.get((volume, extent), 0)

    def forget_settled(self) -> None:
        """Forget the requests that can no longer run."""
        now = self._hub.now()
        self._unsettled = {place: until for place, until in self._unsettled.items() if until > now}

    def prioritize_trim(self, volume: str, extent: int) -> None:
        """Prioritise the trim of an extent that a request waits for."""
        self._trims.prioritize(self._hub.now(), volume, extent)
