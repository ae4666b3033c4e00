"""The retry queue: order, bounds, wrong hints, stalls."""

from hypothesis import given, settings, strategies as st

from harriertrack.decisions.retry_queue import RetryQueue, RetryRules, WaitMode, waits_in_head

MS = 1000
RULES = RetryRules(offers=1000, least_us=2 * MS, most_us=500 * MS)


def test_which_clients_wait():
    assert waits_in_head(WaitMode.BY_CLIENT, accepts_hints=False) and not waits_in_head(
        WaitMode.BY_CLIENT, accepts_hints=True
    )
    assert waits_in_head(WaitMode.WAIT, True) and not waits_in_head(WaitMode.REFUSE, False)


def test_the_oldest_of_a_lane_is_offered_after_its_hint_and_the_next_once_it_was_accepted():
    one = RetryQueue(RULES)
    one.add(0, "a", 1, ("v", 0, ""), 30 * MS)
    one.add(0, "b", 2, ("v", 0, ""))
    assert one.take_due(29 * MS) == [] and one.next_due_at(29 * MS) == 30 * MS
    assert one.take_due(30 * MS) == ["a"]
    assert one.take_due(30 * MS) == ["b"]  # a was not added again: it was accepted
    assert one.take_due(31 * MS) == [] and len(one) == 0 and one.next_due_at(31 * MS) is None


def test_a_request_refused_again_stays_first_and_those_behind_it_are_not_offered():
    one = RetryQueue(RULES)
    for ticket in range(5):
        one.add(0, ticket, ticket, ("v", 0, ""), 10 * MS if not ticket else None)
    assert one.take_due(10 * MS) == [0]
    one.add(10 * MS, 0, 0, ("v", 0, ""), 40 * MS)
    assert one.take_due(49 * MS) == [] and one.take_due(50 * MS) == [0] and one.take_due(50 * MS) == [1]


def test_a_lane_that_is_refused_does_not_delay_others():
    one = RetryQueue(RULES)
    one.add(0, "hung", 1, ("v", 0, ""), 500 * MS)
    one.add(0, "well", 2, ("v", 1, ""), 10 * MS)
    assert one.take_due(10 * MS) == ["well"]


def test_a_hint_that_is_too_short_is_doubled_and_one_that_is_too_long_is_cut():
    one, now, rests = RetryQueue(RULES), 0, []
    one.add(now, "a", 1, ("v", 0, ""), 0)
    for _ in range(12):
        at = one.next_due_at(now)
        rests.append(at - now)
        now = at
        assert one.take_due(now) == ["a"]
        one.add(now, "a", 1, ("v", 0, ""), 0)
    assert rests[:4] == [2 * MS, 4 * MS, 8 * MS, 16 * MS] and rests[-1] == 500 * MS
    other = RetryQueue(RULES)
    other.add(0, "a", 1, ("v", 0, ""), 10**9)
    assert other.next_due_at(0) == 500 * MS


def test_offers_go_round_robin_over_volumes():
    one = RetryQueue(RetryRules(offers=400, least_us=1, most_us=500 * MS))
    for ticket in range(40):
        one.add(0, ("flood", ticket), ticket, ("flood", ticket, ""), 0)
    one.add(0, ("calm", 0), 100, ("calm", 0, ""), 0)
    first = one.take_due(10)
    assert len(first) == 8 and ("calm", 0) in first[:2]
    assert [ticket for name, ticket in first if name == "flood"] == list(range(7))  # the oldest first


def test_the_rate_of_offers_is_bounded_also_after_a_stall():
    one = RetryQueue(RULES)
    for ticket in range(100_000):
        one.add(0, ticket, ticket, (f"v{ticket % 100}", ticket % 43, ""), 5 * MS if ticket < 4300 else None)
    now, offered = 5_000 * MS, 0  # the head was stalled for five seconds: everything is due
    assert len(one.take_due(now)) <= 20
    for _ in range(1000):
        now += MS
        found = one.take_due(now)
        offered += len(found)
        for ticket in found:
            one.add(now, ticket, ticket, (f"v{ticket % 100}", ticket % 43, ""), 5 * MS)
    assert 950 <= offered <= 1010 and len(one) >= 99_980


def test_with_late_outcomes_the_next_is_offered_after_the_outcome_time():
    one = RetryQueue(RULES, 10 * MS)
    one.add(0, "a", 1, ("v", 0, ""), 0)
    one.add(0, "b", 2, ("v", 0, ""))
    one.add(0, "c", 3, ("w", 0, ""), 5 * MS)
    assert one.take_due(2 * MS) == ["a"] and one.take_due(3 * MS) == [] and one.next_due_at(3 * MS) == 5 * MS
    assert one.take_due(5 * MS) == ["c"] and one.next_due_at(5 * MS) == 12 * MS
    one.add(8 * MS, "a", 1, ("v", 0, ""), 0)  # refused after all: its rest is doubled, and b waits too
    assert one.take_due(12 * MS) == ["a"] and one.take_due(22 * MS) == ["b"]


def test_discarded_items_are_not_offered_and_leave_no_state():
    one = RetryQueue(RULES)
    for ticket in range(1000):
        one.add(0, ticket, ticket, ("v", 0, ""), 0 if not ticket else None)
    for ticket in range(999):
        one.discard(ticket)
    assert len(one._lanes["v", 0, ""].heap) < 32
    assert one.take_due(2 * MS) == [999] and one.take_due(2 * MS) == [] and one.next_due_at(2 * MS) is None
    assert not one._lanes and not one._timers and not one._ready


@settings(max_examples=300, deadline=None)
@given(st.lists(st.tuples(st.sampled_from(["add", "refuse", "discard", "wait"]), st.integers(0, 5), st.integers(0, 60)),
                max_size=80))  # fmt: skip
def test_nothing_is_lost_or_offered_twice_and_lanes_keep_their_order(steps):
    one, now, ticket, waiting, taken = RetryQueue(RULES), 0, 0, {}, []
    for what, which, amount in steps:
        key = ("vw"[which % 2], which % 3, "")
        if what == "add":
            one.add(now, ticket, ticket, key, amount * MS)
            waiting[ticket] = key
            ticket += 1
        elif what == "discard" and waiting:
            discarded = sorted(waiting)[amount % len(waiting)]
            one.discard(discarded)
            del waiting[discarded]
        else:
            now += amount * MS
            for item in one.take_due(now):
                assert item == min(other for other, there in waiting.items() if there == waiting[item])
                if what == "refuse":
                    one.add(now, item, item, waiting[item], amount * MS)
                else:
                    taken.append(item)
                    del waiting[item]
    assert len(one) == len(waiting) and all(item in one for item in waiting)
    for _ in range(5000):
        if (at := one.next_due_at(now)) is None:
            break
        now = at
        taken += one.take_due(now)
    assert not len(one) and len(set(taken)) == len(taken) and set(waiting) <= set(taken)
