"""Storms played: drawn, judged, and where they fail made small and written as a day."""

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
from harriertrack.lab.fleet.storm.shrinking import Shrinker, Told
from harriertrack.rules import recording as rec
from harriertrack.rules.all_rules import check_all
from harriertrack.rules.checker import Breach
from harriertrack.runtime.hub import Hub
from harriertrack.runtime.streams import MemoryNetwork

SEED = 1  # of every play: what `fleet day FILE` plays by itself
FELL = "play"  # the subject, before the error's name, of what ended a play by itself

Rules = frozenset[tuple[str, int]]  # by subject and number
Play = Callable[[FleetDaySettings, rec.Recorder], object]


def check(day: FleetDaySettings) -> None:
    """Check a day as it is checked where it is read and where its heads are made. Raises SettingsError."""
    scenario.check(day, day.name)
    hub = Hub.virtual(0)
    rig = SimulatedFleet(hub, MemoryNetwork(hub), day, day.processes, SEED, rec.Recorder())
    for number in (0, day.processes - 1):  # who has most of the volumes, and who has least
        rig.add_numbered_head(number)


def play_simulated(day: FleetDaySettings, recorder: rec.Recorder) -> object:
    """Play a day in simulated time."""
    return simulate(day, day.processes, SEED, recorder)


@dataclass(frozen=True, slots=True)
class Verdict:
    """What a play showed."""

    breaches: dict[str, list[Breach]]
    length_us: int  # of what was recorded
    requests: int

    @property
    def broken_rules(self) -> Rules:
        """Return which rules were broken."""
        return frozenset((what, one.rule) for what, found in self.breaches.items() for one in found)


def play_and_judge(day: FleetDaySettings, play: Play = play_simulated) -> Verdict:
    """Play a day and judge it; what ends a play by itself is a breach of its own."""
    recorder = rec.Recorder()
    fell: list[Breach] = []
    try:
        play(day, recorder)
    except SettingsError:
        raise
    except Exception as error:  # of whatever part of the program: that is what is looked for
        fell = [Breach(0, _end(recorder.records), type(error).__name__, str(error))]
    records = recorder.records
    found = {f"{FELL}: {fell[0].who}": fell} if fell else check_all(records, day.detect_us)
    took = sum(isinstance(one, rec.RequestSent) for one in records)
    first = min((one.t for one in records if isinstance(one, rec.MemberLifecycle)), default=0)
    return Verdict(found, _end(records) - first, took)


def _end(records: list[rec.Record]) -> int:
    return max((one.t for one in records if not isinstance(one, rec.Facts)), default=0)


def shrink(day: FleetDaySettings, broken: Rules, tries: int, play: Play = play_simulated,
           told: Told = lambda _day, _left: None) -> FleetDaySettings:  # fmt: skip
    """Return the smallest day found that breaks one of the same rules, in so many plays at most."""

    def fails(smaller: FleetDaySettings) -> bool:
        try:
            check(smaller)
            return bool(play_and_judge(smaller, play).broken_rules & broken)
        except SettingsError:
            return False

    return Shrinker(day, fails, tries, told).run()


def write(day: FleetDaySettings, path: Path, breaches: dict[str, list[Breach]]) -> None:
    """Write a day that fails as a file that `harriertrack fleet day` plays; what fails is said in it."""
    first = [f"{what}: {one}" for what, found in breaches.items() for one in found[:1]]
    told = msgspec.structs.replace(day, about="; ".join(first).replace("\n", " ")[:400])
    path.write_text(format_settings("fleet-day", told) + "\n")
