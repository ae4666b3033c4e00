"""What the core asks of closes: what passes now, and what is to be known before a first write is sent."""

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
    """One head's."""

    def __init__(self, hub: Hub, wall: Callable[[], int], clock: FleetClock, fences: Fences, trims: TrimQueue,
                 places: ExtentMap, epochs: Epochs, extent_bytes: int, settle_us: int) -> None:  # fmt: skip
        self._hub, self._wall, self._clock = hub, wall, clock
        self._fences, self._trims, self._places = fences, trims, places
        self._epochs, self._extent_bytes, self._settle_us = epochs, extent_bytes, settle_us
        self._risky: dict[tuple[str, int], int] = {}  # (volume, extent): until when
        self.refused = 0

    def reading(self) -> Interval | None:
        """Return between which instants it is now; None: nobody knows, as when the machine has slept."""
        now = self._hub.now()
        self._clock.check_jump(now, self._wall())
        return self._clock.reading(now)

    def refuses(self, request: ClientRequest) -> int | None:
        """Return the hint with which a request is refused now; None: it passes."""
        volume = request.volume.settings.name
        if request.kind is Kind.FLUSH or request.trim_shard >= 0 or not self._fences.may_purge(volume):
            return None
        hint = self._fences.refusal_hint_us(self.reading(), volume, request.offset, request.length)
        if hint is None and request.moving and request.kind is Kind.WRITE:
            extent = request.offset // self._extent_bytes  # a move is of one extent
            if any(at == extent for at, _ in self._places.closing.lefts.get(volume, ())):
                hint = MOVING_HINT_US
        self.refused += hint is not None
        return hint

    def generation(self, volume: str) -> int:
        """Return of which generation a volume's bytes are here; 0: none was ever purged."""
        return self._epochs.generation(volume)

    def admits(self, volume: str, theirs: int) -> bool:
        """Whether a copy by a holder that has this generation may be stored here now."""
        return self._fences.accepts_generation(self.reading(), volume, self.generation(volume), theirs)

    def unsettled_us(self, volume: str) -> int:
        """Return for how long the other region's head may stand on another side of a volume's close."""
        if not self._fences.may_purge(volume):
            return 0
        return self._fences.unsettled_us(self.reading(), volume, 2 * self._clock.rules.error_us)

    def placing(self, volume: str, extent: int, shard: int) -> None:
        """A first write to an extent is about to be sent to a shard: on disk, should this head be killed."""
        if self._fences.may_purge(volume):
            self._places.doubt(volume, extent, shard)

    def may_run(self, volume: str, extent: int) -> None:
        """What was sent for an extent may still run at its node."""
        if self._fences.may_purge(volume):
            self._risky[volume, extent] = self._hub.now() + self._settle_us

    def quiet_at(self, volume: str, extent: int) -> int:
        """Return when nothing that was sent for an extent can run any more."""
        return self._risky.get((volume, extent), 0)

    def forget_quiet(self) -> None:
        """Forget what can't run any more."""
        now = self._hub.now()
        self._risky = {place: until for place, until in self._risky.items() if until > now}

    def awaited(self, volume: str, extent: int) -> None:
        """Somebody waits until an extent is trimmed."""
        self._trims.prioritize(self._hub.now(), volume, extent)
