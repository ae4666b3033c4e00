"""Operators whose commands may be refused, and who repeat them while the witness does not answer."""

from __future__ import annotations

from collections.abc import Callable

from harriertrack.decisions.fleet.changes.operations import ChangeRefused
from harriertrack.decisions.fleet.changes.version_state import IllegalTransition
from harriertrack.gateway.witness import FAILURES
from harriertrack.lab.fleet.scenario import StepSettings
from harriertrack.runtime.hub import Hub

RETRY_US = 300_000

Act = Callable[[bool], None]  # `is_retry`: an earlier attempt may have been applied, and its answer lost


def retry_unanswered(hub: Hub, step: StepSettings, act: Act) -> None:
    """Run an operator's command; unless the step says `perhaps`, any failure is raised."""
    if not step.perhaps:
        act(False)
        return
    deadline_us, is_retry = hub.now() + step.within_us, False
    while True:
        try:
            act(is_retry)
            return
        except (ChangeRefused, IllegalTransition):
            return
        except FAILURES:
            if hub.now() >= deadline_us:
                return
        is_retry = True
        hub.sleep(RETRY_US)
