"""Heads that run below launchers, which replace their programs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from harriertrack.config.formatting import format_settings
from harriertrack.config.rollout import LaunchSettings
from harriertrack.lab.fleet.processes.timeouts import READY_US
from harriertrack.lab.fleet.rig import LAUNCH
from harriertrack.lab.rig import HeadSlot
from harriertrack.rules import recording as rec

if TYPE_CHECKING:
    from harriertrack.lab.fleet.processes.fleet import ProcessFleet


def start(rig: ProcessFleet, slot: HeadSlot) -> None:
    """Start a head below a launcher."""
    name, path = slot.name, rig.path(f"{slot.name}.launch.sexp")
    settings = LaunchSettings(
        name=name, head=str(rig.path(f"{name}.sexp")), state=str(rig.path(f"{name}.launch")),
        arguments=("--log", "json"), ready_us=READY_US, prove_us=LAUNCH.prove_us,
        drain_us=LAUNCH.drain_us,
    )  # fmt: skip
    path.write_text(format_settings("launch", settings))
    rig.start_process(name, ["launch", str(path)], group=True)


def handle_log_line(rig: ProcessFleet, slot: HeadSlot, event: str, line: dict[str, object]) -> None:
    """Record what a launcher does with its head, from a line of the launcher's log."""
    now, record = rig.hub.now(), rig.recorder.add
    if event == "launch: head is to end" and not line["at_once"]:
        record(rec.HeadHandover(t=now, head=slot.name, away=True, version=int(str(line["next"]))))
        rig.record_lifecycle(slot, "leaving")
        for connection in slot.connections:
            connection.address = None
    elif event == "launch: head ended":
        if not line["asked"]:
            rig.record_lifecycle(slot, "killed")
        record(rec.HeadLifecycle(t=now, head=slot.name, number=0, up=False))
    elif event == "launch: head starts" and slot.name not in rig.views.alive:
        rig.record_lifecycle(slot, "started")
    elif event == "launch: head serves":
        record(rec.HeadHandover(t=now, head=slot.name, away=False, version=int(str(line["version"]))))
        for connection in slot.connections:
            connection.address = rig.client_address(slot)
