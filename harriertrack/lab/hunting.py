"""Hunts for the worst day on all cores; what to try next is decided by `decisions/fault_search.py`."""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor

import msgspec

from harriertrack.config.settings import Name, NonNegativeInt, PositiveInt, SettingsStruct, read_file
from harriertrack.config.sexp import SettingsError, bind
from harriertrack.decisions.fault_search import Candidate, FaultSearch, Outcome, SearchSpace
from harriertrack.lab import day as days
from harriertrack.lab.day import DaySettings, TroubleKind, TroubleSettings
from harriertrack.lab.experiments import Job, VariantSettings, run_here
from harriertrack.lab.model import VolumeExhausted

# What the size of a kind means differs: a factor, milliseconds, a share of answers, tries.
SIZES = {
    "answer_lost": (0.05, 0.6),
    "balancer_stall": (50.0, 600.0),
    "hot_key": (2.0, 12.0),
    "neighbour": (1.5, 6.0),
    "pauses": (20.0, 400.0),
    "retry_abuse": (2.0, 8.0),
    "scan": (2.0, 8.0),
    "slow": (1.5, 10.0),
    "tenant_burst": (1.5, 8.0),
}
OF_TWO_REGIONS = ("region_dark", "region_cut", "link_slow", "link_block", "link_flap", "witness_down")


class HuntSettings(SettingsStruct, frozen=True, kw_only=True):
    """A hunt: the day whose machines and load it uses, and how far it goes."""

    name: Name
    day: str
    runs: PositiveInt = 64
    most_troubles: PositiveInt = 3
    seed: NonNegativeInt = 1
    kinds: tuple[TroubleKind, ...] = ()  # none: all that fit the day
    variant: VariantSettings = VariantSettings(name="now")


def load_hunt(path: str) -> HuntSettings:
    """Read and check a hunt. Raises SettingsError."""
    hunt = bind(read_file(path), HuntSettings, path)
    days.load(hunt.day)
    return hunt


def space_of(hunt: HuntSettings, day: DaySettings) -> SearchSpace:
    """Return what the hunt may draw."""
    kinds = [one.value for one in hunt.kinds or TroubleKind]
    if day.two_regions is None:
        kinds = [kind for kind in kinds if kind not in OF_TWO_REGIONS]
    if not kinds:
        raise SettingsError(f"{hunt.name}: kinds: none of them fits the day {hunt.day}")
    return SearchSpace(tuple(kinds), day.length_us, hunt.most_troubles, day.heads, day.nodes, SIZES)


def candidate_day(day: DaySettings, candidate: Candidate) -> DaySettings:
    """Return the day of a candidate."""
    troubles = tuple(
        TroubleSettings(name=TroubleKind(one.kind), from_us=one.start_us, for_us=one.duration_us,
                        part=one.part, size=one.size, every_us=max(100_000, one.duration_us // 6))
        for one in candidate.faults
    )  # fmt: skip
    return msgspec.structs.replace(
        day, name="hunted", troubles=troubles, rate=day.rate * candidate.load,
        heads=candidate.heads or day.heads, nodes=candidate.nodes or day.nodes,
    )  # fmt: skip


def format_day(day: DaySettings, candidate: Candidate) -> str:
    """Return a candidate as a day's S-expression, to be kept as a file."""
    base = candidate_day(day, candidate)
    lines = [f'(day "hunted"\n  (about "Found by a hunt on {day.name}.")',
             f"  (length {base.length_us}us) (heads {base.heads}) (nodes {base.nodes}) "
             f"(volumes {base.volumes}) (rate {base.rate:.3f})"]  # fmt: skip
    for one in base.troubles:
        lines.append(f"  (trouble {one.name.value} (from {one.from_us}us) (for {one.for_us}us) "
                     f"(part {one.part}) (size {one.size}) (every {one.every_us}us))")  # fmt: skip
    return "\n".join(lines) + ")\n"


def _play(variant: VariantSettings, day: DaySettings, seed: int) -> Outcome:
    try:
        scores = run_here(Job(variant, day, seed))
    except VolumeExhausted:
        return Outcome(0.0)  # no day to be found: its volumes have not the places that it asks for
    return Outcome(round(1 - scores.share, 6), tuple(sorted(int(rule) for rule in scores.broken)))


def run_hunt(settings: HuntSettings, workers: int, told: Callable[[FaultSearch], None]) -> FaultSearch:
    """Run a hunt to its end; `told` hears of each lot."""
    day = days.load(settings.day)
    hunt = FaultSearch(space_of(settings, day), settings.seed, settings.runs)
    with ProcessPoolExecutor(max_workers=workers) as pool:
        while lot := hunt.next_batch():
            running = [
                (number, pool.submit(_play, settings.variant, candidate_day(day, candidate), settings.seed))
                for number, candidate in lot
            ]
            for number, future in running:
                hunt.record_outcome(number, future.result())
            told(hunt)
    return hunt
