"""Runs storms and checks them against the rules; shrinks those that fail and writes them as a day."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

import msgspec

from harriertrack.config.formatting import format_settings
from harriertrack.config.sexp import SettingsError
from harriertrack.lab.fleet import scenario
from harriertrack.lab.fleet.rig import SimulatedFleet, simulate
from harriertrack.lab.fleet.scenario import FleetDaySettings
from harriertrack.lab.fleet.storm.shrinking import ProgressCallback, Shrinker
from harriertrack.rules import recording as rec
from harriertrack.rules.all_rules import check_all
from harriertrack.rules.breach import Breach
from harriertrack.runtime.hub import Hub
from harriertrack.runtime.memory_streams import MemoryNetwork

SEED = 1  # of every run: the default of `fleet day FILE`, which thus repeats it
ERROR_SUBJECT = "play"  # of a breach for an exception that ended the run; the error's name follows

Rules = frozenset[tuple[str, int]]  # by subject and number
Play = Callable[[FleetDaySettings, rec.Recorder], object]


def check(day: FleetDaySettings) -> None:
    """Run the checks of reading a day and of creating its heads. Raises SettingsError."""
    scenario.check(day, day.name)
    hub = Hub.virtual(0)
    rig = SimulatedFleet(hub, MemoryNetwork(hub), day, day.processes, SEED, rec.Recorder())
    for number in (0, day.processes - 1):  # the heads with the most and the fewest volumes
        rig.add_numbered_head(number)


def play_simulated(day: FleetDaySettings, recorder: rec.Recorder) -> object:
    """Run a day in simulated time."""
    return simulate(day, day.processes, SEED, recorder)


@dataclass(frozen=True, slots=True)
class Verdict:
    """The result of a run."""

    breaches: dict[str, list[Breach]]
    length_us: int  # of the recording, from the first head's start
    requests: int

    @property
    def broken_rules(self) -> Rules:
        """Return which rules were broken."""
        return frozenset((what, one.rule) for what, found in self.breaches.items() for one in found)


def play_and_judge(day: FleetDaySettings, play: Play = play_simulated) -> Verdict:
    """Run a day and check it; an exception that ends the run is a breach of its own."""
    recorder = rec.Recorder()
    errors: list[Breach] = []
    try:
        play(day, recorder)
    except SettingsError:
        raise
    except Exception as error:  # any failure of the program is what storms look for
        errors = [Breach(0, _end(recorder.records), type(error).__name__, str(error))]
    records = recorder.records
    breaches = {f"{ERROR_SUBJECT}: {errors[0].who}": errors} if errors else check_all(records, day.detect_us)
    request_count = sum(isinstance(one, rec.RequestSent) for one in records)
    started_us = min((one.t for one in records if isinstance(one, rec.MemberLifecycle)), default=0)
    return Verdict(breaches, _end(records) - started_us, request_count)


def _end(records: list[rec.Record]) -> int:
    return max((one.t for one in records if not isinstance(one, rec.Facts)), default=0)


def shrink(day: FleetDaySettings, broken_rules: Rules, tries: int, play: Play = play_simulated,
           on_progress: ProgressCallback = lambda _day, _remaining: None) -> FleetDaySettings:  # fmt: skip
    """Return the smallest day found that breaks one of the same rules, in at most `tries` runs."""

    def fails(smaller: FleetDaySettings) -> bool:
        try:
            check(smaller)
            return bool(play_and_judge(smaller, play).broken_rules & broken_rules)
        except SettingsError:
            return False

    return Shrinker(day, fails, tries, on_progress).run()


def write(day: FleetDaySettings, path: Path, breaches: dict[str, list[Breach]]) -> None:
    """Write a failing day to a file for `harriertrack fleet day`; its `about` lists the breaches."""
    summaries = [f"{what}: {one}" for what, found in breaches.items() for one in found[:1]]
    described = msgspec.structs.replace(day, about="; ".join(summaries).replace("\n", " ")[:400])
    path.write_text(format_settings("fleet-day", described) + "\n")
