"""Operators whose word may be refused, and who repeat it while nobody answers them."""

from __future__ import annotations

from collections.abc import Callable

from harriertrack.decisions.fleet.changes.operations import ChangeRefused
from harriertrack.decisions.fleet.changes.version_state import IllegalTransition
from harriertrack.gateway.witness import FAILURES
from harriertrack.lab.fleet.scenario import StepSettings
from harriertrack.runtime.hub import Hub

AGAIN_US = 300_000

Act = Callable[[bool], None]  # `again`: the last time may have been heard, and its answer lost


def insist(hub: Hub, step: StepSettings, act: Act) -> None:
    """Do what an operator does; unless the step says `perhaps` whatever fails is raised."""
    if not step.perhaps:
        act(False)
        return
    until, again = hub.now() + step.within_us, False
    while True:
        try:
            act(again)
            return
        except (ChangeRefused, IllegalTransition):
            return
        except FAILURES:
            if hub.now() >= until:
                return
        again = True
        hub.sleep(AGAIN_US)
