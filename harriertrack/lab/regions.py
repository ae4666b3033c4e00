"""A rig of two regions, `a` and `b`: in each one head, nodes and a list service; between them links; a
witness outside.

Everything that crosses passes a link stand-in: the heads' connections to each other, and each head's to the
witness.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from harriertrack.config.settings import RegionSettings
from harriertrack.decisions.regions import Mode
from harriertrack.lab.day import TroubleKind, TroubleSettings
from harriertrack.lab.load import RegisterClient
from harriertrack.lab.model import SECTOR
from harriertrack.lab.rig import REGIONS, REGISTERS, HeadSlot, Rig
from harriertrack.lab.troubles import trouble
from harriertrack.standin.link import Direction, Link
from harriertrack.standin.list_service import ListService
from harriertrack.standin.node_server import NodeServer
from harriertrack.standin.witness import Witness

WITNESS_DELAY_US = 3_000


class RegionRig(Rig):
    """Two regions and what lies between."""

    def __init__(self, *args: Any, **more: Any) -> None:
        super().__init__(*args, **more)
        assert self.day.two_regions is not None
        spread = self.spread = self.day.two_regions
        self.listings = {region: self.new_list_service() for region in REGIONS}
        self.witness = Witness(self.hub, self.network, spread.clock_rate)
        self.directions = {
            (one, other): Direction(spread.delay_us, spread.jitter_us)
            for one, other in (("a", "b"), ("b", "a"))
        }
        self.links: dict[str, Link] = {}  # by the region that calls
        self.to_witness: dict[str, Link] = {}
        self.slots: dict[str, HeadSlot] = {}

    def build(self) -> None:
        """Start the machines of both regions."""
        hub, network, day, spread = self.hub, self.network, self.day, self.spread
        self.witness.start(self.scope)
        nowhere = ("127.0.0.1", 1)
        for region, other in (("a", "b"), ("b", "a")):
            self.listings[region].start(self.scope)
            there, back = self.directions[region, other], self.directions[other, region]
            self.links[region] = Link(hub, network, nowhere, there, back, self.random.getrandbits(32))
            quick = Direction(WITNESS_DELAY_US), Direction(WITNESS_DELAY_US)
            self.to_witness[region] = Link(hub, network, self.witness.address, *quick)
            self.links[region].start(self.scope)
            self.to_witness[region].start(self.scope)
        for at, region in enumerate(REGIONS):
            for number in range(day.nodes):
                self.add_node(f"{region}{number}", at * day.nodes + number, zone=region)
            settings = RegionSettings(
                name=region,
                other=REGIONS[1 - at],
                peer=self.links[region].address,
                witness=self.to_witness[region].address,
                ttl_us=spread.ttl_us,
                clock_error=spread.clock_error,
            )
            slot = self.add_head(f"head-{region}", region, self.volumes, self.listings[region], settings)
            self.slots[region] = slot
            self.start_head(slot)

    def add_flows(self) -> None:
        """Start the clients: of each volume, most ask at its home."""
        super().add_flows()
        for flow, volume in zip(self.flows, self.volumes, strict=True):
            assert volume.regions is not None
            flow.preferred_connection = REGIONS.index(volume.regions.home)

    def add_registers(self, until: int) -> None:
        """On each volume, a client in each region writes and reads the same few blocks."""
        number = 0
        for flow, volume in zip(self.flows, self.volumes, strict=True):
            if self.spread.mode is Mode.HOME:
                return  # a dark home may lose what it acknowledged last: there is no such promise
            end = volume.size_bytes // SECTOR
            blocks = range(end - REGISTERS, end - REGISTERS // 2)
            for connection in flow.connections:
                number += 1
                client = RegisterClient(
                    self.hub, self.recorder, connection, blocks, number, self.random.getrandbits(32)
                )
                self.scope.spawn(f"register {number}", client.run, until)

    def start_head(self, slot: HeadSlot) -> None:
        """Start a head, and let the other region's link lead to it."""
        super().start_head(slot)
        assert slot.head is not None
        other = REGIONS[1 - REGIONS.index(slot.zone)]
        self.links[other].set_target(slot.head.address)

    def list_service_of(self, shelf: NodeServer) -> ListService:
        """Return the list service of a node's region."""
        return self.listings[shelf.settings.zone]

    def set_list_down(self, down: bool) -> None:
        """Let both regions' list services turn every call away, or answer again."""
        for listing in self.listings.values():
            listing.down = down

    def volumes_in_sync(self) -> bool:
        """Whether every volume is held, with both regions in sync."""
        heads = [slot.head for slot in self.slots.values() if slot.head is not None]
        layers = [head.regional for head in heads if head.regional is not None]
        return all(
            any(
                layer.holding.epoch(volume.name, self.hub.now())
                and len(layer.volumes[volume.name].view.in_sync) == len(REGIONS)
                for layer in layers
            )
            for volume in self.volumes
        )

    def cut(self, region: str, cut: bool) -> None:
        """Cut a region off from the other and from the witness, or end that."""
        for link in (*self.links.values(), self.to_witness[region]):
            link.set_cut(cut)


def _regional(act: Callable[[RegionRig, TroubleSettings], None]) -> Callable[[Rig, TroubleSettings], None]:
    def checked(rig: Rig, settings: TroubleSettings) -> None:
        assert isinstance(rig, RegionRig), "this trouble needs (two-regions ...)"
        act(rig, settings)

    checked.__doc__ = act.__doc__
    return checked


@trouble(TroubleKind.REGION_DARK)
@_regional
def region_dark(rig: RegionRig, settings: TroubleSettings) -> None:
    """A whole region goes dark: head, nodes and links; it comes back cold, with what was on disk."""
    region = settings.region
    slot = rig.slots[region]
    rig.cut(region, True)
    rig.kill_head(slot)
    dark = [shelf for shelf in rig.nodes.values() if shelf.settings.zone == region and shelf.up]
    for shelf in dark:
        shelf.stop(silent=True)
    rig.hub.sleep(settings.for_us)
    for shelf in dark:
        rig.restart_node(shelf)
    rig.cut(region, False)
    rig.start_head(slot)


@trouble(TroubleKind.REGION_CUT)
@_regional
def region_cut(rig: RegionRig, settings: TroubleSettings) -> None:
    """A region is cut off from the other and from the witness, and goes on by itself."""
    rig.cut(settings.region, True)
    rig.hub.sleep(settings.for_us)
    rig.cut(settings.region, False)


@trouble(TroubleKind.LINK_SLOW)
@_regional
def link_slow(rig: RegionRig, settings: TroubleSettings) -> None:
    """The link between the regions takes `size` milliseconds each way."""
    before = {way: way_.delay_us for way, way_ in rig.directions.items()}
    for way in rig.directions.values():
        way.delay_us = int(settings.size * 1000)
    rig.hub.sleep(settings.for_us)
    for name, delay in before.items():
        rig.directions[name].delay_us = delay


@trouble(TroubleKind.LINK_BLOCK)
@_regional
def link_block(rig: RegionRig, settings: TroubleSettings) -> None:
    """The link makes no progress, though its connections stay.

    Both ways, or only `there` (from a) or `back`.
    """
    names = {"there": [("a", "b")], "back": [("b", "a")]}.get(settings.how, list(rig.directions))
    for name in names:
        rig.directions[name].blocked = True
    rig.hub.sleep(settings.for_us)
    for name in names:
        rig.directions[name].blocked = False
    for link in rig.links.values():
        link.notify_changed()


@trouble(TroubleKind.LINK_FLAP)
@_regional
def link_flap(rig: RegionRig, settings: TroubleSettings) -> None:
    """The link between the regions breaks and comes back, again and again."""
    until = rig.hub.now() + settings.for_us
    while rig.hub.now() < until:
        for cut in (True, False):
            for link in rig.links.values():
                link.set_cut(cut)
            rig.hub.sleep(settings.every_us // 2)


@trouble(TroubleKind.WITNESS_DOWN)
@_regional
def witness_down(rig: RegionRig, settings: TroubleSettings) -> None:
    """The witness turns every call away."""
    rig.witness.down = True
    rig.hub.sleep(settings.for_us)
    rig.witness.down = False
