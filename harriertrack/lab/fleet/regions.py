"""Two regions on a fleet's day: heads in pairs, one in each region, which share volumes of two regions.

Even heads and nodes are in region `a`, odd ones in `b`. The heads of a pair reach each other through relays
of streams that the day's weather moves, as it does their datagrams.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from harriertrack.config.settings import RegionSettings, VolumeRegionSettings, VolumeSettings
from harriertrack.lab.rig import REGIONS
from harriertrack.standin.link import Direction, Link

if TYPE_CHECKING:
    from harriertrack.lab.fleet.rig import FleetRig

SPLIT = len(REGIONS)


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


def spread(volume: VolumeSettings, pair: int) -> VolumeSettings:
    """Return a pair's volume as one of two regions; homes take turns."""
    return msgspec.structs.replace(volume, regions=VolumeRegionSettings(home=REGIONS[pair % SPLIT]))


def serves(volume: VolumeSettings, at: int, number: int, heads: int) -> bool:
    """Whether a head has a volume, the `at`th of the day."""
    if volume.regions is not None:
        return number // SPLIT == int(volume.name.rpartition("-")[2]) and number // SPLIT < pairs(heads)
    return (number - at) % heads < volume.hosts


class Between:
    """The relays of streams between the heads of pairs."""

    def __init__(self, rig: FleetRig) -> None:
        self._rig = rig

    def settings_of(self, name: str, witness: tuple[str, int]) -> RegionSettings:
        """Return what a head is told of its region."""
        here = region_of(name)
        other = REGIONS[1 - REGIONS.index(here)]
        return RegionSettings(name=here, other=other, peer=self.link(name, partner_of(name)).address,
                              witness=witness)  # fmt: skip

    def link(self, name: str, party: str) -> Link:
        """Return the relay from a head to a party; one that is new leads nowhere yet."""
        rig, key = self._rig, (name, party)
        if key not in rig.links:
            link = Link(rig.hub, rig.network, ("127.0.0.1", 1), Direction(delay_us=0), Direction(delay_us=0))
            link.start(rig.scope)
            rig.links[key] = link
        return rig.links[key]
