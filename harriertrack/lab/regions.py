"""A rig of two regions, `a` and `b`, each with a head, nodes and a list service, and a witness outside both.

All traffic between regions passes link stand-ins: the heads' connections to each other, and each head's
connection to the witness.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from harriertrack.config.settings import RegionSettings
from harriertrack.decisions.regions import Mode
from harriertrack.lab.day import TroubleKind, TroubleSettings
from harriertrack.lab.load import RegisterClient
from harriertrack.lab.model import SECTOR
from harriertrack.lab.rig import REGIONS, REGISTER_SECTORS, HeadSlot, Rig
from harriertrack.lab.troubles import trouble
from harriertrack.standin.link import Direction, Link
from harriertrack.standin.list_service import ListService
from harriertrack.standin.node_server import NodeServer
from harriertrack.standin.witness import Witness

WITNESS_DELAY_US = 3_000


class RegionRig(Rig):
    """A rig of two regions, the links between them, and the witness."""

    def __init__(self, *args: Any, **more: Any) -> None:
        super().__init__(*args, **more)
        assert self.day.two_regions is not None
        settings = self.region_settings = self.day.two_regions
        self.list_services = {region: self.new_list_service() for region in REGIONS}
        self.witness = Witness(self.hub, self.network, settings.clock_rate)
        self.directions = {
            (source, target): Direction(settings.delay_us, settings.jitter_us)
            for source, target in (("a", "b"), ("b", "a"))
        }
        self.links: dict[str, Link] = {}  # by the calling region
        self.witness_links: dict[str, Link] = {}
        self.slots: dict[str, HeadSlot] = {}

    def build(self) -> None:
        """Start the machines of both regions."""
        hub, network, day, two_regions = self.hub, self.network, self.day, self.region_settings
        self.witness.start(self.scope)
        unset_target = ("127.0.0.1", 1)  # until the other region's head has started
        for region, other in (("a", "b"), ("b", "a")):
            self.list_services[region].start(self.scope)
            outward, inward = self.directions[region, other], self.directions[other, region]
            self.links[region] = Link(
                hub, network, unset_target, outward, inward, self.random.getrandbits(32)
            )
            witness_directions = Direction(WITNESS_DELAY_US), Direction(WITNESS_DELAY_US)
            self.witness_links[region] = Link(hub, network, self.witness.address, *witness_directions)
            self.links[region].start(self.scope)
            self.witness_links[region].start(self.scope)
        for index, region in enumerate(REGIONS):
            for number in range(day.nodes):
                self.add_node(f"{region}{number}", index * day.nodes + number, zone=region)
            settings = RegionSettings(
                name=region,
                other=REGIONS[1 - index],
                peer=self.links[region].address,
                witness=self.witness_links[region].address,
                ttl_us=two_regions.ttl_us,
                clock_error=two_regions.clock_error,
            )
            slot = self.add_head(f"head-{region}", region, self.volumes, self.list_services[region], settings)
            self.slots[region] = slot
            self.start_head(slot)

    def add_flows(self) -> None:
        """Start the clients; most requests for a volume go to its home region."""
        super().add_flows()
        for flow, volume in zip(self.flows, self.volumes, strict=True):
            assert volume.regions is not None
            flow.preferred_connection = REGIONS.index(volume.regions.home)

    def start_register_clients(self, until: int) -> None:
        """Start, for each volume, a client in each region; both write and read the same few blocks."""
        number = 0
        for flow, volume in zip(self.flows, self.volumes, strict=True):
            if self.region_settings.mode is Mode.HOME:
                return  # a failed home may lose its last acknowledged writes: no consistency is promised
            end = volume.size_bytes // SECTOR
            blocks = range(end - REGISTER_SECTORS, end - REGISTER_SECTORS // 2)
            for connection in flow.connections:
                number += 1
                client = RegisterClient(
                    self.hub, self.recorder, connection, blocks, number, self.random.getrandbits(32)
                )
                self.scope.spawn(f"register {number}", client.run, until)

    def start_head(self, slot: HeadSlot) -> None:
        """Start a head, and set it as the target of the other region's link."""
        super().start_head(slot)
        assert slot.head is not None
        other = REGIONS[1 - REGIONS.index(slot.zone)]
        self.links[other].set_target(slot.head.address)

    def list_service_of(self, node: NodeServer) -> ListService:
        """Return the list service of a node's region."""
        return self.list_services[node.settings.zone]

    def set_list_down(self, down: bool) -> None:
        """Make both regions' list services refuse every call, or serve calls again."""
        for list_service in self.list_services.values():
            list_service.down = down

    def volumes_in_sync(self) -> bool:
        """Whether each volume has a region that holds it and sees both regions in sync."""
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
        """Cut a region off from the other region and the witness, or reconnect it."""
        for link in (*self.links.values(), self.witness_links[region]):
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
    """A region fails completely: head, nodes and links. It restarts with cold caches and its stored state."""
    region = settings.region
    slot = rig.slots[region]
    rig.cut(region, True)
    rig.kill_head(slot)
    nodes = [node for node in rig.nodes.values() if node.settings.zone == region and node.up]
    for node in nodes:
        node.stop(silent=True)
    rig.hub.sleep(settings.for_us)
    for node in nodes:
        rig.restart_node(node)
    rig.cut(region, False)
    rig.start_head(slot)


@trouble(TroubleKind.REGION_CUT)
@_regional
def region_cut(rig: RegionRig, settings: TroubleSettings) -> None:
    """A region is cut off from the other region and the witness, while its head and nodes keep running."""
    rig.cut(settings.region, True)
    rig.hub.sleep(settings.for_us)
    rig.cut(settings.region, False)


@trouble(TroubleKind.LINK_SLOW)
@_regional
def link_slow(rig: RegionRig, settings: TroubleSettings) -> None:
    """The link between the regions takes `size` milliseconds each way."""
    before = {regions: direction.delay_us for regions, direction in rig.directions.items()}
    for direction in rig.directions.values():
        direction.delay_us = int(settings.size * 1000)
    rig.hub.sleep(settings.for_us)
    for regions, delay_us in before.items():
        rig.directions[regions].delay_us = delay_us


@trouble(TroubleKind.LINK_BLOCK)
@_regional
def link_block(rig: RegionRig, settings: TroubleSettings) -> None:
    """The link carries no data, but its connections stay open.

    `how` selects the direction: `there` (from a to b), `back`, or any other value for both.
    """
    blocked = {"there": [("a", "b")], "back": [("b", "a")]}.get(settings.how, list(rig.directions))
    for regions in blocked:
        rig.directions[regions].blocked = True
    rig.hub.sleep(settings.for_us)
    for regions in blocked:
        rig.directions[regions].blocked = False
    for link in rig.links.values():
        link.notify_changed()


@trouble(TroubleKind.LINK_FLAP)
@_regional
def link_flap(rig: RegionRig, settings: TroubleSettings) -> None:
    """The link between the regions breaks and recovers repeatedly."""
    end = rig.hub.now() + settings.for_us
    while rig.hub.now() < end:
        for cut in (True, False):
            for link in rig.links.values():
                link.set_cut(cut)
            rig.hub.sleep(settings.every_us // 2)


@trouble(TroubleKind.WITNESS_DOWN)
@_regional
def witness_down(rig: RegionRig, settings: TroubleSettings) -> None:
    """The witness refuses every call."""
    rig.witness.down = True
    rig.hub.sleep(settings.for_us)
    rig.witness.down = False
