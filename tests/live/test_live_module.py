"""The module takes other figures in service: stores carry over, and what is under way keeps its time."""

from dataclasses import replace

import pytest

from harriertrack.decisions import interface as api
from harriertrack.decisions.bucket import Bucket
from harriertrack.decisions.cell_scheduler import CellScheduler, HeadCellMap
from harriertrack.decisions.scheduler import Scheduler

S, START = 1_000_000, 1_000_000_000
READ = api.RequestClass("r", 300_000, 1_500_000, effect=api.Effect.SAFE)
CAPPED = api.Plan("capped", 2, 1, limit=4, limit_burst=8)
FREE = api.Plan("free")
TOLD = api.Settings(
    heads=2, classes=(READ,), plans=(CAPPED, FREE), may_hint=True, max_hint_us=S, most_units=4, tick_us=2000,
)  # fmt: skip


class Head:
    def __init__(self, unit=None):
        self.unit, self.now, self.serial, self.timers = unit or Scheduler(TOLD, 1), START, 0, []
        self.feed(api.NodesChanged(api.ListKind.RESTORED, [api.NodeEntry("n0", 0), api.NodeEntry("n1", 1)]))

    def feed(self, *events):
        actions = self.unit.handle(self.now, list(events))
        self.timers += [one for one in actions if isinstance(one, api.SetTimer)]
        return actions

    def ask(self, plan="capped", volume="v", left=1_500_000, units=1.0, shard=0):
        self.serial += 1
        return self.feed(
            api.RequestArrived(self.serial, "r", plan, volume, f"k{self.serial}", shard, units, left)
        )

    def wake(self):
        """Let the next timer run."""
        due = min(self.timers, key=lambda one: one.at_us)
        self.timers.remove(due)
        self.now = due.at_us
        return self.feed(api.TimerFired(due.token))

    def limit(self, volume="v", plan="capped"):
        return self.unit._volumes[volume, plan].limit


def capped(**changes):
    return api.SettingsChanged(replace(TOLD, plans=(replace(CAPPED, **changes), FREE)))


def sends(actions):
    return [one.request for one in actions if isinstance(one, api.Send)]


def test_a_raise_fills_no_store_and_a_lower_limit_cuts_it():
    head = Head()
    head.now += 10 * S
    head.ask()
    assert head.limit().level == 3.0  # half of the burst, less what was sent
    head.feed(capped(limit=400, limit_burst=800))
    assert (head.limit().rate, head.limit().capacity, head.limit().level) == (200.0, 400.0, 3.0)
    head.feed(capped(limit=1, limit_burst=4))
    assert (head.limit().rate, head.limit().capacity, head.limit().level) == (0.5, 2.0, 2.0)
    head.ask(volume="new")  # seen for the first time: it grows from the change on
    assert head.limit("new").level <= 0.0


def test_what_waits_for_its_limit_goes_when_it_was_to_and_others_before_that():
    head = Head()
    assert sends(head.ask(units=0.5)) == []
    head.feed(capped(limit=400, limit_burst=800))
    head.now += 50_000
    assert sends(head.ask(volume="w", shard=1)) == [2]
    while not (sent := sends(head.wake())):
        pass
    assert sent == [1] and head.now <= START + 260_000  # 0.5 units at 2 a second


def test_a_limit_comes_with_an_empty_store_and_goes_with_it():
    head = Head()
    head.now += 10 * S
    assert sends(head.ask("free")) == [1]
    head.feed(api.SettingsChanged(replace(TOLD, plans=(CAPPED, replace(FREE, limit=4, limit_burst=8)))))
    assert head.limit(plan="free").level == 0.0 and sends(head.ask("free")) == []
    head.feed(api.SettingsChanged(TOLD))
    assert head.limit(plan="free") is None and sends(head.ask("free"))


def test_what_the_fleet_divides_is_carried_over_where_it_is_divided():
    class Portions:
        def __init__(self):
            self.portion = type("Part", (Bucket,), {})(START, 1.0, 2.0, 2.0)

        def limit(self, now, ask, plan):
            return self.portion

    portions = Portions()
    head = Head(Scheduler(TOLD, 1, None, portions))
    head.ask()
    head.feed(capped(limit=400, limit_burst=800))
    assert head.limit() is portions.portion and portions.portion.rate == 1.0
    head.feed(capped(limit=0, limit_burst=0))
    assert head.limit() is None


def test_open_requests_keep_their_time_and_later_ones_have_the_new():
    head = Head()
    head.ask("free")
    shorter = replace(TOLD, classes=(replace(READ, aim_us=100_000, deadline_us=500_000),))
    head.feed(api.SettingsChanged(shorter))
    work = head.unit._works[1]
    assert (work.aim_at, work.end_at) == (START + 300_000, START + 1_500_000)
    head.ask("free", left=500_000)
    assert head.unit._works[2].aim_at == START + 100_000
    # One that was taken before and is told of late does not make all later ones look like second tries.
    head.ask("free", left=1_400_000)
    while head.now < START + 1_500_000:
        head.wake()
    head.ask("free", left=500_000)
    assert head.unit._works[4].aim_at == head.now + 100_000


def test_weights_and_reserves_follow_their_plan():
    head = Head()
    head.ask()
    volume = head.unit._volumes["v", "capped"]
    head.feed(capped(weight=3.0, reserve=10.0))
    assert volume.sessions[False].weight == 3.0 and volume.reserve.rate == 5.0


@pytest.mark.parametrize("limit", [400.0, 0.0, 1.0])
def test_modules_of_cells_change_together_and_share_one_store(limit):
    told = replace(TOLD, budget_free=8.0)
    head = Head(CellScheduler(told, 1, HeadCellMap(1, {0: "a", 1: "b"}, {"v": "a", "w": "b"})))
    head.now += 10 * S
    head.ask()
    plans = (replace(CAPPED, limit=limit, limit_burst=limit), FREE)
    head.feed(api.SettingsChanged(replace(told, plans=plans, budget_free=2.0)))
    assert [one.settings.budget_free for one in head.unit.modules()] == [1.0, 1.0]
    kept = head.unit._volumes["v", "capped"].limit
    assert kept.level == min(3.0, limit / 2) if limit else kept is None
