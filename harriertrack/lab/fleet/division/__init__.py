"""Heads reduced to dividing budgets, to check the rules under faults and to measure how much is served.

Time advances in steps; every head has a clock with its own rate. Messages between heads and the use of
budgets are recorded for rules/budgets.py. Demand is in units; a head serves what its portion allows, and
rejects units that waited for longer than a limit, as a module does with requests past their aim.
"""

from harriertrack.lab.fleet.division.division import Division
from harriertrack.lab.fleet.division.members import Parts
from harriertrack.lab.fleet.division.trial import Trial
from harriertrack.lab.fleet.division.witness import WitnessModel

__all__ = ["Division", "Parts", "Trial", "WitnessModel"]
