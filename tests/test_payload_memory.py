"""Which requests and answers are given up when a head holds too many bytes of them."""

import random

import pytest

from harriertrack.decisions.payload_memory import MemoryBudget, MemoryLimits

MIB = 1 << 20


class Connection:
    """Holds payload, and counts what it holds itself."""

    def __init__(self, budget):
        self.budget, self.received, self.given_up = budget, 0, False

    def give_up(self):
        self.given_up, self.received = True, 0
        self.budget.release(self)


def received(budget, *sizes):
    """Return connections that have received so many bytes in part."""
    connections = [Connection(budget) for _ in sizes]
    for connection, size in zip(connections, sizes, strict=True):
        assert budget.receive(connection, size) is None
    return connections


def test_within_its_limit_nothing_is_given_up():
    budget = MemoryBudget(100)
    received(budget, 40, 60)
    assert (budget.held_bytes, budget.given_up) == (100, 0)


@pytest.mark.parametrize(("sizes", "chosen"), [((30, 50, 20), 1), ((45, 10, 45), 0), ((1, 1, 98), 2)])
def test_the_longest_is_given_up_and_of_equals_the_first(sizes, chosen):
    budget = MemoryBudget(100)
    connections = received(budget, *sizes)
    assert budget.receive(Connection(budget), 1) is connections[chosen]


def test_what_is_whole_is_kept_and_what_is_not_gives_way_to_it():
    budget = MemoryBudget(100)
    whole, partial = received(budget, 60, 10)
    assert budget.complete(whole, 20) is None
    assert budget.complete(Connection(budget), 30) is partial
    partial.give_up()
    assert budget.held_bytes == 110


def test_a_newcomer_is_turned_away_where_all_else_is_whole():
    budget = MemoryBudget(100)
    (whole,) = received(budget, 90)
    assert budget.complete(whole, 5) is None
    newcomer = Connection(budget)
    assert budget.complete(newcomer, 10) is newcomer
    newcomer.give_up()
    newcomer = Connection(budget)
    assert budget.receive(newcomer, 10) is newcomer


def test_bytes_that_wait_to_be_sent_are_never_given_up():
    budget = MemoryBudget(100)
    slow, partial = Connection(budget), Connection(budget)
    budget.hold(slow, 95)
    assert budget.receive(partial, 10) is partial
    budget.release(slow)
    assert budget.held_bytes == 10


def test_releasing_twice_counts_once():
    budget = MemoryBudget(100)
    one, other = received(budget, 30, 40)
    budget.release(one)
    budget.release(one)
    assert budget.held_bytes == 40
    budget.hold(other, 10)
    assert budget.held_bytes == 10


@pytest.mark.parametrize("seed", range(20))
def test_bytes_received_in_part_never_stay_over_the_limit(seed):
    """Guards against bytes that are counted twice, or not any more while they are held."""
    rng, budget = random.Random(seed), MemoryBudget(1_000_000)
    connections = [Connection(budget) for _ in range(30)]
    for _ in range(3_000):
        connection, size = rng.choice(connections), rng.randrange(1, 65_536)
        if rng.random() < 0.1:
            connection.received = 0
            budget.release(connection)
        elif not connection.given_up:
            connection.received += size
            if (victim := budget.receive(connection, size)) is not None:
                victim.give_up()
        else:
            connection.given_up = False
        assert budget.held_bytes == sum(one.received for one in connections) <= 1_000_000


@pytest.mark.parametrize("memory_mib", [32, 40, 48, 64, 80, 96, 192, 2048])
def test_limits_leave_room_for_the_process_and_for_copies(memory_mib):
    limits = MemoryLimits.of_process(memory_mib * MIB)
    payload = limits.requests + limits.answers
    assert payload <= max(3 * MIB, (memory_mib - 32) * MIB // 2)
    assert limits.answer <= limits.answers
    assert limits.requests >= 16 * 65_536
    assert limits.node_list == min(4, max(1, memory_mib // 32)) * MIB or memory_mib % 32
