"""Two regions on a fleet's day: heads in pairs, one in each region, which share volumes of two regions.

Even heads and nodes are in region `a`, odd ones in `b`. The heads of a pair reach each other through relays
of streams that the day's weather moves, as it does their datagrams.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from harriertrack.config.settings import RegionSettings, VolumeRegionSettings, VolumeSettings
from harriertrack.lab.rig import REGIONS

if TYPE_CHECKING:
    from harriertrack.lab.fleet.rig import FleetRig

SPLIT = len(REGIONS)
PLANS = ("basic", "priority", "standard")  # the least reserved first: by order of names nothing comes right


def region_of(name: str) -> str:
    """Return the region of a head or node, by its number."""
    return REGIONS[int(name.removeprefix("head").removeprefix("node")) % SPLIT]


def partner_of(name: str) -> str:
    """Return the head in the other region that has the same volumes of two regions."""
    number = int(name.removeprefix("head"))
    return f"head{number - number % SPLIT + (number + 1) % SPLIT}"


def pairs(heads: int) -> int:
    """Return how many pairs there are; a head without a partner has no such volumes."""
    return heads // SPLIT


def across_regions(volume: VolumeSettings, pair: int) -> VolumeSettings:
    """Return a pair's volume as one of two regions; homes take turns."""
    return msgspec.structs.replace(volume, regions=VolumeRegionSettings(home=REGIONS[pair % SPLIT]))


def two_region_volumes(number: int, heads: int, size_bytes: int) -> list[VolumeSettings]:
    """Return so many volumes of two regions for each pair, of all plans, whose homes are region `a`."""
    home = VolumeRegionSettings(home=REGIONS[0])
    return [
        VolumeSettings(name=f"moving{one}-{pair}", size_bytes=size_bytes, plan=PLANS[one % len(PLANS)],
                       regions=home)
        for pair in range(pairs(heads)) for one in range(number)
    ]  # fmt: skip


def serves(volume: VolumeSettings, at: int, number: int, heads: int) -> bool:
    """Whether a head has a volume, the `at`th of the day."""
    if volume.regions is not None:
        return number // SPLIT == int(volume.name.rpartition("-")[2]) and number // SPLIT < pairs(heads)
    return (number - at) % heads < volume.hosts


def settings_of(rig: FleetRig, name: str, witness: tuple[str, int]) -> RegionSettings:
    """Return what a head is told of its region."""
    here = region_of(name)
    other = REGIONS[1 - REGIONS.index(here)]
    peer = rig.streams.link(name, partner_of(name), rig.scope).address
    return RegionSettings(name=here, other=other, peer=peer, witness=witness)


def set_partner_address(rig: FleetRig, name: str, address: tuple[str, int]) -> None:
    """Let a head's partner find it at an address."""
    rig.streams.route(partner_of(name), name, address, rig.scope)
