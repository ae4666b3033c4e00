"""The door of a head: bounds of connections, volumes, cells and the head, and who comes in next."""

import random

from harriertrack.decisions.admission import Admission, ConnectionBounds, WaitingRequest
from harriertrack.decisions.shares import ShareLimits, Shares

CELLS = {"a": "one", "b": "one", "c": "one"}


def door(held=12, held_bytes=1 << 30, requests=100, request_bytes=1 << 30, cells=CELLS):
    return Admission(
        ConnectionBounds(requests, request_bytes), Shares(ShareLimits(8, held, held_bytes), cells)
    )


def test_a_connection_at_its_own_bound_stands_aside_and_its_volume_goes_on():
    one = door(requests=2)
    assert one.admit_or_queue(0, WaitingRequest("x", "a", 0), False) and one.admit_or_queue(
        0, WaitingRequest("x", "a", 0), False
    )
    assert not one.admit_or_queue(0, WaitingRequest("x", "a", 0), False)
    assert one.admit_or_queue(0, WaitingRequest("y", "a", 0), False)
    assert one.admit_waiting(0, 10) == []
    one.release("x", "a", 0)
    assert [found.connection for found in one.admit_waiting(0, 10)] == ["x"] and len(one) == 0


def test_bytes_are_bounded_and_one_request_always_fits():
    one = door(request_bytes=1000, held_bytes=10_000)
    assert one.admit_or_queue(0, WaitingRequest("x", "a", 5000), False)  # larger than the bound, but alone
    assert not one.admit_or_queue(0, WaitingRequest("x", "a", 1), False)
    one.release("x", "a", 5000)
    assert len(one.admit_waiting(0, 1)) == 1


def test_a_flooding_volume_leaves_as_much_room_as_it_has():
    one = door(held=12)
    inside = sum(one.admit_or_queue(0, WaitingRequest(f"x{number}", "a", 0), False) for number in range(20))
    assert inside == 6 and len(one) == 14
    assert one.admit_or_queue(0, WaitingRequest("y", "b", 0), False)  # its neighbour finds room at once
    alone = door(held=12, cells={"a": "one"})
    assert (
        sum(alone.admit_or_queue(0, WaitingRequest(f"x{number}", "a", 0), False) for number in range(20))
        == 12
    )


def test_volumes_take_turns_and_are_first_in_first_out_inside():
    one, inside, came = door(held=4), [], []
    for volume in "ab":
        for number in range(6):
            entrant = WaitingRequest(f"{volume}{number}", volume, 0)
            if one.admit_or_queue(0, entrant, False):
                inside.append(entrant)
    while inside:
        gone = inside.pop(0)
        one.release(gone.connection, gone.volume, 0)
        found = one.admit_waiting(0, 1)
        came += [entrant.connection for entrant in found]
        inside += found
    assert len(one) == 0 and [name for name in came if name[0] == "a"] == [f"a{at}" for at in range(2, 6)]
    assert [name for name in came if name[0] == "b"] == [f"b{at}" for at in range(1, 6)]
    assert (
        max(
            len(run)
            for run in "".join(name[0] for name in came).replace("ab", "a b").replace("ba", "b a").split()
        )
        < 4
    )


def test_who_is_refused_at_a_bound_is_not_counted():
    one = door(held=2, cells={"a": "one"})
    assert [one.try_admit(0, "x", "a", 0) for _ in range(3)] == ["", "", "its cell has too much open here"]
    one.release("x", "a", 0)
    assert one.try_admit(0, "x", "a", 0) == ""
    assert door(requests=1).try_admit(0, "x", "a", 0) == ""


def test_counts_come_back_to_nothing_whatever_happens():
    draw, one = random.Random(5), door(held=9, held_bytes=4000, requests=3, request_bytes=2000)
    inside, outside = [], []
    for _ in range(5000):
        step = draw.random()
        busy = {entrant.connection for entrant in outside}
        free = [name for name in map(str, range(10)) if name not in busy]
        if step < 0.5 and free:
            entrant = WaitingRequest(draw.choice(free), draw.choice("abc"), draw.randrange(1500))
            (inside if one.admit_or_queue(0, entrant, draw.random() < 0.1) else outside).append(entrant)
        elif step < 0.6 and outside:
            one.discard(outside.pop(draw.randrange(len(outside))))
        elif inside:
            gone = inside.pop(draw.randrange(len(inside)))
            one.release(gone.connection, gone.volume, gone.size)
            for entrant in one.admit_waiting(0, draw.randrange(3)):
                outside.remove(entrant)
                inside.append(entrant)
        assert len(one) == len(outside)
    for gone in inside:
        one.release(gone.connection, gone.volume, gone.size)
    while found := one.admit_waiting(0, 100):
        for entrant in found:
            outside.remove(entrant)
            one.release(entrant.connection, entrant.volume, entrant.size)
    assert not outside and len(one) == 0 and not one._held
    assert all(not used.held and not used.held_bytes for used in one.shares._by_volume.values())
