"""Whether the history of one block can be explained by one order of its operations (linearizability).

A block is a register: a write sets a value that no other write sets, a read returns one. An operation takes
effect at one moment between its call and its return; a write without a certain outcome may take effect at any
time after its call, or never. The search is that of Wing and Gong ("Testing and Verifying Concurrent
Objects", 1993) with the memory of visited states that Lowe added ("Testing for linearizability", 2017).
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

from harriertrack.rules import recording as rec

NEVER = 1 << 62


@dataclass(frozen=True, slots=True)
class Operation:
    """One operation on a block: a write of `value`, or a read that returned it."""

    called: int
    returned: int  # NEVER for a write whose outcome is not certain
    is_write: bool
    value: int
    who: str = ""


def linearizable(operations: Iterable[Operation], initial: int = 0) -> bool:
    """Return whether some order explains all operations; writes that did not return may be left out."""
    todo = sorted(operations, key=lambda one: (one.called, one.returned))
    certain = [at for at, one in enumerate(todo) if one.returned < NEVER]
    # The search goes by sets of operations done, as bits, and the value they left.
    stack: list[tuple[int, int]] = [(0, initial)]
    seen = {(0, initial)}
    all_certain = sum(1 << at for at in certain)
    while stack:
        done, value = stack.pop()
        if done & all_certain == all_certain:
            return True
        # Nothing may go first that was called after another one returned.
        first_return = min(todo[at].returned for at in certain if not done >> at & 1)
        for at, one in enumerate(todo):
            if one.called > first_return:
                break
            if done >> at & 1 or (not one.is_write and one.value != value):
                continue
            state = (done | 1 << at, one.value if one.is_write else value)
            if state not in seen:
                seen.add(state)
                stack.append(state)
    return False


def histories(records: Iterable[rec.Record]) -> dict[tuple[str, int], list[Operation]]:
    """Gather the operations on each block of a recording's register clients."""
    called: dict[tuple[str, int], rec.OperationCalled] = {}
    blocks: dict[tuple[str, int], list[Operation]] = defaultdict(list)
    for record in records:
        if isinstance(record, rec.OperationCalled):
            called[record.client, record.number] = record
        elif isinstance(record, rec.OperationReturned):
            call = called.pop((record.client, record.number))
            if record.certain:
                value = call.value if call.is_write else record.value
                blocks[call.volume, call.block].append(
                    Operation(call.t, record.t, call.is_write, value, record.client)
                )
            elif call.is_write and not record.refused:
                blocks[call.volume, call.block].append(
                    Operation(call.t, NEVER, True, call.value, record.client)
                )
    for call in called.values():
        if call.is_write:
            blocks[call.volume, call.block].append(Operation(call.t, NEVER, True, call.value, call.client))
    return blocks


def broken_blocks(records: Iterable[rec.Record]) -> list[tuple[str, int]]:
    """Return the blocks whose history no order explains."""
    return [block for block, operations in histories(records).items() if not linearizable(operations)]
