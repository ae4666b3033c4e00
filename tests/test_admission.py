"""Admission to a head: bounds of connections, volumes, cells and the head, and the order of admission."""

import random

from harriertrack.decisions.admission import Admission, ConnectionBounds, WaitingRequest
from harriertrack.decisions.shares import ShareLimits, Shares

CELLS = {"a": "one", "b": "one", "c": "one"}


def admission(held=12, held_bytes=1 << 30, requests=100, request_bytes=1 << 30, cells=CELLS):
    return Admission(
        ConnectionBounds(requests, request_bytes), Shares(ShareLimits(8, held, held_bytes), cells)
    )


def test_a_connection_at_its_own_bound_does_not_hold_up_its_volume():
    one = admission(requests=2)
    assert one.admit_or_queue(0, WaitingRequest("x", "a", 0), False) and one.admit_or_queue(
        0, WaitingRequest("x", "a", 0), False
    )
    assert not one.admit_or_queue(0, WaitingRequest("x", "a", 0), False)
    assert one.admit_or_queue(0, WaitingRequest("y", "a", 0), False)
    assert one.admit_waiting(0, 10) == []
    one.release("x", "a", 0)
    assert [found.connection for found in one.admit_waiting(0, 10)] == ["x"] and len(one) == 0


def test_ordered_requests_of_a_volume_never_overtake_one_that_waits():
    """Guards against a later write that runs first because an earlier one waits for its connection's bound."""

    def ask(connection):
        return one.admit_or_queue(0, WaitingRequest(connection, "a", 0, is_ordered=True), False)

    one = admission(requests=1)
    assert ask("x") and not ask("x") and not ask("y") and not ask("z")
    assert one.admit_or_queue(0, WaitingRequest("u", "b", 0, is_ordered=True), False)  # of another volume
    assert one.try_admit(0, "v", "a", 0, is_ordered=True) and not one.try_admit(0, "v", "a", 0)
    assert one.admit_waiting(0, 10) == []
    one.release("x", "a", 0)
    assert [found.connection for found in one.admit_waiting(0, 10)] == ["x", "y", "z"] and not len(one)


def test_bytes_are_bounded_and_one_request_always_fits():
    one = admission(request_bytes=1000, held_bytes=10_000)
    assert one.admit_or_queue(0, WaitingRequest("x", "a", 5000), False)  # larger than the bound, but alone
    assert not one.admit_or_queue(0, WaitingRequest("x", "a", 1), False)
    one.release("x", "a", 5000)
    assert len(one.admit_waiting(0, 1)) == 1


def test_a_flooding_volume_leaves_as_much_capacity_as_it_has():
    one = admission(held=12)
    admitted = sum(one.admit_or_queue(0, WaitingRequest(f"x{number}", "a", 0), False) for number in range(20))
    assert admitted == 6 and len(one) == 14
    assert one.admit_or_queue(0, WaitingRequest("y", "b", 0), False)  # its neighbour finds capacity at once
    alone = admission(held=12, cells={"a": "one"})
    assert (
        sum(alone.admit_or_queue(0, WaitingRequest(f"x{number}", "a", 0), False) for number in range(20))
        == 12
    )


def test_volumes_are_served_round_robin_and_each_in_order():
    one, admitted, order = admission(held=4), [], []
    for volume in "ab":
        for number in range(6):
            request = WaitingRequest(f"{volume}{number}", volume, 0)
            if one.admit_or_queue(0, request, False):
                admitted.append(request)
    while admitted:
        finished = admitted.pop(0)
        one.release(finished.connection, finished.volume, 0)
        found = one.admit_waiting(0, 1)
        order += [request.connection for request in found]
        admitted += found
    assert len(one) == 0 and [name for name in order if name[0] == "a"] == [f"a{at}" for at in range(2, 6)]
    assert [name for name in order if name[0] == "b"] == [f"b{at}" for at in range(1, 6)]
    assert (
        max(
            len(run)
            for run in "".join(name[0] for name in order).replace("ab", "a b").replace("ba", "b a").split()
        )
        < 4
    )


def test_a_refused_request_is_not_counted():
    one = admission(held=2, cells={"a": "one"})
    assert [one.try_admit(0, "x", "a", 0) for _ in range(3)] == ["", "", "its cell has too much open here"]
    one.release("x", "a", 0)
    assert one.try_admit(0, "x", "a", 0) == ""
    assert admission(requests=1).try_admit(0, "x", "a", 0) == ""


def test_counts_return_to_zero_after_random_sequences():
    draw, one = random.Random(5), admission(held=9, held_bytes=4000, requests=3, request_bytes=2000)
    admitted, waiting = [], []
    for _ in range(5000):
        step = draw.random()
        busy = {request.connection for request in waiting}
        free = [name for name in map(str, range(10)) if name not in busy]
        if step < 0.5 and free:
            request = WaitingRequest(draw.choice(free), draw.choice("abc"), draw.randrange(1500))
            (admitted if one.admit_or_queue(0, request, draw.random() < 0.1) else waiting).append(request)
        elif step < 0.6 and waiting:
            one.discard(waiting.pop(draw.randrange(len(waiting))))
        elif admitted:
            finished = admitted.pop(draw.randrange(len(admitted)))
            one.release(finished.connection, finished.volume, finished.size)
            for request in one.admit_waiting(0, draw.randrange(3)):
                waiting.remove(request)
                admitted.append(request)
        assert len(one) == len(waiting)
    for finished in admitted:
        one.release(finished.connection, finished.volume, finished.size)
    while found := one.admit_waiting(0, 100):
        for request in found:
            waiting.remove(request)
            one.release(request.connection, request.volume, request.size)
    assert not waiting and len(one) == 0 and not one._open
    assert all(not used.held and not used.held_bytes for used in one.shares._by_volume.values())
