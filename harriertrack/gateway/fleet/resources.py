"""What of a head the parts of its fleet work on, beside what all its parts know."""

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
    from harriertrack.gateway.fleet.rollout.carrier import Usage
    from harriertrack.gateway.fleet.rollout.program_user import Handover
    from harriertrack.gateway.fleet.scoring.carrier import Scored
    from harriertrack.gateway.regional import Regional
    from harriertrack.runtime.datagrams import DatagramNetwork
    from harriertrack.storage.changes import ChangesCache


@dataclass(frozen=True, slots=True)
class HeadResources:
    """Of one head; what is None it does not have."""

    listing: Listing
    extents: ExtentMap
    epochs: Epochs
    regional: Regional | None  # of heads with volumes of two regions
    reconfigure: Callable[[HeadSettings], None]  # lets the head go by other settings at once
    close_links: Callable[[str, int], None]  # closes so many links to a node
    evidence: Evidence | None = None  # of zones
    scored_choice: Scored | None = None
    datagrams: DatagramNetwork | None = None  # None: sockets
    changes_cache: ChangesCache | None = None  # the copy of the record of changes; None: a file
    handover: Handover | None = None  # what started it, and starts other versions
    usage: Usage | None = None  # what its process uses; None: it can't be told from others'
