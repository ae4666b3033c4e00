"""A head's state of each volume of two regions, and of each open request on one."""

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
    """A client's request at the holder, or a copy at the other head, until all its operations are done."""

    layer: Regional
    volume: RegionalVolume
    request: ClientRequest
    epoch: int
    copy: bool = False  # a copy of the holder's write, done in this region
    number: int = 0
    range_lock: RangeLock | None = None
    timer: Timer | None = None
    inner: ClientRequest | None = None
    close_overlap: CloseOverlap = CloseOverlap.NONE  # with a close that took effect after it started here
    data: bytes | None = None  # read back after a write whose effect is unknown

    def answer(self, inner: ClientRequest) -> None:
        """Handle the core's answer."""
        self.layer.core_answered(self, inner)

    @property
    def extents(self) -> range:
        """Return the extents that the request touches."""
        size = self.layer.extent_bytes
        last = max(self.request.offset, self.request.offset + self.request.length - 1)
        return range(self.request.offset // size, last // size + 1)


@dataclass(slots=True, eq=False)
class RegionalVolume:
    """One volume of two regions, with this head's view of it."""

    settings: VolumeSettings
    regions: VolumeRegionSettings
    view: RegionView
    catch_up: CatchUp
    copies: Copies
    locks: RangeLocks = field(default_factory=RangeLocks)
    works: dict[int, Work] = field(default_factory=dict)  # clients' changes started here and not finished
    relayed: dict[ClientRequest, None] = field(default_factory=dict)  # sent to the holder, not answered yet
    handing_over: bool = False
    copy_session: object = None  # the holder's newest connection; older ones are ignored
    wish: str = ""  # the region that operators requested
    recent_requests: float = 0.0  # an exponentially decaying count
    index: int = 0  # of the volume's key at the witness, as last read or written

    @property
    def name(self) -> str:
        """Return the volume's name."""
        return self.settings.name
