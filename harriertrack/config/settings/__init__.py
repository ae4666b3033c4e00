"""The settings of a head and of a storage node stand-in, checked before anything starts.

Fields ending in `_us` are durations in microseconds, fields ending in `_bytes` are sizes in bytes. Rates are
units per second of one volume, over all heads; a unit is `unit_bytes` of payload.
"""

from harriertrack.config.settings.basis import (
    BlockSize,
    Name,
    NonNegativeFloat,
    NonNegativeInt,
    Port,
    PositiveInt,
    SettingsStruct,
    Share,
    find_duplicates,
)
from harriertrack.config.settings.checks import check_head
from harriertrack.config.settings.fleet import (
    BudgetName,
    BudgetParameters,
    BudgetSettings,
    ChangesSettings,
    ClosingSettings,
    FleetBudgetSettings,
    FleetParameters,
    FleetSeedSettings,
    FleetSettings,
    RolloutSettings,
    ZonesSettings,
)
from harriertrack.config.settings.head import Digest, HeadSettings, LimitSettings, NvmeSettings, RuleSettings
from harriertrack.config.settings.module import module_settings, request_rules
from harriertrack.config.settings.node_stand_in import NodeStandInSettings, ServiceTimeDistribution
from harriertrack.config.settings.nodes import (
    ConsulSettings,
    ListEndpointSettings,
    ListServiceSettings,
    NodeListSettings,
    NodeSettings,
)
from harriertrack.config.settings.reading import load, load_list_service, load_nodes, parse, read_file
from harriertrack.config.settings.scoring import ParameterSettings, ScorerSettings, ScoringSettings
from harriertrack.config.settings.traffic import (
    ClassSettings,
    PlanSettings,
    RegionSettings,
    VolumeRegionSettings,
    VolumeSettings,
)
from harriertrack.decisions.splitting import Kind

__all__ = [
    "NonNegativeFloat",
    "BlockSize",
    "BudgetParameters",
    "BudgetSettings",
    "BudgetName",
    "ChangesSettings",
    "FleetBudgetSettings",
    "SettingsStruct",
    "ClassSettings",
    "ClosingSettings",
    "ConsulSettings",
    "Digest",
    "ListEndpointSettings",
    "FleetParameters",
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
    "PositiveInt",
    "RegionSettings",
    "RolloutSettings",
    "RuleSettings",
    "ScorerSettings",
    "ScoringSettings",
    "ServiceTimeDistribution",
    "Share",
    "NodeStandInSettings",
    "VolumeRegionSettings",
    "VolumeSettings",
    "NonNegativeInt",
    "ZonesSettings",
    "check_head",
    "find_duplicates",
    "load",
    "load_list_service",
    "load_nodes",
    "module_settings",
    "parse",
    "read_file",
    "request_rules",
]
