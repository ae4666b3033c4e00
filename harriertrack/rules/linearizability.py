"""Checks the operations on each block for linearizability.

A block is a register: each write sets a value that no other write sets, a read returns a value. An operation
takes effect at one moment between its call and its return; a write of unknown outcome may take effect at any
time after its call, or never. The search is that of Wing and Gong ("Testing and Verifying Concurrent
Objects", 1993) with the cache of visited states that Lowe added ("Testing for linearizability", 2017).
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
    returned: int  # NEVER for a write of unknown outcome
    is_write: bool
    value: int
    who: str = ""


def linearizable(operations: Iterable[Operation], initial: int = 0) -> bool:
    """Return whether some order explains all operations; writes of unknown outcome may be omitted."""
    pending = sorted(operations, key=lambda operation: (operation.called, operation.returned))
    certain = [index for index, operation in enumerate(pending) if operation.returned < NEVER]
    # A state of the search: the operations applied, as a bit set, and the resulting value.
    stack: list[tuple[int, int]] = [(0, initial)]
    seen = {(0, initial)}
    certain_bits = sum(1 << index for index in certain)
    while stack:
        applied, value = stack.pop()
        if applied & certain_bits == certain_bits:
            return True
        # An operation called after another one returned can't be applied before it.
        first_return = min(pending[index].returned for index in certain if not applied >> index & 1)
        for index, operation in enumerate(pending):
            if operation.called > first_return:
                break
            if applied >> index & 1 or (not operation.is_write and operation.value != value):
                continue
            state = (applied | 1 << index, operation.value if operation.is_write else value)
            if state not in seen:
                seen.add(state)
                stack.append(state)
    return False


def histories(records: Iterable[rec.Record]) -> dict[tuple[str, int], list[Operation]]:
    """Collect the operations on each block that the register clients of a recording did."""
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
    """Return the blocks whose history is not linearizable."""
    return [block for block, operations in histories(records).items() if not linearizable(operations)]
