"""The grace of a drain begins once: when this process learns that a node which it knew as up is up no more.

All modules with the interface of the decision module keep this: the product's, that of a head in cells, and the
baselines of measurements.
"""

import pytest

from harriertrack.decisions import interface as api
from harriertrack.decisions.baselines import BASELINES
from harriertrack.decisions.cell_scheduler import CellScheduler, HeadCellMap
from harriertrack.decisions.scheduler import IDLE_STATE_US, Scheduler
from tests.test_scheduler import MS, SECOND, settings

UP, DRAINING, GONE = api.NodeState.UP, api.NodeState.DRAINING, api.NodeState.GONE
HALF_US = SECOND // 2  # of the grace in `settings`: modules send to a draining node up to then
START_US = 1_000_000_000
MAP = HeadCellMap(1, {0: "left", 1: "left"}, {"v": "left"})


def cell_scheduler(given, seed):
    return CellScheduler(given, seed, MAP)


MODULES = {"scheduler": Scheduler, "cells": cell_scheduler, **BASELINES}


class Lists:
    """Feeds one module with lists of the node of shard 0, and asks whether it would send to it."""

    def __init__(self, make):
        self.module, self.now, self.request = make(settings(list_on_request=True), 1), START_US, 0

    def hear(self, kind, *states, node="n0", announced_at=0, later_us=0):
        """Let the module receive a list that names a node in a state; none: an empty list."""
        self.now += later_us
        entries = [api.NodeEntry(node, 0, state) for state in states]
        self.module.handle(self.now, [api.NodesChanged(kind, entries, announced_at)])

    def change(self, state, **options):
        self.hear(api.ListKind.CHANGES, state, **options)

    def sends(self, later_us=0):
        """Return whether a request for the shard is sent to its node, and not refused."""
        self.now += later_us
        self.request += 1
        arrival = api.RequestArrived(self.request, "r", "tin", "v", "", 0, 1, 1500 * MS, 1)
        actions = self.module.handle(self.now, [arrival])
        assert any(isinstance(action, api.Send | api.Refuse) for action in actions)
        if not any(isinstance(action, api.Send) for action in actions):
            return False
        ended = api.AttemptEnded(self.request, 0, "n0", api.Result.OK, 1 * MS, True)
        self.module.handle(self.now, [ended])
        return True


@pytest.fixture(params=MODULES)
def lists(request):
    return Lists(MODULES[request.param])


def test_a_drain_of_a_node_that_was_up_has_half_of_the_grace(lists):
    lists.hear(api.ListKind.RESTORED, UP)
    assert lists.sends()
    lists.change(DRAINING, later_us=SECOND)
    assert lists.sends(HALF_US - 1)
    assert not lists.sends(1)


def test_a_second_drain_after_a_return_has_a_grace_of_its_own(lists):
    lists.hear(api.ListKind.FULL, UP)
    lists.change(DRAINING)
    lists.change(UP, later_us=5 * SECOND)
    lists.change(DRAINING, later_us=SECOND)
    assert lists.sends(HALF_US - 1)
    assert not lists.sends(1)


@pytest.mark.parametrize("kind", [api.ListKind.RESTORED, api.ListKind.FULL])
def test_a_drain_in_the_first_list_of_a_process_has_no_grace(lists, kind):
    if kind is api.ListKind.FULL:
        lists.hear(api.ListKind.RESTORED)
    lists.hear(kind, DRAINING)
    assert not lists.sends()


def test_a_drain_in_the_saved_list_and_in_the_first_answer_has_no_grace(lists):
    lists.hear(api.ListKind.RESTORED, DRAINING)
    lists.hear(api.ListKind.FULL, DRAINING, later_us=100 * MS)
    assert not lists.sends()
    lists.change(DRAINING, later_us=100 * MS)
    assert not lists.sends()


def test_a_drain_that_is_named_again_begins_no_new_grace(lists):
    lists.hear(api.ListKind.FULL, UP)
    lists.change(DRAINING)
    for kind in (api.ListKind.CHANGES, api.ListKind.FULL):
        lists.hear(kind, DRAINING, later_us=HALF_US // 2)
    assert not lists.sends()


def test_a_node_that_was_gone_and_is_listed_as_draining_has_no_new_grace(lists):
    lists.hear(api.ListKind.FULL, UP)
    lists.change(GONE)
    lists.change(DRAINING, later_us=HALF_US)
    assert not lists.sends()


def test_a_draining_node_that_leaves_and_returns_as_draining_has_no_new_grace(lists):
    lists.hear(api.ListKind.FULL, UP)
    lists.change(DRAINING)
    lists.change(GONE, later_us=HALF_US // 2)
    lists.change(DRAINING, later_us=HALF_US // 2)
    assert not lists.sends()


def test_a_node_that_was_forgotten_and_returns_as_draining_has_no_grace(lists):
    lists.hear(api.ListKind.FULL, UP)
    lists.sends()
    lists.change(GONE)
    for _ in range(3):
        lists.now += IDLE_STATE_US
        lists.module.handle(lists.now, [])
    lists.change(DRAINING)
    assert not lists.sends()


def test_a_drain_that_counted_before_it_was_received_has_what_is_left_of_its_grace(lists):
    lists.hear(api.ListKind.FULL, UP)
    lists.change(DRAINING, later_us=SECOND, announced_at=START_US + SECOND - HALF_US + 100 * MS)
    assert lists.sends(99 * MS)
    assert not lists.sends(1 * MS)


def test_a_node_that_leaves_a_full_list_and_returns_as_draining_has_no_new_grace(lists):
    lists.hear(api.ListKind.FULL, UP)
    lists.hear(api.ListKind.FULL, UP, node="n1")
    lists.hear(api.ListKind.FULL, DRAINING, later_us=HALF_US)
    assert not lists.sends()


def test_a_draining_node_that_moves_to_another_cell_begins_no_new_grace():
    lists = Lists(cell_scheduler)
    lists.hear(api.ListKind.FULL, UP)
    lists.change(DRAINING)
    for version, cell in ((2, "right"), (3, "left"), (4, "right")):
        lists.now += HALF_US // 2
        lists.module.apply_map(HeadCellMap(version, {0: cell}, {"v": cell}))
        lists.module.handle(lists.now, [])
    assert not lists.sends()
