"""Cells: the rules of a map, plans that follow them, and why no plan exists."""

import random

import pytest
from click.testing import CliRunner
from hypothesis import given, settings, strategies as st

from harriertrack.cli.cells import cells as cells_commands
from harriertrack.config.cells import load_head_cell_map, load_map, read_map, save_map
from harriertrack.config.settings import VolumeSettings
from harriertrack.config.sexp import SettingsError, read_text
from harriertrack.decisions.cells import (
    CellMap,
    CellRules,
    Fleet,
    Rack,
    Tenant,
    compute_change,
    find_infeasibilities,
    find_violations,
    plan_greedily,
    rack_blast_radius,
    single_cell_map,
    tenant_blast_radius,
)
from harriertrack.planning.cells import PlanOutcome, explain, plan, movement_cost
from harriertrack.planning.settings import parse_fleet


def fleet(racks=8, tenants=12, cells=2, seed=1, load=0.4, **rules):
    rng = random.Random(seed)
    made = tuple(
        Rack(f"r{at}", "ab"[at % 2], tuple(f"n{at}-{one}" for one in range(3)), rng.uniform(250, 350))
        for at in range(racks)
    )
    capacity = sum(rack.units for rack in made if rack.region == "a")
    weights = [rng.uniform(1, 3) for _ in range(tenants)]
    those = tuple(
        Tenant(f"t{at}", load * capacity * weight / sum(weights), 0.5 * load * capacity * weight / sum(weights),
               int(weight * (8 << 30)), ("a", "b") if at % 3 else ("ab"[at % 2],))
        for at, weight in enumerate(weights)
    )  # fmt: skip
    return Fleet(made, those, CellRules(cells, **rules))


def test_a_plan_follows_all_rules_and_moves_no_more_than_needed():
    one = fleet()
    first = plan(one, CellMap(0), 20, workers=1)
    assert (
        first.outcome is PlanOutcome.BEST
        and find_violations(one, first.cells) == []
        and first.cells.version == 1
    )
    again = plan(one, first.cells, 20, workers=1)
    assert again.cost == 0 and compute_change(one, first.cells, again.cells).tenants == ()
    for tenant in one.tenants:
        mine = first.cells.nodes_of(one, tenant.name)
        assert 0 < len(mine) < 24
    assert first.cells.nodes_of(one, "unknown") == frozenset()


def test_a_growing_tenant_causes_the_smallest_move():
    """A tenant outgrows its cell: no more moves than what is needed to make space."""
    before = fleet(load=0.55, large=1.0)
    first = plan(before, CellMap(0), 20, workers=1).cells
    grown = max(before.tenants, key=lambda one: one.load)
    tenants = tuple(
        Tenant(one.name, one.load * (3 if one is grown else 1), one.reserve, one.size_bytes, one.regions)
        for one in before.tenants
    )
    after = Fleet(before.racks, tenants, CellRules(2, large=1.0))
    assert find_violations(after, first)
    found = plan(after, first, 20, workers=1)
    assert found.outcome is PlanOutcome.BEST and find_violations(after, found.cells) == []
    assert found.cost == movement_cost(after, first, found.cells) == found.bound
    rivals = [plan_greedily(after, first), plan(after, CellMap(0), 20, workers=1).cells]
    for rival in rivals:
        if not find_violations(after, rival):
            assert found.cost <= movement_cost(after, first, rival)


@given(st.integers(0, 500))
@settings(max_examples=8, deadline=None)
def test_every_plan_is_checked_against_the_rules(seed):
    rng = random.Random(seed)
    one = fleet(rng.randint(6, 12), rng.randint(4, 16), rng.randint(2, 3), seed, rng.uniform(0.2, 0.8))
    found = plan(one, CellMap(0), 5, workers=1)
    if found.cells is not None:
        assert find_violations(one, found.cells) == []
    else:
        assert found.outcome in (PlanOutcome.INFEASIBLE, PlanOutcome.TIMED_OUT) and found.reasons


def broken(one, cells, **changes):
    racks, tenants = dict(cells.racks), dict(cells.tenants)
    racks.update(changes.get("racks", {}))
    tenants.update(changes.get("tenants", {}))
    return " ".join(find_violations(one, CellMap(2, racks, tenants)))


def test_each_broken_rule_is_reported():
    one = fleet(large=0.05)
    cells = plan(one, CellMap(0), 20, workers=1)
    crowded = {tenant.name: "cell0" for tenant in one.tenants}
    good = fleet(load=0.65)
    base = plan(good, CellMap(0), 20, workers=1).cells
    text = broken(good, base, tenants=crowded)
    assert "exceeds 0.7 of" in text and "reserves of" in text and "12 tenants; at most 9 may" in text
    assert "racks, but 2 are needed" in broken(
        good, base, racks={rack.name: "cell0" for rack in good.racks[:7]}
    )
    assert "does not exist" in broken(good, base, tenants={"t0": "cell9"})
    assert "not part of this fleet" in broken(good, base, tenants={"unknown": "cell0"})
    assert "is in no cell" in " ".join(find_violations(good, CellMap(1)))
    assert cells.outcome is PlanOutcome.INFEASIBLE  # every tenant is large there, and there are two cells
    large = fleet(tenants=3, large=0.01)
    everything = single_cell_map(large)
    assert "would share all its nodes" in " ".join(find_violations(large, everything))


def test_an_impossible_plan_reports_its_reasons():
    assert any("capacity in a" in line for line in plan(fleet(load=0.95), CellMap(0)).reasons)
    assert any("blast radius: 12 large tenants" in line for line in find_infeasibilities(fleet(large=0.0)))
    assert any("racks in a: 1" in line for line in find_infeasibilities(fleet(racks=2)))
    assert any("region c" in line for line in find_infeasibilities(
        Fleet(fleet().racks, (Tenant("t", 1, 0, 1, ("c",)),), CellRules(2))))  # fmt: skip


def test_infeasibility_found_only_by_search_is_explained_by_conflicting_rules():
    """Three racks of a region, two cells that need two each: racks per cell and blast radius conflict."""
    racks = tuple(Rack(f"r{at}", "a", (f"n{at}",), 100.0) for at in range(3))
    tenants = (Tenant("big", 60.0, 0.0, 1, ("a",)), Tenant("huge", 60.0, 0.0, 1, ("a",)))
    one = Fleet(racks, tenants, CellRules(2))
    assert find_infeasibilities(one) == []
    found = plan(one, CellMap(0), 10, workers=1)
    assert found.outcome is PlanOutcome.INFEASIBLE
    kinds = {line.split(":")[0] for line in found.reasons}
    assert kinds == {"racks in a", "blast radius"}
    # Without either of them there is a plan.
    assert plan(Fleet(racks, tenants, CellRules(2, racks=1)), CellMap(0), 10, workers=1).cells is not None
    assert plan(Fleet(racks, tenants, CellRules(2, large=1.0)), CellMap(0), 10, workers=1).cells is not None
    assert explain(one, CellMap(0), 10) == found.reasons


def test_cells_reduce_the_blast_radius():
    one = fleet(racks=16, tenants=24, cells=4, load=0.3)
    cells = plan(one, CellMap(0), 20, workers=1).cells
    assert tenant_blast_radius(single_cell_map(one)) == rack_blast_radius(one, single_cell_map(one)) == 1.0
    assert tenant_blast_radius(cells) <= 0.375 and rack_blast_radius(one, cells) <= 0.375


FLEET = """(fleet "f" (cells 1) (headroom 0.7)
  (rack "r1" (region "a") (node "n1" (units 100)) (node "n2" (units 100)))
  (rack "r2" (region "a") (node "n3" (units 200)))
  (tenant "liga" (load 50) (reserve 20) (size 4GiB) (regions "a")))"""


def test_files_and_commands(tmp_path):
    path, cells = tmp_path / "fleet.sexp", tmp_path / "map.sexp"
    path.write_text(FLEET)

    def run(*words):
        return CliRunner().invoke(cells_commands, list(map(str, words)))

    dry = run("plan", path)
    assert dry.exit_code == 0 and "nothing was written" in dry.output and not cells.exists()
    assert run("plan", path, "--out", cells).exit_code == 0
    assert load_map(str(cells)).tenants == {"liga": "cell0"}
    shown = run("show", path, cells)
    assert shown.exit_code == 0 and "cell0: 2 racks, 3 nodes, 1 tenants" in shown.output
    force = tmp_path / "force.sexp"
    assert "nothing was written" in run("apply", path, cells, force).output and not force.exists()
    assert run("apply", path, cells, force, "--yes").exit_code == 0 and load_map(str(force)).version == 1
    again = run("apply", path, cells, force, "--yes")
    assert again.exit_code == 1 and "version 1 is not newer" in again.output
    cells.write_text(cells.read_text().replace("(version 1)", "(version 2)"))
    assert run("apply", path, cells, force, "--yes").exit_code == 0
    # The file records who applied each version.
    assert [one.version for one in read_map(str(force)).changes] == [1, 2]
    assert "  2 put in force by " in run("show", path, force).output
    path.write_text(FLEET.replace("load 50", "load 900"))
    none = run("plan", path, "--now", cells)
    assert none.exit_code == 1 and "capacity in a" in none.output
    path.write_text("(fleet)")
    assert run("plan", path).exit_code == 2


def test_invalid_fleets_and_maps(tmp_path):
    for old, new, why in [
        ('"n3"', '"n1"', "node n1: given twice"),
        ('"r2"', '"r1"', "rack r1: given twice"),
        ('(regions "a")', "(regions)", "regions"),
        ("(headroom 0.7)", "(headroom 7)", "headroom"),
    ]:
        with pytest.raises(SettingsError, match=why):
            parse_fleet(read_text(FLEET.replace(old, new), "fleet"), "fleet")
    (tmp_path / "map").write_text('(cell-map (version 1) (tenant "a" (cell "x")) (tenant "a" (cell "y")))')
    with pytest.raises(SettingsError, match="tenant a: given twice"):
        load_map(str(tmp_path / "map"))
    cells = CellMap(3, {"r1": "cell0"}, {"liga": "cell0"})
    save_map(str(tmp_path / "saved"), cells, {"r1": (4, 5)})
    assert load_map(str(tmp_path / "saved")) == cells
    volumes = [VolumeSettings(name="v", size_bytes=512, plan="p", tenant="liga")]
    mine = load_head_cell_map(str(tmp_path / "saved"), volumes)
    assert mine.shards == {4: "cell0", 5: "cell0"} and mine.volumes == {"v": "cell0"}
    with pytest.raises(SettingsError, match="tenant w of volume w is in no cell"):
        load_head_cell_map(str(tmp_path / "saved"), [VolumeSettings(name="w", size_bytes=512, plan="p")])
