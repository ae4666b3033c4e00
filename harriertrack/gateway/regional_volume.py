"""What a head knows of each volume of two regions, and of each request on one that is under way."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from harriertrack.config.settings import VolumeRegionSettings, VolumeSettings
from harriertrack.decisions.catchup import CatchUp
from harriertrack.decisions.copies import CloseOverlap, Copies
from harriertrack.decisions.ranges import RangeLock, RangeLocks
from harriertrack.decisions.regions import RegionView
from harriertrack.decisions.requests import ClientRequest
from harriertrack.runtime.hub import Timer

if TYPE_CHECKING:
    from harriertrack.gateway.regional import Regional


@dataclass(slots=True, eq=False)
class Work:
    """A client's request at the holder, or a copy at the other head, until nothing of it is open any more."""

    layer: Regional
    volume: RegionalVolume
    request: ClientRequest
    epoch: int
    copy: bool = False  # it is the holder's write, done here
    number: int = 0
    range_lock: RangeLock | None = None
    timer: Timer | None = None
    inner: ClientRequest | None = None
    close_overlap: CloseOverlap = CloseOverlap.NONE  # a close that came since it was begun in this region
    data: bytes | None = None  # what was read back after a write whose effect is not known

    def answer(self, inner: ClientRequest) -> None:
        """Take the core's answer."""
        self.layer.core_answered(self, inner)

    @property
    def extents(self) -> range:
        """Return the extents that it touches."""
        size = self.layer.extent_bytes
        last = max(self.request.offset, self.request.offset + self.request.length - 1)
        return range(self.request.offset // size, last // size + 1)


@dataclass(slots=True, eq=False)
class RegionalVolume:
    """One volume of two regions, as this head sees it."""

    settings: VolumeSettings
    regions: VolumeRegionSettings
    view: RegionView
    catch_up: CatchUp
    copies: Copies
    locks: RangeLocks = field(default_factory=RangeLocks)
    works: dict[int, Work] = field(default_factory=dict)  # clients' changes begun here and not over
    relayed: dict[ClientRequest, None] = field(default_factory=dict)  # on to the holder, without an answer
    handing_over: bool = False
    copy_session: object = None  # the newest connection of the holder; older ones are not listened to
    wish: str = ""
    recent_requests: float = 0.0  # requests, the older the less
    index: int = 0  # of the volume's key at the witness, as last read or written

    @property
    def name(self) -> str:
        """Return the volume's name."""
        return self.settings.name
