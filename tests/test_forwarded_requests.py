"""The ids of requests that reached a node: kept long enough, in a bounded number."""

import pytest
from hypothesis import given, strategies as st

from harriertrack.decisions.forwarded_requests import (
    KEPT_US,
    MAX_IDS,
    MIN_IDS,
    ForwardedRequests,
    forwarded_ids,
)

SHORTEST_US = 3_000_000


def identity(number):
    return number.to_bytes(8, "big")


@given(
    st.lists(st.tuples(st.integers(0, 2 * SHORTEST_US), st.integers(1, 4)), max_size=200), st.integers(1, 40)
)
def test_no_id_is_forgotten_before_its_time_and_their_number_is_bounded(steps, limit):
    """Guards against a flood of requests that makes a head forget what it has sent."""
    forwarded, now, added = ForwardedRequests(limit, SHORTEST_US), 0, {}
    for number, (gap, asked) in enumerate(steps):
        now += gap
        if not any([forwarded.is_full(now) for _ in range(asked)]):  # several come before the first is sent
            forwarded.add(identity(number), now)
            added[number] = now
        assert len(forwarded) <= limit + 1
        for one, at in added.items():
            assert identity(one) in forwarded or now - at >= SHORTEST_US


def test_requests_that_come_before_the_first_of_a_new_generation_is_sent_make_nothing_forgotten():
    """Guards against a generation that ends twice, and takes ids with it that were added just before."""
    forwarded = ForwardedRequests(MIN_IDS, SHORTEST_US)
    forwarded.add(identity(1), 0)
    forwarded.add(identity(2), KEPT_US - 1)
    for later_us in range(5):
        assert not forwarded.is_full(KEPT_US + later_us)
        assert identity(1) in forwarded and identity(2) in forwarded


def test_ids_are_kept_for_a_generation_where_there_is_room_and_dropped_after_two():
    forwarded = ForwardedRequests(MIN_IDS, SHORTEST_US)
    forwarded.add(identity(1), 0)
    assert not forwarded.is_full(KEPT_US - 1) and identity(1) in forwarded
    assert not forwarded.is_full(KEPT_US) and identity(1) in forwarded
    forwarded.add(identity(2), KEPT_US)
    assert not forwarded.is_full(2 * KEPT_US)
    assert identity(1) not in forwarded and identity(2) in forwarded


@pytest.mark.parametrize(
    ("memory_mb", "ids"), [(1, MIN_IDS), (8, MIN_IDS), (32, 21_845), (192, 131_072), (2048, MAX_IDS)]
)
def test_the_number_of_ids_follows_the_memory(memory_mb, ids):
    assert forwarded_ids(memory_mb << 20) == ids
