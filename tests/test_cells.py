"""Cells: the rules of a map, plans that satisfy them, and the reasons when no plan exists."""

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


def make_fleet(racks=8, tenants=12, cells=2, seed=1, load=0.4, **rules):
    rng = random.Random(seed)
    rack_list = tuple(
        Rack(
            f"r{index}",
            "ab"[index % 2],
            tuple(f"n{index}-{node}" for node in range(3)),
            rng.uniform(250, 350),
        )
        for index in range(racks)
    )
    capacity = sum(rack.units for rack in rack_list if rack.region == "a")
    weights = [rng.uniform(1, 3) for _ in range(tenants)]
    tenant_list = tuple(
        Tenant(f"t{index}", load * capacity * weight / sum(weights), 0.5 * load * capacity * weight / sum(weights),
               int(weight * (8 << 30)), ("a", "b") if index % 3 else ("ab"[index % 2],))
        for index, weight in enumerate(weights)
    )  # fmt: skip
    return Fleet(rack_list, tenant_list, CellRules(cells, **rules))


def test_a_plan_satisfies_all_rules_and_moves_no_more_than_needed():
    fleet = make_fleet()
    first = plan(fleet, CellMap(0), 20, workers=1)
    assert (
        first.outcome is PlanOutcome.BEST
        and find_violations(fleet, first.cells) == []
        and first.cells.version == 1
    )
    again = plan(fleet, first.cells, 20, workers=1)
    assert again.cost == 0 and compute_change(fleet, first.cells, again.cells).tenants == ()
    for tenant in fleet.tenants:
        nodes = first.cells.nodes_of(fleet, tenant.name)
        assert 0 < len(nodes) < 24
    assert first.cells.nodes_of(fleet, "unknown") == frozenset()


def test_a_growing_tenant_causes_the_smallest_move():
    """A tenant outgrows its cell: only what is needed to make space moves."""
    before = make_fleet(load=0.55, large=1.0)
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
    alternatives = [plan_greedily(after, first), plan(after, CellMap(0), 20, workers=1).cells]
    for alternative in alternatives:
        if not find_violations(after, alternative):
            assert found.cost <= movement_cost(after, first, alternative)


@given(st.integers(0, 500))
@settings(max_examples=8, deadline=None)
def test_every_plan_is_checked_against_the_rules(seed):
    rng = random.Random(seed)
    fleet = make_fleet(rng.randint(6, 12), rng.randint(4, 16), rng.randint(2, 3), seed, rng.uniform(0.2, 0.8))
    found = plan(fleet, CellMap(0), 5, workers=1)
    if found.cells is not None:
        assert find_violations(fleet, found.cells) == []
    else:
        assert found.outcome in (PlanOutcome.INFEASIBLE, PlanOutcome.TIMED_OUT) and found.reasons


def violations(fleet, cells, **changes):
    racks, tenants = dict(cells.racks), dict(cells.tenants)
    racks.update(changes.get("racks", {}))
    tenants.update(changes.get("tenants", {}))
    return " ".join(find_violations(fleet, CellMap(2, racks, tenants)))


def test_each_broken_rule_is_reported():
    fleet = make_fleet(large=0.05)
    cells = plan(fleet, CellMap(0), 20, workers=1)
    crowded = {tenant.name: "cell0" for tenant in fleet.tenants}
    feasible = make_fleet(load=0.65)
    base = plan(feasible, CellMap(0), 20, workers=1).cells
    text = violations(feasible, base, tenants=crowded)
    assert "exceeds 0.7 of" in text and "reserves of" in text and "12 tenants; at most 9 may" in text
    assert "racks, but 2 are needed" in violations(
        feasible, base, racks={rack.name: "cell0" for rack in feasible.racks[:7]}
    )
    assert "does not exist" in violations(feasible, base, tenants={"t0": "cell9"})
    assert "not part of this fleet" in violations(feasible, base, tenants={"unknown": "cell0"})
    assert "is in no cell" in " ".join(find_violations(feasible, CellMap(1)))
    assert cells.outcome is PlanOutcome.INFEASIBLE  # every tenant is large there, and there are two cells
    large = make_fleet(tenants=3, large=0.01)
    everything = single_cell_map(large)
    assert "would share all its nodes" in " ".join(find_violations(large, everything))


def test_an_impossible_plan_reports_its_reasons():
    assert any("capacity in a" in line for line in plan(make_fleet(load=0.95), CellMap(0)).reasons)
    assert any(
        "blast radius: 12 large tenants" in line for line in find_infeasibilities(make_fleet(large=0.0))
    )
    assert any("racks in a: 1" in line for line in find_infeasibilities(make_fleet(racks=2)))
    assert any("region c" in line for line in find_infeasibilities(
        Fleet(make_fleet().racks, (Tenant("t", 1, 0, 1, ("c",)),), CellRules(2))))  # fmt: skip


def test_infeasibility_found_only_by_search_is_explained_by_conflicting_rules():
    """Three racks of a region, two cells that need two each: racks per cell and blast radius conflict."""
    racks = tuple(Rack(f"r{at}", "a", (f"n{at}",), 100.0) for at in range(3))
    tenants = (Tenant("big", 60.0, 0.0, 1, ("a",)), Tenant("huge", 60.0, 0.0, 1, ("a",)))
    fleet = Fleet(racks, tenants, CellRules(2))
    assert find_infeasibilities(fleet) == []
    found = plan(fleet, CellMap(0), 10, workers=1)
    assert found.outcome is PlanOutcome.INFEASIBLE
    kinds = {line.split(":")[0] for line in found.reasons}
    assert kinds == {"racks in a", "blast radius"}
    # Without either of them there is a plan.
    assert plan(Fleet(racks, tenants, CellRules(2, racks=1)), CellMap(0), 10, workers=1).cells is not None
    assert plan(Fleet(racks, tenants, CellRules(2, large=1.0)), CellMap(0), 10, workers=1).cells is not None
    assert explain(fleet, CellMap(0), 10) == found.reasons


def test_cells_reduce_the_blast_radius():
    fleet = make_fleet(racks=16, tenants=24, cells=4, load=0.3)
    cells = plan(fleet, CellMap(0), 20, workers=1).cells
    assert (
        tenant_blast_radius(single_cell_map(fleet)) == rack_blast_radius(fleet, single_cell_map(fleet)) == 1.0
    )
    assert tenant_blast_radius(cells) <= 0.375 and rack_blast_radius(fleet, cells) <= 0.375


FLEET = """(fleet "f" (cells 1) (headroom 0.7)
  (rack "r1" (region "a") (node "n1" (units 100)) (node "n2" (units 100)))
  (rack "r2" (region "a") (node "n3" (units 200)))
  (tenant "liga" (load 50) (reserve 20) (size 4GiB) (regions "a")))"""


def test_files_and_commands(tmp_path):
    path, cells = tmp_path / "fleet.sexp", tmp_path / "map.sexp"
    path.write_text(FLEET)

    def run(*arguments):
        return CliRunner().invoke(cells_commands, list(map(str, arguments)))

    dry = run("plan", path)
    assert dry.exit_code == 0 and "nothing was written" in dry.output and not cells.exists()
    assert run("plan", path, "--out", cells).exit_code == 0
    assert load_map(str(cells)).tenants == {"liga": "cell0"}
    shown = run("show", path, cells)
    assert shown.exit_code == 0 and "cell0: 2 racks, 3 nodes, 1 tenants" in shown.output
    in_force = tmp_path / "force.sexp"
    assert "nothing was written" in run("apply", path, cells, in_force).output and not in_force.exists()
    assert (
        run("apply", path, cells, in_force, "--yes").exit_code == 0 and load_map(str(in_force)).version == 1
    )
    again = run("apply", path, cells, in_force, "--yes")
    assert again.exit_code == 1 and "version 1 is not newer" in again.output
    cells.write_text(cells.read_text().replace("(version 1)", "(version 2)"))
    assert run("apply", path, cells, in_force, "--yes").exit_code == 0
    # The file records who applied each version.
    assert [one.version for one in read_map(str(in_force)).changes] == [1, 2]
    assert "  2 put in force by " in run("show", path, in_force).output
    path.write_text(FLEET.replace("load 50", "load 900"))
    infeasible = run("plan", path, "--now", cells)
    assert infeasible.exit_code == 1 and "capacity in a" in infeasible.output
    path.write_text("(fleet)")
    assert run("plan", path).exit_code == 2


def test_invalid_fleets_and_maps(tmp_path):
    for old, new, reason in [
        ('"n3"', '"n1"', "node n1: given twice"),
        ('"r2"', '"r1"', "rack r1: given twice"),
        ('(regions "a")', "(regions)", "regions"),
        ("(headroom 0.7)", "(headroom 7)", "headroom"),
    ]:
        with pytest.raises(SettingsError, match=reason):
            parse_fleet(read_text(FLEET.replace(old, new), "fleet"), "fleet")
    (tmp_path / "map").write_text('(cell-map (version 1) (tenant "a" (cell "x")) (tenant "a" (cell "y")))')
    with pytest.raises(SettingsError, match="tenant a: given twice"):
        load_map(str(tmp_path / "map"))
    cells = CellMap(3, {"r1": "cell0"}, {"liga": "cell0"})
    save_map(str(tmp_path / "saved"), cells, {"r1": (4, 5)})
    assert load_map(str(tmp_path / "saved")) == cells
    volumes = [VolumeSettings(name="v", size_bytes=512, plan="p", tenant="liga")]
    head_map = load_head_cell_map(str(tmp_path / "saved"), volumes)
    assert head_map.shards == {4: "cell0", 5: "cell0"} and head_map.volumes == {"v": "cell0"}
    with pytest.raises(SettingsError, match="tenant w of volume w is in no cell"):
        load_head_cell_map(str(tmp_path / "saved"), [VolumeSettings(name="w", size_bytes=512, plan="p")])
