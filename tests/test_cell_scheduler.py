"""A module for each cell: who hears what, changes of the map, and days in the emulator."""

import pytest

from harriertrack.config.sexp import read_text
from harriertrack.decisions import interface as api
from harriertrack.decisions.cell_scheduler import CellScheduler, HeadCellMap, StaleMapError
from harriertrack.decisions.scheduler import Scheduler
from harriertrack.lab import day as days
from harriertrack.lab.emulator import emulate
from harriertrack.rules import checker, recording as rec

MAP = HeadCellMap(1, {0: "left", 1: "right"}, {"v": "left", "w": "right"})


class Told:
    """Stands for a cell's module: keeps what it is told and says what a test wants."""

    def __init__(self, settings, seed, volumes, portions):
        self.settings, self.seed, self.heard, self.says = settings, seed, [], []

    def handle(self, now, events):
        self.heard.extend(events)
        says, self.says = self.says, []
        return says


def celled(cells=MAP, **more):
    classes = (api.RequestClass("read", 100_000, 500_000, effect=api.Effect.SAFE),)
    return CellScheduler(api.Settings(1, classes, **more), 5, cells, Told)


def asked(number, volume="v", shard=0):
    return api.RequestArrived(number, "read", "p", volume, "", shard, 1.0, 500_000)


def entry(name, shard, state=api.NodeState.UP):
    return api.NodeEntry(name, shard, state)


def test_each_module_hears_of_its_own_alone():
    one = celled(budget_free=8.0)
    left, right = one.modules()
    assert left.settings.budget_free == right.settings.budget_free == 4.0 and left.seed != right.seed
    one.handle(
        0, [api.NodesChanged(api.ListKind.FULL, [entry("a", 0), entry("b", 1)]), asked(1), asked(2, "w", 1)]
    )
    assert [e.node for news in left.heard if isinstance(news, api.NodesChanged) for e in news.entries] == [
        "a"
    ]
    assert [e.request for e in left.heard if isinstance(e, api.RequestArrived)] == [1]
    assert [e.request for e in right.heard if isinstance(e, api.RequestArrived)] == [2]
    one.handle(1, [api.NodesChanged(api.ListKind.FAILED)])
    assert left.heard[-1].kind is right.heard[-1].kind is api.ListKind.FAILED


def test_a_volume_of_no_cell_is_refused():
    assert celled().handle(0, [asked(1, "stranger")]) == [api.Refuse(1)]


def test_timers_come_back_to_who_set_them():
    one = celled()
    left, right = one.modules()
    left.says, right.says = [api.SetTimer("7", 50)], [api.SetTimer("7", 60)]
    actions = one.handle(0, [asked(1), asked(2, "w", 1)])
    assert [(a.token, a.at_us) for a in actions] == [("left|7", 50), ("right|7", 60)]
    one.handle(60, [api.TimerFired("right|7")])
    assert right.heard[-1] == api.TimerFired("7") and not any(
        isinstance(e, api.TimerFired) for e in left.heard
    )


def test_one_subscription_serves_all():
    one = celled()
    for module in one.modules():
        module.says = [api.Subscribe(True)]
    assert one.handle(0, [api.NodesChanged(api.ListKind.RESTORED, [])]) == [api.Subscribe(True)]


def test_a_new_map_takes_later_requests_and_leaves_the_others():
    one = celled()
    left, right = one.modules()
    left.says = [api.Send(1, "a")]
    one.handle(0, [api.NodesChanged(api.ListKind.FULL, [entry("a", 0), entry("b", 1)]), asked(1)])
    with pytest.raises(StaleMapError):
        one.apply_map(MAP)
    one.apply_map(HeadCellMap(2, {0: "right", 1: "right"}, {"v": "right", "w": "right"}))
    one.handle(1, [asked(2)])
    assert right.heard[-1] == asked(2)
    gone = [e for news in left.heard if isinstance(news, api.NodesChanged) for e in news.entries]
    assert gone[-1].node == "a" and gone[-1].state is api.NodeState.GONE
    assert any(news.entries and news.entries[0].node == "a" for news in right.heard
               if isinstance(news, api.NodesChanged))  # fmt: skip
    done = api.AttemptEnded(1, 0, "a", api.Result.OK, 900, True)
    one.handle(2, [done])
    assert left.heard[-1] == done and done not in right.heard
    one.handle(3, [done])  # nobody has it any more
    assert left.heard.count(done) == 1


def test_an_extent_is_asked_for_where_it_lies_and_new_ones_go_home():
    one = celled(HeadCellMap(1, {0: "left", 1: "right"}, {"v": "right"}))
    left, right = one.modules()
    one.handle(0, [asked(1, "v", 0), asked(2, "v", 1), asked(3, "v", -1), asked(4, "v", 9)])
    assert [e.request for e in left.heard] == [1]
    assert [e.request for e in right.heard] == [2, 3, 4]  # a shard of no cell: its own module refuses


def test_a_late_outcome_of_an_answered_request_still_finds_its_module():
    one = celled()
    left, _ = one.modules()
    left.says = [api.Send(1, "a"), api.Fail(1)]
    one.handle(0, [asked(1)])
    late = api.AttemptEnded(1, 0, "a", api.Result.TIMEOUT, 900, True)
    one.handle(5, [late])
    assert left.heard[-1] is late
    assert not one._of_request and not one._out and not one._over


DAY = """(day "cells" (length 6s) (heads 3) (nodes 6) (volumes 6) (shared 0) (rate 200)
  (trouble TROUBLE))"""


@pytest.mark.parametrize("trouble", ["slow (from 1s) (for 3s) (size 5)", "mass_restart (from 2s) (for 1s) (part 0.5)",
                                     "drain (from 1s) (for 4s) (part 0.3)", "balancer_roll (from 1s) (for 2s)"])  # fmt: skip
def test_rules_hold_and_no_cell_is_left(trouble):
    day = days.parse(read_text(DAY.replace("TROUBLE", trouble), "cells"), "cells")
    cells = HeadCellMap(
        1, {shard: f"c{shard % 2}" for shard in range(6)}, {f"vol{n}": f"c{n % 2}" for n in range(6)}
    )
    recorder = rec.Recorder()
    emulate(day, 2, recorder, lambda settings, seed, _look: CellScheduler(settings, seed, cells))
    assert checker.summary(recorder.records)["served"] > 500
    assert [str(one) for one in checker.check(recorder.records)] == []
    got = [one for one in recorder.records if isinstance(one, rec.Got)]
    assert got and all(int(one.volume[3:]) % 2 == one.shard % 2 for one in got)


def test_a_head_without_cells_is_caught_where_there_are_some():
    day = days.parse(read_text(DAY.replace("(trouble TROUBLE)", "").replace("(shared 0)", "(shared 0) (cells 2)"),
                               "cells"), "cells")  # fmt: skip
    recorder = rec.Recorder()
    emulate(day, 2, recorder, lambda settings, seed, _look: Scheduler(settings, seed))
    assert {one.rule for one in checker.check(recorder.records)} == {8}


def test_no_trace_of_a_flood_in_the_next_cell():
    """The flooded cell's neighbours suffer; the other cell's requests meet the very same fate as without."""
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
        takes = {(one.client, one.request): one for one in recorder.records if isinstance(one, rec.Take)}
        counts = {name: 0 for name in cells.volumes}
        for take in takes.values():
            counts[take.volume] += 1
        served = {name: 0 for name in cells.volumes}
        for one in recorder.records:
            if isinstance(one, rec.Answer) and one.outcome == "served":
                served[takes[one.client, one.request].volume] += 1
        shares.append({name: served[name] / counts[name] for name in counts})
        hot = max(counts, key=counts.__getitem__)
    other = [name for name in cells.volumes if int(name[3:]) % 2 != int(hot[3:]) % 2]
    assert shares[1][hot] < 0.9
    assert all(shares[1][name] >= shares[0][name] - 0.01 for name in other)
