"""A fleet under faults: real heads with clients, storage nodes and a list, and what happens to them.

The same steps play in simulated time (here, the heads on one virtual hub) and over processes
(`lab/fleet/processes`). What heads tell of their views, and what clients and nodes saw, is recorded; the
rules are judged from the recording alone.
"""

from harriertrack.lab.fleet.rig.fleet import LAUNCH, LOOK_US, SEEDS, FleetRig
from harriertrack.lab.fleet.rig.simulated import SimulatedFleet, simulate

__all__ = ["LAUNCH", "LOOK_US", "SEEDS", "FleetRig", "SimulatedFleet", "simulate"]
