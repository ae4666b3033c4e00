"""`harriertrack fleet rollout`: what versions under way wait for; and what heads of a fleet are made of."""

from __future__ import annotations

import os
from collections.abc import Callable
from dataclasses import replace
from functools import partial

import click

from harriertrack.cli.common import fail
from harriertrack.cli.head_status import address_option, fetch_document, resolve_head_address, settings_option
from harriertrack.gateway.fleet.locks import DECISION_LOCK
from harriertrack.gateway.fleet.rollout.launcher.files import Launched, launched
from harriertrack.gateway.fleet.rollout.usage import usage
from harriertrack.gateway.head import Head, Wiring
from harriertrack.runtime.datagrams import DatagramNetwork, SocketDatagrams
from harriertrack.runtime.hub import Hub

CRASH_EXIT_STATUS = 3  # the status with which a rehearsed version ends


def fleet_head_wiring(
    hub: Hub, later: bool, liar: bool, rehearse: str
) -> tuple[Wiring, Callable[[Hub, Head], None]]:
    """Return what a head of a fleet is made of, and its task."""
    by = launched(dict(os.environ))
    wiring, crash_us, mute = Wiring(handover=by, usage=usage), 0, False
    if later or liar:
        wiring = replace(wiring, datagrams=_datagrams(hub, later, liar))
    if rehearse:
        from harriertrack.lab.fleet.rehearsal import WorseLinks, rehearsal_of  # others do not load it

        try:
            bad = rehearsal_of(rehearse)
        except ValueError as error:
            fail(f"--rehearse: {error}")
        crash_us, mute = bad.crash_us, bad.mute
        if bad.class_name:
            wiring = replace(wiring, links=partial(WorseLinks, rehearsal=bad))
    return wiring, partial(_serve, None if mute else by, crash_us)


def _datagrams(hub: Hub, later: bool, liar: bool) -> DatagramNetwork:
    from harriertrack.lab.fleet.later import LaterDatagrams  # heads that are no rehearsal do not load it
    from harriertrack.lab.fleet.weights import LyingDatagrams

    datagrams: DatagramNetwork = SocketDatagrams(hub)
    datagrams = LaterDatagrams(datagrams) if later else datagrams
    return LyingDatagrams(datagrams) if liar else datagrams


def _serve(by: Launched | None, crash_us: int, hub: Hub, one: Head) -> None:
    """Run a head, and tell the launcher once it serves (a task)."""

    def tell() -> None:
        one.ready.wait()
        if by is not None:
            by.ready()

    with hub.scope("launched") as scope:
        scope.spawn("ready", tell)
        if crash_us:
            hub.at(hub.now() + crash_us, lambda: os._exit(CRASH_EXIT_STATUS))
        one.run()
        scope.cancel()


@click.command("rollout")
@settings_option
@address_option
def rollout(path: str | None, place: str | None) -> None:
    """Tell what versions under way wait for, as the head that decides sees it; others say who that is."""
    _, document = fetch_document(resolve_head_address(path, place))
    if document.rollouts is not None:
        click.echo("\n".join(document.rollouts) or "nothing is under way")
        return
    seats = document.budgets.seats if document.budgets is not None else []
    keeper = next((seat.keeper for seat in seats if seat.ledger == DECISION_LOCK and seat.keeper), "")
    fail(f"{document.name} does not decide" + (f"; ask --at {keeper}" if keeper else ", nor knows who does"))
