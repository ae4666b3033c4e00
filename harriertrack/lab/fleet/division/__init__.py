"""Heads that divide budgets, without the rest of a head: what holds under any faults, and what is served.

Time moves in steps; every head has a clock of its own rate, and all that passes between heads or arrives
where a budget counts is recorded for rules/budgets.py. Demand is in units; a head serves what its portion
lets it, and turns away what waited past its patience, as a module does with requests past their aim.
"""

from harriertrack.lab.fleet.division.division import Division
from harriertrack.lab.fleet.division.members import Parts
from harriertrack.lab.fleet.division.trial import Trial
from harriertrack.lab.fleet.division.witness import WitnessModel

__all__ = ["Division", "Parts", "Trial", "WitnessModel"]
