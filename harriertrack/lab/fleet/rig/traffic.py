"""The day of clients and nodes that runs below a fleet day."""

from __future__ import annotations

from harriertrack.lab.day import DaySettings
from harriertrack.lab.fleet import markets, regions
from harriertrack.lab.fleet.scenario import ZONES, FleetDaySettings

VOLUME_BYTES = 64 << 20
FOREVER_US = 24 * 3600 * 1_000_000
TRIM_US = 2_500_000  # trims after closes are no more urgent than writes


def day_of(day: FleetDaySettings, heads: int) -> DaySettings:
    """Return the day of clients and nodes that runs below a fleet day."""
    extra_volumes = regions.two_region_volumes(day.moving, heads, VOLUME_BYTES) if day.regions else []
    if day.closing is not None:
        extra_volumes += markets.volumes(day.markets, heads, day.hosts, day.shelves, day.extent_bytes,
                                         day.desks, day.regions)  # fmt: skip
    return DaySettings(
        name=day.name, about=day.about, length_us=FOREVER_US, heads=heads, nodes=day.shelves,
        zones=ZONES, rate=day.rate * heads, volumes=day.volumes or heads, shared=day.shared,
        hosts=day.hosts, beside=tuple(extra_volumes), volume_bytes=VOLUME_BYTES,
        extent_bytes=day.extent_bytes,
        request_us=300, unit_us=day.unit_us, move_deadline_us=TRIM_US if day.closing is not None else 400_000,
        cores=4, queue=256, limit=day.limit, limit_burst=day.limit_burst, limit_slack=day.limit_slack,
    )  # fmt: skip
