"""A decision module for each cell: routing of events, changes of the map, and days in the emulator."""

import pytest

from harriertrack.config.sexp import read_text
from harriertrack.decisions import interface as api
from harriertrack.decisions.cell_scheduler import CellScheduler, HeadCellMap, StaleMapError
from harriertrack.decisions.scheduler import Scheduler
from harriertrack.lab import day as days
from harriertrack.lab.emulator import emulate
from harriertrack.rules import checker, recording as rec

MAP = HeadCellMap(1, {0: "left", 1: "right"}, {"v": "left", "w": "right"})


class FakeModule:
    """In place of a cell's module: records events and returns the actions that a test sets."""

    def __init__(self, settings, seed, volumes, portions):
        self.settings, self.seed, self.events, self.actions = settings, seed, [], []

    def handle(self, now, events):
        self.events.extend(events)
        actions, self.actions = self.actions, []
        return actions


def cell_scheduler(cells=MAP, **more):
    classes = (api.RequestClass("read", 100_000, 500_000, effect=api.Effect.SAFE),)
    return CellScheduler(api.Settings(1, classes, **more), 5, cells, FakeModule)


def arrival(number, volume="v", shard=0):
    return api.RequestArrived(number, "read", "p", volume, "", shard, 1.0, 500_000)


def entry(name, shard, state=api.NodeState.UP):
    return api.NodeEntry(name, shard, state)


def test_each_module_receives_only_the_events_of_its_cell():
    one = cell_scheduler(budget_free=8.0)
    left, right = one.modules()
    assert left.settings.budget_free == right.settings.budget_free == 4.0 and left.seed != right.seed
    one.handle(
        0,
        [api.NodesChanged(api.ListKind.FULL, [entry("a", 0), entry("b", 1)]), arrival(1), arrival(2, "w", 1)],
    )
    assert [
        e.node for update in left.events if isinstance(update, api.NodesChanged) for e in update.entries
    ] == ["a"]
    assert [e.request for e in left.events if isinstance(e, api.RequestArrived)] == [1]
    assert [e.request for e in right.events if isinstance(e, api.RequestArrived)] == [2]
    one.handle(1, [api.NodesChanged(api.ListKind.FAILED)])
    assert left.events[-1].kind is right.events[-1].kind is api.ListKind.FAILED


def test_a_volume_of_no_cell_is_refused():
    assert cell_scheduler().handle(0, [arrival(1, "unknown")]) == [api.Refuse(1)]


def test_timers_return_to_the_module_that_set_them():
    one = cell_scheduler()
    left, right = one.modules()
    left.actions, right.actions = [api.SetTimer("7", 50)], [api.SetTimer("7", 60)]
    actions = one.handle(0, [arrival(1), arrival(2, "w", 1)])
    assert [(a.token, a.at_us) for a in actions] == [("left|7", 50), ("right|7", 60)]
    one.handle(60, [api.TimerFired("right|7")])
    assert right.events[-1] == api.TimerFired("7") and not any(
        isinstance(e, api.TimerFired) for e in left.events
    )


def test_one_subscription_serves_all_modules():
    one = cell_scheduler()
    for module in one.modules():
        module.actions = [api.Subscribe(True)]
    assert one.handle(0, [api.NodesChanged(api.ListKind.RESTORED, [])]) == [api.Subscribe(True)]


def test_a_new_map_applies_to_later_requests_only():
    one = cell_scheduler()
    left, right = one.modules()
    left.actions = [api.Send(1, "a")]
    one.handle(0, [api.NodesChanged(api.ListKind.FULL, [entry("a", 0), entry("b", 1)]), arrival(1)])
    with pytest.raises(StaleMapError):
        one.apply_map(MAP)
    one.apply_map(HeadCellMap(2, {0: "right", 1: "right"}, {"v": "right", "w": "right"}))
    one.handle(1, [arrival(2)])
    assert right.events[-1] == arrival(2)
    removed = [e for update in left.events if isinstance(update, api.NodesChanged) for e in update.entries]
    assert removed[-1].node == "a" and removed[-1].state is api.NodeState.GONE
    assert any(update.entries and update.entries[0].node == "a" for update in right.events
               if isinstance(update, api.NodesChanged))  # fmt: skip
    done = api.AttemptEnded(1, 0, "a", api.Result.OK, 900, True)
    one.handle(2, [done])
    assert left.events[-1] == done and done not in right.events
    one.handle(3, [done])  # no module has the request any more
    assert left.events.count(done) == 1


def test_requests_go_to_the_cell_of_their_extent_and_new_extents_to_their_volumes_cell():
    one = cell_scheduler(HeadCellMap(1, {0: "left", 1: "right"}, {"v": "right"}))
    left, right = one.modules()
    one.handle(0, [arrival(1, "v", 0), arrival(2, "v", 1), arrival(3, "v", -1), arrival(4, "v", 9)])
    assert [e.request for e in left.events] == [1]
    # 9 is in no cell: the module of its volume refuses it.
    assert [e.request for e in right.events] == [2, 3, 4]


def test_a_late_result_of_an_answered_request_still_reaches_its_module():
    one = cell_scheduler()
    left, _ = one.modules()
    left.actions = [api.Send(1, "a"), api.Fail(1)]
    one.handle(0, [arrival(1)])
    late = api.AttemptEnded(1, 0, "a", api.Result.TIMEOUT, 900, True)
    one.handle(5, [late])
    assert left.events[-1] is late
    assert not one._of_request and not one._in_flight and not one._finished


DAY = """(day "cells" (length 6s) (heads 3) (nodes 6) (volumes 6) (shared 0) (rate 200)
  (trouble TROUBLE))"""


@pytest.mark.parametrize("trouble", ["slow (from 1s) (for 3s) (size 5)", "mass_restart (from 2s) (for 1s) (part 0.5)",
                                     "drain (from 1s) (for 4s) (part 0.3)", "balancer_roll (from 1s) (for 2s)"])  # fmt: skip
def test_rules_hold_and_no_request_leaves_its_cell(trouble):
    day = days.parse(read_text(DAY.replace("TROUBLE", trouble), "cells"), "cells")
    cells = HeadCellMap(
        1, {shard: f"c{shard % 2}" for shard in range(6)}, {f"vol{n}": f"c{n % 2}" for n in range(6)}
    )
    recorder = rec.Recorder()
    emulate(day, 2, recorder, lambda settings, seed, _look: CellScheduler(settings, seed, cells))
    assert checker.summary(recorder.records)["served"] > 500
    assert [str(one) for one in checker.check(recorder.records)] == []
    got = [one for one in recorder.records if isinstance(one, rec.AttemptReceived)]
    assert got and all(int(one.volume[3:]) % 2 == one.shard % 2 for one in got)


def test_a_head_that_ignores_cells_breaks_rule_8():
    day = days.parse(read_text(DAY.replace("(trouble TROUBLE)", "").replace("(shared 0)", "(shared 0) (cells 2)"),
                               "cells"), "cells")  # fmt: skip
    recorder = rec.Recorder()
    emulate(day, 2, recorder, lambda settings, seed, _look: Scheduler(settings, seed))
    assert {one.rule for one in checker.check(recorder.records)} == {8}


def test_a_flood_in_one_cell_does_not_affect_the_other():
    """A flood degrades its own cell; the other cell serves as large a share as without the flood."""
    calm = days.parse(read_text(DAY.replace("(trouble TROUBLE)", ""), "cells"), "cells")
    flood = days.parse(
        read_text(DAY.replace("TROUBLE", "hot_key (from 1s) (for 4s) (size 40)"), "cells"), "cells"
    )
    cells = HeadCellMap(
        1, {shard: f"c{shard % 2}" for shard in range(6)}, {f"vol{n}": f"c{n % 2}" for n in range(6)}
    )
    shares = []
    for day in (calm, flood):
        recorder = rec.Recorder()
        emulate(day, 3, recorder, lambda settings, seed, _look: CellScheduler(settings, seed, cells))
        takes = {
            (one.client, one.request): one for one in recorder.records if isinstance(one, rec.RequestSent)
        }
        counts = {name: 0 for name in cells.volumes}
        for take in takes.values():
            counts[take.volume] += 1
        served = {name: 0 for name in cells.volumes}
        for one in recorder.records:
            if isinstance(one, rec.FinalAnswer) and one.outcome == "served":
                served[takes[one.client, one.request].volume] += 1
        shares.append({name: served[name] / counts[name] for name in counts})
        hot = max(counts, key=counts.__getitem__)
    other = [name for name in cells.volumes if int(name[3:]) % 2 != int(hot[3:]) % 2]
    assert shares[1][hot] < 0.9
    assert all(shares[1][name] >= shares[0][name] - 0.01 for name in other)


def test_an_update_that_counted_earlier_reaches_each_module_with_that_time():
    one = cell_scheduler()
    listed = [entry("n0", 0, api.NodeState.DRAINING), entry("n1", 1)]
    one.handle(1_000_000, [api.NodesChanged(api.ListKind.CHANGES, listed, announced_at=400_000)])
    updates = [
        event for module in one.modules() for event in module.events if isinstance(event, api.NodesChanged)
    ]
    assert [update.announced_at for update in updates] == [400_000, 400_000]
