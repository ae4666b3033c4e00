"""`harriertrack region`: the state of volumes that are replicated in two regions, moves and fencing."""

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
    "--settings", "settings_path", required=True, type=click.Path(), help="A head's settings."
)


@click.group()
def region() -> None:
    """Show, move and fence volumes that are replicated in two regions."""


def _run_with_witness(
    settings_path: str, action: Callable[[WitnessClient, HeadSettings, RegionSettings], None]
) -> None:
    settings = load_settings(settings_path, HeadSettings)
    if settings.region is None:
        fail(f"{settings_path}:1: region: not set; this head's volumes are in one region only")
    hub = Hub()
    witness = WitnessClient(hub, SocketNetwork(hub), settings.region.witness, REQUEST_TIMEOUT_US, "operator")
    try:
        hub.run(action, witness, settings, settings.region)
    except FAILURES as error:
        host, port = settings.region.witness
        fail(f"witness {host}:{port}: {error or 'no answer in time'}")


def _replicated_volumes(settings: HeadSettings) -> list[VolumeSettings]:
    return [volume for volume in settings.volumes if volume.regions is not None]


def _format_status(volume: VolumeSettings, lock: Lock | None, requested_region: str) -> str:
    if lock is None:
        return f"{volume.name:16} the witness knows nothing of it yet"
    holder = f"held, epoch {lock.epoch}" if lock.session else f"free since epoch {lock.epoch}"
    one_copy = "" if len(lock.record.in_sync) > 1 else " (ONE COPY)"
    request = f", wished in {requested_region}" if requested_region else ""
    in_sync = f"in sync: {' '.join(lock.record.in_sync)}{one_copy}"
    return f"{volume.name:16} home {lock.record.home}, {holder}, {in_sync}{request}"


@region.command()
@settings_option
def status(settings_path: str) -> None:
    """Show whether each volume is held, and which regions have all acknowledged writes."""

    def action(witness: WitnessClient, settings: HeadSettings, _region: RegionSettings) -> None:
        for volume in _replicated_volumes(settings):
            click.echo(_format_status(volume, witness.lock(volume.name), witness.wish(volume.name)))

    _run_with_witness(settings_path, action)


@region.command()
@click.argument("volume")
@click.option(
    "--to", "target", default="", help="The region; without it the volume may return to its home region."
)
@settings_option
def move(settings_path: str, volume: str, target: str) -> None:
    """Request that VOLUME move to a region: its holder hands it over once both regions are in sync."""

    def action(witness: WitnessClient, settings: HeadSettings, here: RegionSettings) -> None:
        if volume not in {entry.name for entry in _replicated_volumes(settings)}:
            fail(f"{settings_path}:1: volume {volume}: not replicated in two regions")
        if target not in ("", here.name, here.other):
            fail(f"--to {target}: the regions are {here.name} and {here.other}")
        witness.set_wish(volume, target)
        click.echo(f"{volume}: wished {'in ' + target if target else 'at home'}")

    _run_with_witness(settings_path, action)


@region.command()
@click.argument("name")
@click.option("--yes", is_flag=True, help="Accept the loss of writes that only the fenced region has.")
@settings_option
def fence(settings_path: str, name: str, yes: bool) -> None:
    """Fence region NAME off.

    The other region may then acquire volumes that only NAME has in sync, WITHOUT the writes not copied yet.
    """

    def action(witness: WitnessClient, settings: HeadSettings, here: RegionSettings) -> None:
        if name not in (here.name, here.other):
            fail(f"{name}: the regions are {here.name} and {here.other}")
        other = here.other if name == here.name else here.name
        for volume in _replicated_volumes(settings):
            lock = witness.lock(volume.name)
            if lock is None or other in lock.record.in_sync:
                click.echo(f"{volume.name}: {other} holds all that was acknowledged; nothing to do")
            elif lock.session:
                click.echo(f"{volume.name}: still held; its lease must end first")
            elif not yes:
                click.echo(f"{volume.name}: would be taken by {other} without what it misses; say --yes")
            else:
                session = witness.create_session(REQUEST_TIMEOUT_US * 2)
                record = VolumeRecord(lock.record.home, (other,))
                index = witness.acquire_lock(volume.name, session, record, lock.index)
                if not index or not witness.release_lock(volume.name, session, record, index):
                    fail(f"{volume.name}: its lock was acquired by another session in the meantime")
                click.echo(f"{volume.name}: {other} may take it")

    _run_with_witness(settings_path, action)
