"""Rigs that run a fleet day: heads with clients, storage nodes, the list service and the day's faults.

The same steps run in simulated time (here, all heads on one virtual hub) and with processes
(`lab/fleet/processes`). What heads log of their views, and what clients and nodes observe, is recorded; the
rules judge the recording alone.
"""

from harriertrack.lab.fleet.rig.fleet import LAUNCH, POLL_US, SEEDS, FleetRig
from harriertrack.lab.fleet.rig.simulated import SimulatedFleet, simulate

__all__ = ["LAUNCH", "POLL_US", "SEEDS", "FleetRig", "SimulatedFleet", "simulate"]
