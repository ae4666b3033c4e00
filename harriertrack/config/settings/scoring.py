"""How heads score storage nodes and share the weights."""

from __future__ import annotations

from typing import Annotated

import msgspec

from harriertrack.config.settings.basis import Checked, Name, Positive, Whole


class ParameterSettings(Checked, frozen=True, kw_only=True):
    """One parameter of a scorer."""

    name: Name
    value: float


class ScorerSettings(Checked, frozen=True, kw_only=True):
    """A scorer that heads run; which there are is told by `harriertrack fleet scorers`."""

    name: Name
    kind: str = ""  # empty: as it is named
    version: Positive = 1
    parameters: tuple[ParameterSettings, ...] = ()


class ScoringSettings(Checked, frozen=True, kw_only=True):
    """How heads score nodes and share weights; decisions/fleet/scoring/rules.py tells what each figure is."""

    scorers: Annotated[tuple[ScorerSettings, ...], msgspec.Meta(max_length=2)] = ()
    alone: bool = False  # each head goes by what it sees itself
    tell_us: Whole = 0  # weights are logged so often; 0: never
    look_us: Positive = 500_000
    slow_us: Positive = 50_000
    hung_looks: Positive = 6
    suspend_us: Positive = 30_000_000
    most_suspend_us: Positive = 1_800_000_000
    forgive_us: Positive = 600_000_000
    rate: Annotated[float, msgspec.Meta(gt=0, le=4)] = 0.5
    evidence: Annotated[float, msgspec.Meta(ge=1, le=1000)] = 4.0
    full: Annotated[float, msgspec.Meta(ge=1, le=255)] = 40.0
    stale_us: Positive = 15_000_000
    reporters: Annotated[int, msgspec.Meta(ge=5, le=1024)] = 32
    turn_us: Positive = 60_000_000
    say_us: Positive = 1_000_000
    say_bytes: Annotated[float, msgspec.Meta(ge=32, le=10_000)] = 120.0
    again_us: Positive = 5_000_000
    least_gain: Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.0625
    calm_us: Positive = 8_000_000
