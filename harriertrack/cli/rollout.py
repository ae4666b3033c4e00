"""`harriertrack fleet rollout`: what rollouts in progress wait for; and the wiring of heads of a fleet."""

from __future__ import annotations

import os
from collections.abc import Callable
from dataclasses import replace
from functools import partial

import click

from harriertrack.cli.common import fail
from harriertrack.cli.head_status import address_option, fetch_document, resolve_head_address, settings_option
from harriertrack.gateway.fleet.locks import DECISION_LOCK
from harriertrack.gateway.fleet.rollout.launcher.files import LauncherConnection, connect_to_launcher
from harriertrack.gateway.fleet.rollout.usage import read_usage
from harriertrack.gateway.head import Head, Wiring
from harriertrack.runtime.datagrams import DatagramNetwork, SocketDatagrams
from harriertrack.runtime.hub import Hub

CRASH_EXIT_STATUS = 3  # the exit status of a version whose crash is rehearsed


def fleet_head_wiring(
    hub: Hub, later: bool, liar: bool, rehearse: str
) -> tuple[Wiring, Callable[[Hub, Head], None]]:
    """Return the wiring of a head of a fleet, and the function that runs the head.

    `rehearse` is the option's text: a fault that the head simulates.
    """
    launcher = connect_to_launcher(dict(os.environ))
    wiring, crash_us, mute = Wiring(handover=launcher, usage=read_usage), 0, False
    if later or liar:
        wiring = replace(wiring, datagrams=_datagrams(hub, later, liar))
    if rehearse:
        from harriertrack.lab.fleet.rehearsal import WorseLinks, rehearsal_of  # only rehearsals need it

        try:
            rehearsal = rehearsal_of(rehearse)
        except ValueError as error:
            fail(f"--rehearse: {error}")
        crash_us, mute = rehearsal.crash_us, rehearsal.mute
        if rehearsal.class_name:
            wiring = replace(wiring, links=partial(WorseLinks, rehearsal=rehearsal))
    return wiring, partial(_serve, None if mute else launcher, crash_us)


def _datagrams(hub: Hub, later: bool, liar: bool) -> DatagramNetwork:
    from harriertrack.lab.fleet.later import LaterDatagrams  # only rehearsals need it
    from harriertrack.lab.fleet.weights import LyingDatagrams

    datagrams: DatagramNetwork = SocketDatagrams(hub)
    datagrams = LaterDatagrams(datagrams) if later else datagrams
    return LyingDatagrams(datagrams) if liar else datagrams


def _serve(launcher: LauncherConnection | None, crash_us: int, hub: Hub, head: Head) -> None:
    """Run a head, and notify the launcher once it serves (a task); exit after `crash_us` unless 0."""

    def notify_launcher() -> None:
        head.ready.wait()
        if launcher is not None:
            launcher.report_ready()

    with hub.scope("launched") as scope:
        scope.spawn("ready", notify_launcher)
        if crash_us:
            hub.at(hub.now() + crash_us, lambda: os._exit(CRASH_EXIT_STATUS))
        head.run()
        scope.cancel()


@click.command("rollout")
@settings_option
@address_option
def rollout(settings_path: str | None, head_address: str | None) -> None:
    """Show what the rollouts in progress wait for, as the decider reports it; other heads name the
    decider.
    """
    _, document = fetch_document(resolve_head_address(settings_path, head_address))
    if document.rollouts is not None:
        click.echo("\n".join(document.rollouts) or "nothing is under way")
        return
    locks = document.budgets.seats if document.budgets is not None else []
    decider = next((lock.keeper for lock in locks if lock.ledger == DECISION_LOCK and lock.keeper), "")
    fail(
        f"{document.name} is not the decider" + (f"; use --at {decider}" if decider else " and knows of none")
    )
