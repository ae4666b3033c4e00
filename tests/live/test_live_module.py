"""Settings of the module change at run time: bucket levels carry over, and open requests keep their times."""

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
SETTINGS = api.Settings(
    heads=2, classes=(READ,), plans=(CAPPED, FREE), may_hint=True, max_hint_us=S, most_units=4, tick_us=2000,
)  # fmt: skip


class Head:
    def __init__(self, unit=None):
        self.unit, self.now, self.serial, self.timers = unit or Scheduler(SETTINGS, 1), START, 0, []
        self.feed(api.NodesChanged(api.ListKind.RESTORED, [api.NodeEntry("n0", 0), api.NodeEntry("n1", 1)]))

    def feed(self, *events):
        actions = self.unit.handle(self.now, list(events))
        self.timers += [one for one in actions if isinstance(one, api.SetTimer)]
        return actions

    def submit(self, plan="capped", volume="v", left=1_500_000, units=1.0, shard=0):
        self.serial += 1
        return self.feed(
            api.RequestArrived(self.serial, "r", plan, volume, f"k{self.serial}", shard, units, left)
        )

    def fire_next_timer(self):
        """Fire the next timer."""
        due = min(self.timers, key=lambda one: one.at_us)
        self.timers.remove(due)
        self.now = due.at_us
        return self.feed(api.TimerFired(due.token))

    def limit(self, volume="v", plan="capped"):
        return self.unit._volumes[volume, plan].limit


def capped(**changes):
    return api.SettingsChanged(replace(SETTINGS, plans=(replace(CAPPED, **changes), FREE)))


def sends(actions):
    return [one.request for one in actions if isinstance(one, api.Send)]


def test_a_raised_limit_fills_no_bucket_and_a_lower_one_cuts_it():
    head = Head()
    head.now += 10 * S
    head.submit()
    assert head.limit().level == 3.0  # half of the burst, less what was sent
    head.feed(capped(limit=400, limit_burst=800))
    assert (head.limit().rate, head.limit().capacity, head.limit().level) == (200.0, 400.0, 3.0)
    head.feed(capped(limit=1, limit_burst=4))
    assert (head.limit().rate, head.limit().capacity, head.limit().level) == (0.5, 2.0, 2.0)
    head.submit(volume="new")  # first seen after the change: it fills from then on
    assert head.limit("new").level <= 0.0


def test_a_request_waiting_for_its_limit_keeps_its_time_and_others_go_before():
    head = Head()
    assert sends(head.submit(units=0.5)) == []
    head.feed(capped(limit=400, limit_burst=800))
    head.now += 50_000
    assert sends(head.submit(volume="w", shard=1)) == [2]
    while not (sent := sends(head.fire_next_timer())):
        pass
    assert sent == [1] and head.now <= START + 260_000  # 0.5 units at 2 a second


def test_a_new_limit_starts_with_an_empty_bucket_and_is_removed_with_it():
    head = Head()
    head.now += 10 * S
    assert sends(head.submit("free")) == [1]
    head.feed(api.SettingsChanged(replace(SETTINGS, plans=(CAPPED, replace(FREE, limit=4, limit_burst=8)))))
    assert head.limit(plan="free").level == 0.0 and sends(head.submit("free")) == []
    head.feed(api.SettingsChanged(SETTINGS))
    assert head.limit(plan="free") is None and sends(head.submit("free"))


def test_a_share_of_a_fleet_wide_limit_is_carried_over_by_its_owner():
    class Shares:
        def __init__(self):
            self.bucket = type("Part", (Bucket,), {})(START, 1.0, 2.0, 2.0)

        def limit(self, now, request, plan):
            return self.bucket

    shares = Shares()
    head = Head(Scheduler(SETTINGS, 1, None, shares))
    head.submit()
    head.feed(capped(limit=400, limit_burst=800))
    assert head.limit() is shares.bucket and shares.bucket.rate == 1.0
    head.feed(capped(limit=0, limit_burst=0))
    assert head.limit() is None


def test_open_requests_keep_their_times_and_later_ones_get_the_new_ones():
    head = Head()
    head.submit("free")
    shorter = replace(SETTINGS, classes=(replace(READ, aim_us=100_000, deadline_us=500_000),))
    head.feed(api.SettingsChanged(shorter))
    work = head.unit._works[1]
    assert (work.aim_at, work.deadline) == (START + 300_000, START + 1_500_000)
    head.submit("free", left=500_000)
    assert head.unit._works[2].aim_at == START + 100_000
    # A request from before the change that arrives late does not make later ones look like retries.
    head.submit("free", left=1_400_000)
    while head.now < START + 1_500_000:
        head.fire_next_timer()
    head.submit("free", left=500_000)
    assert head.unit._works[4].aim_at == head.now + 100_000


def test_weights_and_reserves_follow_their_plan():
    head = Head()
    head.submit()
    volume = head.unit._volumes["v", "capped"]
    head.feed(capped(weight=3.0, reserve=10.0))
    assert volume.sessions[False].weight == 3.0 and volume.reserve.rate == 5.0


@pytest.mark.parametrize("limit", [400.0, 0.0, 1.0])
def test_modules_of_cells_change_together_and_share_one_bucket(limit):
    settings = replace(SETTINGS, budget_free=8.0)
    head = Head(CellScheduler(settings, 1, HeadCellMap(1, {0: "a", 1: "b"}, {"v": "a", "w": "b"})))
    head.now += 10 * S
    head.submit()
    plans = (replace(CAPPED, limit=limit, limit_burst=limit), FREE)
    head.feed(api.SettingsChanged(replace(settings, plans=plans, budget_free=2.0)))
    assert [one.settings.budget_free for one in head.unit.modules()] == [1.0, 1.0]
    limit_bucket = head.unit._volumes["v", "capped"].limit
    assert limit_bucket.level == min(3.0, limit / 2) if limit else limit_bucket is None
