"""How heads score storage nodes and share their weights."""

from __future__ import annotations

from typing import Annotated

import msgspec

from harriertrack.config.settings.basis import Name, NonNegativeInt, PositiveInt, SettingsStruct


class ParameterSettings(SettingsStruct, frozen=True, kw_only=True):
    """One parameter of a scorer."""

    name: Name
    value: float


class ScorerSettings(SettingsStruct, frozen=True, kw_only=True):
    """A scorer that heads run; `harriertrack fleet scorers` lists those available."""

    name: Name
    kind: str = ""  # empty: the same as the name
    version: PositiveInt = 1
    parameters: tuple[ParameterSettings, ...] = ()


class ScoringSettings(SettingsStruct, frozen=True, kw_only=True):
    """How heads score nodes and share weights; decisions/fleet/scoring/rules.py describes each parameter."""

    scorers: Annotated[tuple[ScorerSettings, ...], msgspec.Meta(max_length=2)] = ()
    alone: bool = False  # each head uses only its own observations
    tell_us: NonNegativeInt = 0  # interval of logging the weights; 0: never
    look_us: PositiveInt = 500_000
    slow_us: PositiveInt = 50_000
    hung_looks: PositiveInt = 6
    suspend_us: PositiveInt = 30_000_000
    most_suspend_us: PositiveInt = 1_800_000_000
    forgive_us: PositiveInt = 600_000_000
    rate: Annotated[float, msgspec.Meta(gt=0, le=4)] = 0.5
    evidence: Annotated[float, msgspec.Meta(ge=1, le=1000)] = 2.0
    full: Annotated[float, msgspec.Meta(ge=1, le=255)] = 40.0
    stale_us: PositiveInt = 20_000_000
    reporters: Annotated[int, msgspec.Meta(ge=5, le=1024)] = 32
    turn_us: PositiveInt = 60_000_000
    say_us: PositiveInt = 1_000_000
    say_bytes: Annotated[float, msgspec.Meta(ge=32, le=10_000)] = 120.0
    again_us: PositiveInt = 5_000_000
    least_gain: Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.0625
    calm_us: PositiveInt = 8_000_000
