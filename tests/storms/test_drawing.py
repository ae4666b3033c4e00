"""Drawing and shrinking of storms: pure, no day is run."""

from pathlib import Path

import msgspec
import pytest

from harriertrack.config.sexp import SettingsError, read_text
from harriertrack.config.formatting import format_settings
from harriertrack.lab.fleet import scenario
from harriertrack.lab.fleet.scenario import FleetDaySettings, StepSettings, Verb
from harriertrack.lab.fleet.storm import drawing, figures, playing
from harriertrack.lab.fleet.storm.faults import STEP_BUILDERS
from harriertrack.lab.fleet.storm.shrinking import Shrinker, count_scripted_steps

FIGURES = figures.usual()
MINUTE = 60_000_000


def storm(seed, heads=6, length_us=MINUTE, distributions=FIGURES):
    return drawing.draw(seed, heads, length_us, distributions, playing.check)


def test_a_seed_determines_the_storm():
    assert storm(3) == storm(3) != storm(4)


def test_a_storm_round_trips_through_its_file_format():
    for seed in range(4):
        day = storm(seed)
        text = format_settings("fleet-day", day)
        assert scenario.parse(read_text(text, "x"), "x") == day
        playing.check(day)


def test_every_kind_of_fault_is_drawn_and_each_storm_omits_some():
    kinds = [frozenset(step.name for step in storm(seed).steps) for seed in range(40)]
    fault_steps = set().union(*(
        {step.name for step in make(drawing.StormDraw(drawing.random.Random(1), FIGURES, 6))} for make in STEP_BUILDERS.values()
    ))  # fmt: skip
    assert fault_steps <= frozenset().union(*kinds)
    assert all(fault_steps - drawn for drawn in kinds)


def test_the_shortest_storms_have_time_for_all_their_closes():
    days = [storm(seed, 4, 6_000_000) for seed in range(60)]
    close_counts = {len(step.after_us) for day in days for step in day.steps if step.name is Verb.MARKET}
    assert close_counts == {1, 2, 3, 4}


def test_a_storm_ends_without_faults_and_with_all_heads_restarted():
    day = storm(5)
    quiet = next(at for at, step in enumerate(day.steps) if step.name is Verb.QUIET)
    after = [step.name for step in day.steps[quiet:]]
    assert Verb.AGREE in after and Verb.START in after
    assert not {Verb.WEATHER, Verb.STOP, Verb.DARK, Verb.ZONE} & set(after)


def test_steps_and_parts_that_the_check_rejects_are_not_drawn():
    for seed in range(30):
        day = storm(seed)
        assert day.budgets is not None or (day.zones is None and day.changes is None)
    only_zones = msgspec.structs.replace(
        FIGURES, parts=(figures.PartChance(name=figures.Part.ZONES, chance=1),)
    )
    with pytest.raises(drawing.NoStorm, match="needs budgets"):
        storm(1, distributions=only_zones)


@pytest.mark.parametrize(("text", "why"), [
    ('(storms "x" (part budgets (chance 0.5)) (part budgets (chance 0.5)) (kind kill (weight 1)))', "twice"),
    ('(storms "x" (part budgets (chance 0.5)) (kind kill (weight 0)))', "weight"),
    ('(storms "x" (part budgets (chance 0.5)) (kind quake (weight 1)))', "quake"),
    ('(storms "x" (brief 2s 1s) (part budgets (chance 0.5)) (kind kill (weight 1)))', "brief"),
])  # fmt: skip
def test_invalid_distributions_are_reported(text, why):
    with pytest.raises(SettingsError, match=why):
        figures.parse(text, "x.sexp")


def test_the_default_distributions_name_every_kind_once():
    assert {one.name for one in FIGURES.kinds} == set(figures.Kind) == set(STEP_BUILDERS)
    assert (Path(figures.__file__).parent / figures.SOURCE).exists()


# -- shrinking


def shrink(day, fails, tries=500):
    runs = []

    def run(candidate):
        playing.check(candidate)
        runs.append(candidate)
        return fails(candidate)

    def run_if_valid(candidate):
        try:
            return run(candidate)
        except SettingsError:
            return False

    return Shrinker(day, run_if_valid, tries).run(), runs


def test_a_failure_is_shrunk_to_the_two_steps_that_cause_it():
    def fails(day):
        names = [step.name for step in day.steps[: count_scripted_steps(day)]]
        return Verb.DARK in names and Verb.KILL in names[names.index(Verb.DARK) :]

    day = next(one for one in map(storm, range(50)) if fails(one))
    smallest, runs = shrink(day, fails)
    assert [step.name for step in smallest.steps[:2]] == [Verb.DARK, Verb.KILL]
    assert smallest.steps[2:] == day.steps[count_scripted_steps(day) :]  # the quiet period stays
    assert fails(smallest) and smallest.processes == 2 and smallest.zones is None and smallest.scoring is None
    assert smallest.budgets is not None  # the check requires a witness for a DARK step
    assert len(runs) < 300


def test_unneeded_parts_are_removed_and_numbers_reduced():
    day = next(one for one in map(storm, range(50)) if one.zones is not None and one.scoring is not None)

    def fails(one):
        return (
            one.scoring is not None
            and one.processes >= 4
            and sum(step.for_us for step in one.steps) >= 2_000_000
        )

    smallest, _ = shrink(day, fails)
    assert smallest.processes == 4 and smallest.zones is None and smallest.budgets is None
    assert count_scripted_steps(smallest) <= 1


def test_shrinking_respects_its_tries_and_runs_no_day_twice():
    day = storm(2)
    smallest, runs = shrink(day, lambda one: len(one.steps) > 3, 25)
    assert len(runs) <= 25 and len({msgspec.msgpack.encode(one) for one in runs}) == len(runs)
    assert len(smallest.steps) > 3


def test_a_minimal_day_is_not_changed():
    day = FleetDaySettings(
        name="x", processes=2, shelves=1, volumes=0, rate=0.5, steps=(StepSettings(name=Verb.QUIET),)
    )
    smallest, _ = shrink(day, lambda one: any(step.name is Verb.QUIET for step in one.steps))
    assert smallest.steps == day.steps
