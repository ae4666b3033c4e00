"""Objects of a head that only its fleet services use, in addition to `HeadParts`."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from harriertrack.config.settings import HeadSettings
from harriertrack.decisions.epochs import Epochs
from harriertrack.gateway.listing import Listing
from harriertrack.storage.extents import ExtentMap

if TYPE_CHECKING:
    from harriertrack.decisions.fleet.zones.evidence import Evidence
    from harriertrack.gateway.fleet.rollout.carrier import UsageReader
    from harriertrack.gateway.fleet.rollout.program_user import Handover
    from harriertrack.gateway.fleet.scoring.carrier import ScoringState
    from harriertrack.gateway.regional import Regional
    from harriertrack.runtime.datagrams import DatagramNetwork
    from harriertrack.storage.changes import ChangesCache


@dataclass(frozen=True, slots=True)
class HeadResources:
    """Those of one head; None where the head has none."""

    listing: Listing
    extents: ExtentMap
    epochs: Epochs
    regional: Regional | None  # only heads with volumes of two regions
    reconfigure: Callable[[HeadSettings], None]  # applies other settings to the head at once
    close_links: Callable[[str, int], None]  # closes a number of links to a node
    evidence: Evidence | None = None  # observations of zones
    scoring_state: ScoringState | None = None
    datagrams: DatagramNetwork | None = None  # None: UDP sockets
    changes_cache: ChangesCache | None = None  # cache of the record of changes; None: a file
    handover: Handover | None = None  # to the launcher, which started the head and starts other versions
    usage: UsageReader | None = None  # of its process; None: several heads share the process
