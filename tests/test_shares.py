"""Shares of a head's resources between cells: equal shares, the pool, the processor; and heads that use them."""

import random

import pytest
from hypothesis import given, settings, strategies as st

from harriertrack.config.settings import LimitSettings
from harriertrack.decisions.shares import READ_PAUSE_US, REFUSAL_COST, TARGET_LOAD, ShareLimits, Shares
from harriertrack.gateway.client import NbdClientError
from harriertrack.protocol.nbd.wire import Command

from test_head import EXTENT, play
from test_moving import MAP, MOVES

CELLS = {"a1": "a", "a2": "a", "b": "b"}
SECOND = 1_000_000


def shares(borrow=0.0, cells=CELLS):
    return Shares(ShareLimits(connections=8, held=10, held_bytes=1000, borrow=borrow), cells)


def test_a_cell_gets_its_share_and_no_more():
    one = shares()
    assert [one.try_connect(name) for name in ("a1", "a2", "a1", "a2", "a1")] == [True] * 4 + [False]
    assert [one.try_connect("b") for _ in range(5)] == [True] * 4 + [False]
    one.disconnect("a2")
    assert one.try_connect("a1") and not one.try_connect("a1")
    assert [one.admit("a1", 0, 0) for _ in range(5)] == [""] * 5 and "too much open" in one.admit("a2", 0, 0)
    assert [one.admit("b", 0, 0) for _ in range(5)] == [""] * 5
    one.release("a1", 0)
    assert one.admit("a2", 0, 0) == "" and one.refused == {"a": 1}


def test_bytes_count_too_and_one_request_always_fits():
    one = shares()
    assert one.admit("a1", 5000, 0) == "" and "bytes" in one.admit("a2", 1, 0)
    assert one.admit("b", 500, 0) == "" and "bytes" in one.admit("b", 1, 0)
    one.release("a1", 5000)
    assert one.admit("a2", 500, 0) == ""


def test_the_pool_is_first_come_first_served_and_bounded():
    one = shares(borrow=0.5)  # shares of 2, a pool of 4
    assert [one.try_connect("a1") for _ in range(7)] == [True] * 6 + [False]
    # Its own share is available, the pool is empty.
    assert [one.try_connect("b") for _ in range(3)] == [True, True, False]
    one.disconnect("a1")
    assert one.try_connect("b")


def test_without_cells_there_is_one_share_and_the_processor_is_not_divided():
    one = shares(cells=dict.fromkeys(CELLS, ""))
    assert [one.try_connect(name) for name in ("a1", "a2", "b") * 3] == [True] * 8 + [False]
    for now in range(0, 10 * SECOND, SECOND // 10):
        one.admit("a1", 0, now)
        one.release("a1", 0)
        one.update_load(now, 1.0)
    assert one.admit("a1", 0, 10 * SECOND) == "" and not one.read_pause_us("a1", 10 * SECOND)


def test_the_usage_of_a_volume_moves_with_it_to_its_new_cell():
    one = shares()
    for _ in range(3):
        assert one.try_connect("a1") and one.admit("a1", 10, 0) == ""
    one.update_cells({**CELLS, "a1": "b"})
    assert one.try_connect("b") and not one.try_connect("b")  # 3 of 4 came with the volume
    assert [one.try_connect("a2") for _ in range(5)] == [True] * 4 + [False]
    for _ in range(3):
        one.disconnect("a1")
        one.release("a1", 10)
    assert [one.try_connect("b") for _ in range(4)] == [True] * 3 + [False]


@given(st.lists(st.tuples(st.sampled_from([*CELLS, "elsewhere"]), st.integers(0, 400), st.booleans()), max_size=80),
       st.sampled_from([0.0, 0.3, 1.0]))  # fmt: skip
@settings(max_examples=80, deadline=None)
def test_the_total_is_never_exceeded_and_a_cell_can_always_use_its_own_share(requests, borrow):
    one, open_sizes = shares(borrow), {}
    for volume, size, ends in requests:
        if ends and open_sizes.get(volume):
            one.release(volume, open_sizes[volume].pop())
        elif one.admit(volume, size, 0) == "":
            open_sizes.setdefault(volume, []).append(size)
    held = {
        cell: sum(len(open_sizes.get(name, ())) for name in CELLS if CELLS[name] == cell) for cell in "ab"
    }
    assert sum(held.values()) <= 10
    share = (10 - int(10 * borrow)) // 2
    for volume, cell in (("a1", "a"), ("b", "b")):
        # Except for bytes, a cell below its share is always served.
        assert (
            held[cell] >= share
            or "open here" not in one.admit(volume, 0, 0)
            or sum(open_sizes.get(volume, ())) > 0
        )


class Loop:
    """A head's loop with a capacity of `capacity` requests a second; each cell sends requests at its own rate.

    Requests that it has not read yet wait in the sockets, whose capacity is limited.
    """

    SOCKETS = 4_000

    def __init__(self, capacity, **rates):
        self.capacity, self.rates, self.random = capacity, rates, random.Random(1)
        self.one = shares(cells={name: name for name in rates})
        self.waiting = dict.fromkeys(rates, 0)
        self.now = 0
        self.reset_counts()

    def reset_counts(self):
        """Restart the counts."""
        self.sent = dict.fromkeys(self.rates, 0)
        self.served = dict.fromkeys(self.rates, 0)

    def run(self, seconds):
        """Run in ticks of 100 ms; the loop reads from cells with waiting requests, in random order."""
        for _ in range(seconds * 10):
            for name, rate in self.rates.items():
                more = min(rate // 10, self.SOCKETS - self.waiting[name])
                self.waiting[name] += more
                self.sent[name] += more
            left = tick = self.capacity / 10
            while left > 0:
                at = self.now + int(100_000 * (1 - left / tick))
                names = [
                    name
                    for name, count in self.waiting.items()
                    if count and not self.one.read_pause_us(name, at)
                ]
                if not names:
                    break
                name = self.random.choice(names)
                self.waiting[name] -= 1
                refused = self.one.admit(name, 0, at)
                left -= REFUSAL_COST if refused else 1.0
                if not refused:
                    self.served[name] += 1
                    self.one.release(name, 0)
            self.now += 100_000
            self.one.update_load(self.now, 1 - max(0.0, left) / tick)


def test_a_flood_gets_its_share_of_the_processor_and_the_other_cell_is_never_refused():
    loop = Loop(10_000, flood=40_000, calm=2_000)
    loop.run(3)
    assert loop.served["flood"] and loop.one.overloaded
    loop.reset_counts()
    loop.run(10)
    assert loop.served["calm"] == loop.sent["calm"] == 20_000 and not loop.waiting["calm"]
    assert 0.3 * 100_000 < loop.served["flood"] < TARGET_LOAD / 2 * 100_000 * 1.1
    assert set(loop.one.refused) == {"flood"}


def test_two_floods_get_equal_shares():
    loop = Loop(10_000, one=30_000, other=60_000)
    loop.run(10)
    assert loop.served["one"] == pytest.approx(loop.served["other"], rel=0.1)
    assert loop.served["one"] > 0.2 * 100_000


def test_a_loop_with_spare_time_is_not_divided():
    loop = Loop(100_000, flood=40_000, calm=2_000)
    loop.run(5)
    assert loop.served == loop.sent and loop.one.refused == {} and not loop.one.overloaded


def test_after_a_flood_the_processor_is_no_longer_divided():
    loop = Loop(10_000, flood=40_000, calm=2_000)
    loop.run(5)
    loop.rates["flood"] = 3_000
    loop.run(2)
    refused = dict(loop.one.refused)
    loop.run(3)
    assert loop.one.refused == refused and not loop.one.overloaded


def test_a_cell_with_far_too_many_requests_is_not_read_from_for_a_while():
    one = shares(cells={"flood": "flood", "calm": "calm"})
    now = 0
    for _ in range(3):
        for _ in range(200):
            if one.admit("flood", 0, now) == "":
                one.release("flood", 0)
        now += 100_000
        one.update_load(now, 1.0)
    for _ in range(2000):
        if one.admit("flood", 0, now) == "":
            one.release("flood", 0)
    assert one.read_pause_us("flood", now) == READ_PAUSE_US and one.read_pause_us("calm", now) == 0
    assert one.admit("calm", 0, now) == ""


# -- heads


@pytest.fixture
def two_cells(tmp_path):
    """A head with two cells: `disk` in one, `shared` in the other, eight connections."""
    path = tmp_path / "map.sexp"
    path.write_text(MAP.replace("VERSION", "1").replace("HERE", "right"))
    limits = LimitSettings(connections=8, held=8, held_bytes=4 * EXTENT, handshake_us=500_000)
    return dict(nodes=4, cell_map=str(path), classes=MOVES, limits=limits)


def test_connections_of_one_cell_do_not_lock_out_another(two_cells):
    def test(site):
        # Of 8, a quarter is for connections that have not chosen a volume yet; 3 are left for each cell.
        clients = [site.client() for _ in range(3)]
        with pytest.raises((OSError, NbdClientError)):
            site.client().call(Command.READ, 0, 512)
        assert site.client("shared").call(Command.READ, 0, 512).error == 0
        assert ("client turned away", "too many connections of its cell") in [
            (event, more.get("why")) for event, more in site.notes
        ]
        clients[0].close()
        site.hub.sleep(50_000)
        assert site.client().call(Command.READ, 0, 512).error == 0

    play(test, **two_cells)


def test_connections_that_choose_no_volume_leave_capacity_for_others(two_cells):
    def test(site):
        idle = [site.net.connect(site.head.address) for _ in range(6)]
        site.hub.sleep(50_000)
        assert site.head.reception.sessions == 2  # the others were closed at once
        site.hub.sleep(600_000)  # the handshakes of these took too long
        assert site.head.reception.sessions == 0
        assert [site.client(name).call(Command.READ, 0, 512).error for name in ("disk", "shared")] == [0, 0]
        assert idle

    play(test, **two_cells)


def test_open_requests_and_bytes_of_one_cell_leave_the_share_of_another(two_cells):
    def test(site):
        first, second = site.client(), site.client("shared")
        for shelf in site.shelves:
            shelf.pause(700_000)
        replies = []
        for number in range(6):
            first.start(Command.WRITE, number * EXTENT, 0, bytes(EXTENT), replies.append)
        site.hub.sleep(100_000)
        assert [reply.message for reply in replies] == [
            "refused: not done; its cell has too many bytes open here"
        ] * 4
        second.start(Command.WRITE, 0, 0, bytes(EXTENT), replies.append)
        site.hub.sleep(100_000)
        assert len(replies) == 4  # accepted
        site.hub.sleep(2_000_000)
        assert len(replies) == 7 and [reply.error for reply in replies[4:]] == [0, 0, 0]
        used = site.head.reception.shares._cells
        assert {cell: (one.used.held, one.used.held_bytes) for cell, one in used.items()} == {
            "left": (0, 0), "right": (0, 0)}  # fmt: skip
        # A client that disconnects with open requests releases its share, too.
        for shelf in site.shelves:
            shelf.pause(700_000)
        first.start(Command.WRITE, 0, 0, bytes(512), replies.append)
        site.hub.sleep(1_000)
        assert used["right"].used.held == 1
        first.abort()
        site.hub.sleep(20_000)
        assert used["right"].used.held == used["right"].used.held_bytes == used["right"].used.connections == 0

    play(test, **two_cells)
