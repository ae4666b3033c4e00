"""Two regions on a fleet's day: heads in pairs, one in each region, which share two-region volumes.

Even heads and nodes are in region `a`, odd ones in `b`. The heads of a pair reach each other through stream
relays, to which the day's network faults apply as they do to datagrams.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from harriertrack.config.settings import RegionSettings, VolumeRegionSettings, VolumeSettings
from harriertrack.lab.rig import REGIONS

if TYPE_CHECKING:
    from harriertrack.lab.fleet.rig import FleetRig

REGION_COUNT = len(REGIONS)
# Lowest reservation first, so that sorting by name gives a wrong order.
PLANS = ("basic", "priority", "standard")


def region_of(name: str) -> str:
    """Return the region of a head or node, by its number."""
    return REGIONS[int(name.removeprefix("head").removeprefix("node")) % REGION_COUNT]


def partner_of(name: str) -> str:
    """Return the head in the other region that serves the same two-region volumes."""
    number = int(name.removeprefix("head"))
    return f"head{number - number % REGION_COUNT + (number + 1) % REGION_COUNT}"


def pairs(heads: int) -> int:
    """Return the number of pairs; a head without a partner has no two-region volumes."""
    return heads // REGION_COUNT


def across_regions(volume: VolumeSettings, pair: int) -> VolumeSettings:
    """Return a pair's volume as a two-region volume; home regions alternate between pairs."""
    return msgspec.structs.replace(volume, regions=VolumeRegionSettings(home=REGIONS[pair % REGION_COUNT]))


def two_region_volumes(number: int, heads: int, size_bytes: int) -> list[VolumeSettings]:
    """Return `number` two-region volumes for each pair, of all plans, with their home in region `a`."""
    home = VolumeRegionSettings(home=REGIONS[0])
    return [
        VolumeSettings(name=f"moving{index}-{pair}", size_bytes=size_bytes, plan=PLANS[index % len(PLANS)],
                       regions=home)
        for pair in range(pairs(heads)) for index in range(number)
    ]  # fmt: skip


def serves(volume: VolumeSettings, at: int, number: int, heads: int) -> bool:
    """Whether head `number` serves a volume, which is number `at` among the day's volumes."""
    if volume.regions is not None:
        return number // REGION_COUNT == int(
            volume.name.rpartition("-")[2]
        ) and number // REGION_COUNT < pairs(heads)
    return (number - at) % heads < volume.hosts


def settings_of(rig: FleetRig, name: str, witness: tuple[str, int]) -> RegionSettings:
    """Return the region settings of a head."""
    own = region_of(name)
    other = REGIONS[1 - REGIONS.index(own)]
    peer = rig.streams.link(name, partner_of(name), rig.scope).address
    return RegionSettings(name=own, other=other, peer=peer, witness=witness)


def set_partner_address(rig: FleetRig, name: str, address: tuple[str, int]) -> None:
    """Point the relay from a head's partner to the head's address."""
    rig.streams.route(partner_of(name), name, address, rig.scope)
