"""`harriertrack region`: what operators see of volumes of two regions, and where they wish them."""

from __future__ import annotations

from collections.abc import Callable

import click

from harriertrack.cli.common import fail, load_settings
from harriertrack.config.settings import HeadSettings, RegionSettings, VolumeSettings
from harriertrack.gateway.witness import FAILURES, WitnessClient
from harriertrack.membership.leases import Lock, VolumeRecord
from harriertrack.runtime.hub import Hub
from harriertrack.runtime.streams import SocketNetwork

REQUEST_TIMEOUT_US = 5_000_000
settings_option = click.option(
    "--settings", "path", required=True, type=click.Path(), help="A head's settings."
)


@click.group()
def region() -> None:
    """Volumes of two regions: who holds them, and where they are wished."""


def _ask(path: str, use: Callable[[WitnessClient, HeadSettings, RegionSettings], None]) -> None:
    settings = load_settings(path, HeadSettings)
    if settings.region is None:
        fail(f"{path}:1: region: not set; this head's volumes are of one region")
    hub = Hub()
    witness = WitnessClient(hub, SocketNetwork(hub), settings.region.witness, REQUEST_TIMEOUT_US, "operator")
    try:
        hub.run(use, witness, settings, settings.region)
    except FAILURES as error:
        host, port = settings.region.witness
        fail(f"witness {host}:{port}: {error or 'no answer in time'}")


def _spread(settings: HeadSettings) -> list[VolumeSettings]:
    return [volume for volume in settings.volumes if volume.regions is not None]


def _told(volume: VolumeSettings, lock: Lock | None, wish: str) -> str:
    if lock is None:
        return f"{volume.name:16} the witness knows nothing of it yet"
    held = f"held, epoch {lock.epoch}" if lock.session else f"free since epoch {lock.epoch}"
    behind = "" if len(lock.record.in_sync) > 1 else " (ONE COPY)"
    wished = f", wished in {wish}" if wish else ""
    in_sync = f"in sync: {' '.join(lock.record.in_sync)}{behind}"
    return f"{volume.name:16} home {lock.record.home}, {held}, {in_sync}{wished}"


@region.command()
@settings_option
def status(path: str) -> None:
    """Tell of each volume whether it is held, and which regions hold all that was acknowledged."""

    def use(witness: WitnessClient, settings: HeadSettings, _region: RegionSettings) -> None:
        for volume in _spread(settings):
            click.echo(_told(volume, witness.lock(volume.name), witness.wish(volume.name)))

    _ask(path, use)


@region.command()
@click.argument("volume")
@click.option("--to", "target", default="", help="The region; without it the volume may go home again.")
@settings_option
def move(path: str, volume: str, target: str) -> None:
    """Wish VOLUME into a region: its holder hands it over once both regions are in sync."""

    def use(witness: WitnessClient, settings: HeadSettings, here: RegionSettings) -> None:
        if volume not in {one.name for one in _spread(settings)}:
            fail(f"{path}:1: volume {volume}: not a volume of two regions")
        if target not in ("", here.name, here.other):
            fail(f"--to {target}: the regions are {here.name} and {here.other}")
        witness.set_wish(volume, target)
        click.echo(f"{volume}: wished {'in ' + target if target else 'at home'}")

    _ask(path, use)


@region.command()
@click.argument("name")
@click.option("--yes", is_flag=True, help="You know that what only the fenced region holds is lost.")
@settings_option
def fence(path: str, name: str, yes: bool) -> None:
    """Give region NAME up.

    Volumes that only it holds may be taken by the other, WITHOUT what it did not copy.
    """

    def use(witness: WitnessClient, settings: HeadSettings, here: RegionSettings) -> None:
        if name not in (here.name, here.other):
            fail(f"{name}: the regions are {here.name} and {here.other}")
        other = here.other if name == here.name else here.name
        for volume in _spread(settings):
            lock = witness.lock(volume.name)
            if lock is None or other in lock.record.in_sync:
                click.echo(f"{volume.name}: {other} holds all that was acknowledged; nothing to do")
            elif lock.session:
                click.echo(f"{volume.name}: still held; its lease must end first")
            elif not yes:
                click.echo(f"{volume.name}: would be taken by {other} without what it misses; say --yes")
            else:
                session = witness.create_session(REQUEST_TIMEOUT_US * 2)
                standing = VolumeRecord(lock.record.home, (other,))
                index = witness.acquire_lock(volume.name, session, standing, lock.index)
                if not index or not witness.release_lock(volume.name, session, standing, index):
                    fail(f"{volume.name}: somebody took it meanwhile")
                click.echo(f"{volume.name}: {other} may take it")

    _ask(path, use)
