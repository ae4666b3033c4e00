"""Registry of models, by name."""

from __future__ import annotations

from harriertrack.lab.interleaving.machines import Model
from harriertrack.lab.interleaving.models.changes import ChangesModel
from harriertrack.lab.interleaving.models.closing import ClosingModel
from harriertrack.lab.interleaving.models.leases import LeaseModel
from harriertrack.lab.interleaving.models.rollouts import RolloutModel
from harriertrack.lab.interleaving.models.sweeps import SweepModel
from harriertrack.lab.interleaving.models.terms import TermModel
from harriertrack.lab.interleaving.models.weights import WeightModel
from harriertrack.lab.interleaving.models.zones import ZoneModel

MODELS: dict[str, Model] = {
    one.name: one
    for one in (
        LeaseModel(), LeaseModel(silent=True), TermModel(), TermModel(cut=True), ZoneModel(),
        ZoneModel(left=True), ChangesModel(), ChangesModel(writes=1), ClosingModel(), ClosingModel(cut="b"),
        SweepModel(), RolloutModel(), WeightModel(), WeightModel("abc"),
    )
}  # fmt: skip
