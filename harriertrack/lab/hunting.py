"""Searches for the worst faults of a day on all cores; `decisions/fault_search.py` chooses the candidates."""

from __future__ import annotations

from collections.abc import Callable
from concurrent.futures import ProcessPoolExecutor

import msgspec

from harriertrack.config.settings import Name, NonNegativeInt, PositiveInt, SettingsStruct, read_file
from harriertrack.config.sexp import SettingsError, bind
from harriertrack.decisions.fault_search import Candidate, FaultSearch, Outcome, SearchSpace
from harriertrack.lab import day as days
from harriertrack.lab.day import DaySettings, TroubleKind, TroubleSettings
from harriertrack.lab.experiments import Job, VariantSettings, play_in_process
from harriertrack.lab.model import VolumeExhausted

# The range of sizes to draw for each kind of fault: a factor, milliseconds, a share of answers, or tries.
SIZE_RANGES = {
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
TWO_REGION_KINDS = ("region_dark", "region_cut", "link_slow", "link_block", "link_flap", "witness_down")


class HuntSettings(SettingsStruct, frozen=True, kw_only=True):
    """A hunt, i.e. a search for harmful faults: the day whose machines and load it uses, and its limits."""

    name: Name
    day: str
    runs: PositiveInt = 64
    most_troubles: PositiveInt = 3
    seed: NonNegativeInt = 1
    kinds: tuple[TroubleKind, ...] = ()  # empty: all that are possible on the day
    variant: VariantSettings = VariantSettings(name="now")


def load_hunt(path: str) -> HuntSettings:
    """Read and validate a hunt. Raises SettingsError."""
    hunt = bind(read_file(path), HuntSettings, path)
    days.load(hunt.day)
    return hunt


def search_space(hunt: HuntSettings, day: DaySettings) -> SearchSpace:
    """Return the search space of a hunt. Raises SettingsError if no kind of fault is possible on the day."""
    kinds = [kind.value for kind in hunt.kinds or TroubleKind]
    if day.two_regions is None:
        kinds = [kind for kind in kinds if kind not in TWO_REGION_KINDS]
    if not kinds:
        raise SettingsError(f"{hunt.name}: kinds: none of them fits the day {hunt.day}")
    return SearchSpace(tuple(kinds), day.length_us, hunt.most_troubles, day.heads, day.nodes, SIZE_RANGES)


def candidate_day(day: DaySettings, candidate: Candidate) -> DaySettings:
    """Return the day with a candidate's faults, load and sizes."""
    troubles = tuple(
        TroubleSettings(name=TroubleKind(fault.kind), from_us=fault.start_us, for_us=fault.duration_us,
                        part=fault.part, size=fault.size, every_us=max(100_000, fault.duration_us // 6))
        for fault in candidate.faults
    )  # fmt: skip
    return msgspec.structs.replace(
        day, name="hunted", troubles=troubles, rate=day.rate * candidate.load,
        heads=candidate.heads or day.heads, nodes=candidate.nodes or day.nodes,
    )  # fmt: skip


def format_day(day: DaySettings, candidate: Candidate) -> str:
    """Return a candidate as the S-expression of a day, to be saved as a file."""
    worst = candidate_day(day, candidate)
    lines = [f'(day "hunted"\n  (about "Found by a hunt on {day.name}.")',
             f"  (length {worst.length_us}us) (heads {worst.heads}) (nodes {worst.nodes}) "
             f"(volumes {worst.volumes}) (rate {worst.rate:.3f})"]  # fmt: skip
    for trouble in worst.troubles:
        lines.append(f"  (trouble {trouble.name.value} (from {trouble.from_us}us) (for {trouble.for_us}us) "
                     f"(part {trouble.part}) (size {trouble.size}) "
                     f"(every {trouble.every_us}us))")  # fmt: skip
    return "\n".join(lines) + ")\n"


def _play_candidate(variant: VariantSettings, day: DaySettings, seed: int) -> Outcome:
    try:
        scores = play_in_process(Job(variant, day, seed))
    except VolumeExhausted:
        return Outcome(0.0)  # not a valid day: its volumes have too few distinct extents
    return Outcome(round(1 - scores.share, 6), tuple(sorted(int(rule) for rule in scores.broken)))


def run_hunt(settings: HuntSettings, workers: int, on_batch: Callable[[FaultSearch], None]) -> FaultSearch:
    """Run a hunt to its end; `on_batch` is called after each batch of candidates."""
    day = days.load(settings.day)
    search = FaultSearch(search_space(settings, day), settings.seed, settings.runs)
    with ProcessPoolExecutor(max_workers=workers) as pool:
        while batch := search.next_batch():
            futures = [
                (number, pool.submit(_play_candidate, settings.variant, candidate_day(day, candidate),
                                     settings.seed))
                for number, candidate in batch
            ]  # fmt: skip
            for number, future in futures:
                search.record_outcome(number, future.result())
            on_batch(search)
    return search
