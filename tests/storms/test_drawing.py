"""Storms as they are drawn and made small: pure, nothing is played."""

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


def storm(seed, heads=6, length_us=MINUTE, told=FIGURES):
    return drawing.draw(seed, heads, length_us, told, playing.check)


def test_one_seed_is_one_storm_and_another_seed_is_another():
    assert storm(3) == storm(3) != storm(4)


def test_a_storm_is_a_day_that_is_read_back_as_it_was_written():
    for seed in range(4):
        day = storm(seed)
        text = format_settings("fleet-day", day)
        assert scenario.parse(read_text(text, "x"), "x") == day
        playing.check(day)


def test_every_kind_of_fault_is_drawn_and_each_storm_does_without_some():
    kinds = [frozenset(step.name for step in storm(seed).steps) for seed in range(40)]
    of_faults = set().union(*(
        {step.name for step in make(drawing.StormDraw(drawing.random.Random(1), FIGURES, 6))} for make in STEP_BUILDERS.values()
    ))  # fmt: skip
    assert of_faults <= frozenset().union(*kinds)
    assert all(of_faults - drawn for drawn in kinds)


def test_the_shortest_storms_have_room_for_their_closes():
    days = [storm(seed, 4, 6_000_000) for seed in range(60)]
    told = {len(step.after_us) for day in days for step in day.steps if step.name is Verb.MARKET}
    assert told == {1, 2, 3, 4}


def test_a_storm_ends_in_quiet_with_all_heads_back():
    day = storm(5)
    quiet = next(at for at, step in enumerate(day.steps) if step.name is Verb.QUIET)
    after = [step.name for step in day.steps[quiet:]]
    assert Verb.AGREE in after and Verb.START in after
    assert not {Verb.WEATHER, Verb.STOP, Verb.DARK, Verb.ZONE} & set(after)


def test_what_the_checks_turn_down_is_not_drawn():
    for seed in range(30):
        day = storm(seed)
        assert day.budgets is not None or (day.zones is None and day.changes is None)
    only_zones = msgspec.structs.replace(
        FIGURES, parts=(figures.PartChance(name=figures.Part.ZONES, chance=1),)
    )
    with pytest.raises(drawing.NoStorm, match="needs budgets"):
        storm(1, told=only_zones)


@pytest.mark.parametrize(("text", "why"), [
    ('(storms "x" (part budgets (chance 0.5)) (part budgets (chance 0.5)) (kind kill (weight 1)))', "twice"),
    ('(storms "x" (part budgets (chance 0.5)) (kind kill (weight 0)))', "weight"),
    ('(storms "x" (part budgets (chance 0.5)) (kind quake (weight 1)))', "quake"),
    ('(storms "x" (brief 2s 1s) (part budgets (chance 0.5)) (kind kill (weight 1)))', "brief"),
])  # fmt: skip
def test_figures_that_can_not_be_are_told(text, why):
    with pytest.raises(SettingsError, match=why):
        figures.parse(text, "x.sexp")


def test_figures_name_what_they_draw_from_once():
    assert {one.name for one in FIGURES.kinds} == set(figures.Kind) == set(STEP_BUILDERS)
    assert (Path(figures.__file__).parent / figures.SOURCE).exists()


# -- shrinking


def shrink(day, fails, tries=500):
    plays = []

    def judge(one):
        playing.check(one)
        plays.append(one)
        return fails(one)

    def safe(one):
        try:
            return judge(one)
        except SettingsError:
            return False

    return Shrinker(day, safe, tries).run(), plays


def test_a_failure_is_shrunk_to_the_two_steps_that_make_it():
    def fails(day):
        names = [step.name for step in day.steps[: count_scripted_steps(day)]]
        return Verb.DARK in names and Verb.KILL in names[names.index(Verb.DARK) :]

    day = next(one for one in map(storm, range(50)) if fails(one))
    least, plays = shrink(day, fails)
    assert [step.name for step in least.steps[:2]] == [Verb.DARK, Verb.KILL]
    assert least.steps[2:] == day.steps[count_scripted_steps(day) :]  # the quiet time stays
    assert fails(least) and least.processes == 2 and least.zones is None and least.scoring is None
    assert least.budgets is not None  # the checks want a witness for it to be dark
    assert len(plays) < 300


def test_parts_that_a_failure_does_not_need_go_and_figures_get_smaller():
    day = next(one for one in map(storm, range(50)) if one.zones is not None and one.scoring is not None)

    def fails(one):
        return (
            one.scoring is not None
            and one.processes >= 4
            and sum(step.for_us for step in one.steps) >= 2_000_000
        )

    least, _ = shrink(day, fails)
    assert least.processes == 4 and least.zones is None and least.budgets is None
    assert count_scripted_steps(least) <= 1


def test_shrinking_keeps_to_its_tries_and_never_asks_twice():
    day = storm(2)
    least, plays = shrink(day, lambda one: len(one.steps) > 3, 25)
    assert len(plays) <= 25 and len({msgspec.msgpack.encode(one) for one in plays}) == len(plays)
    assert len(least.steps) > 3


def test_a_day_that_is_as_small_as_can_be_stays():
    day = FleetDaySettings(
        name="x", processes=2, shelves=1, volumes=0, rate=0.5, steps=(StepSettings(name=Verb.QUIET),)
    )
    least, _ = shrink(day, lambda one: any(step.name is Verb.QUIET for step in one.steps))
    assert least.steps == day.steps
