"""The settings of a head and of a storage node stand-in, checked before anything starts.

Fields ending in `_us` are durations in microseconds, `_bytes` sizes in bytes. Rates are units a second for a
volume over all heads; a unit is `unit_bytes` of payload.
"""

from harriertrack.config.settings.basis import (
    Amount,
    BlockSize,
    Checked,
    Name,
    Port,
    Positive,
    Share,
    Whole,
    given_twice,
)
from harriertrack.config.settings.checks import check_head
from harriertrack.config.settings.fleet import (
    BudgetFigures,
    BudgetSettings,
    BudgetsSettings,
    BudgetUse,
    ChangesSettings,
    ClosingSettings,
    FleetFigures,
    FleetSeedSettings,
    FleetSettings,
    ZonesSettings,
)
from harriertrack.config.settings.head import Digest, HeadSettings, LimitSettings, NvmeSettings, RuleSettings
from harriertrack.config.settings.module import module_settings, request_rules
from harriertrack.config.settings.nodes import (
    ConsulSettings,
    EntranceSettings,
    ListServiceSettings,
    NodeListSettings,
    NodeSettings,
)
from harriertrack.config.settings.reading import load, load_list_service, load_nodes, parse, read_file
from harriertrack.config.settings.scoring import ParameterSettings, ScorerSettings, ScoringSettings
from harriertrack.config.settings.shelf import Service, ShelfSettings
from harriertrack.config.settings.traffic import (
    ClassSettings,
    PlanSettings,
    RegionSettings,
    VolumeRegionSettings,
    VolumeSettings,
)
from harriertrack.decisions.splitting import Kind

__all__ = [
    "Amount",
    "BlockSize",
    "BudgetFigures",
    "BudgetSettings",
    "BudgetUse",
    "ChangesSettings",
    "BudgetsSettings",
    "Checked",
    "ClassSettings",
    "ClosingSettings",
    "ConsulSettings",
    "Digest",
    "EntranceSettings",
    "FleetFigures",
    "FleetSeedSettings",
    "FleetSettings",
    "HeadSettings",
    "Kind",
    "LimitSettings",
    "ListServiceSettings",
    "Name",
    "NodeListSettings",
    "NodeSettings",
    "NvmeSettings",
    "ParameterSettings",
    "PlanSettings",
    "Port",
    "Positive",
    "RegionSettings",
    "RuleSettings",
    "ScorerSettings",
    "ScoringSettings",
    "Service",
    "Share",
    "ShelfSettings",
    "VolumeRegionSettings",
    "VolumeSettings",
    "Whole",
    "ZonesSettings",
    "check_head",
    "given_twice",
    "load",
    "load_list_service",
    "load_nodes",
    "module_settings",
    "parse",
    "read_file",
    "request_rules",
]
