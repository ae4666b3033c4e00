"""A fleet of processes: `harriertrack head` and `harriertrack shelf` started, struck and ended by their ids.

Every process has its own address, state folder and log. Datagrams between heads pass a relay, and so do the
streams from each head to each node and to the list: each pair can be cut. Clients are the rig's own.
"""

from harriertrack.lab.fleet.processes.children import FleetProcessError
from harriertrack.lab.fleet.processes.fleet import (
    RESUME_ALLOWANCE_US,
    Interrupted,
    ProcessFleet,
    check_for_processes,
    play_processes,
)
from harriertrack.lab.fleet.processes.places import LoopbackAddresses

__all__ = ["RESUME_ALLOWANCE_US", "FleetProcessError", "Interrupted", "LoopbackAddresses", "ProcessFleet",
           "check_for_processes", "play_processes"]  # fmt: skip
