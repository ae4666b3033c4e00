"""Fleet days with processes: `harriertrack head` and `harriertrack shelf`, controlled by process id.

Every process has its own address, state folder and log. Datagrams between heads pass through a relay, and so
do the streams from each head to each node and to the list service, so that each pair can be cut. Clients run
in the rig's process.
"""

from harriertrack.lab.fleet.processes.children import FleetProcessError
from harriertrack.lab.fleet.processes.fleet import (
    RESUME_ALLOWANCE_US,
    Interrupted,
    ProcessFleet,
    check_for_processes,
    play_processes,
)
from harriertrack.lab.fleet.processes.loopback_addresses import LoopbackAddresses

__all__ = ["RESUME_ALLOWANCE_US", "FleetProcessError", "Interrupted", "LoopbackAddresses", "ProcessFleet",
           "check_for_processes", "play_processes"]  # fmt: skip
