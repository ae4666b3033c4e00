"""The project's extension of NBD between heads and storage nodes, negotiated as a meta context.

A head asks for `x-harriertrack:node1/HEAD` (HEAD: 16 hex digits, drawn anew at each start of the head). A
plain server does not know the namespace and answers with no context, as the specification asks, and nothing
below applies. A node that selects it promises:

- cookies: the upper 56 bits are the key of a request, the lower 8 the number of the attempt. Of writes of one
  head with one key, the node's rack runs at most one within its window, and answers the others as done;
- an error chunk of type ERROR_UNSEEN proves that the request never ran;
- a REPORT chunk may precede the last chunk of a reply;
- the command CANCEL with a cookie calls that attempt off. It has no reply of its own.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass

NAMESPACE = "x-harriertrack:"
NODE_CONTEXT = NAMESPACE + "node1/"
ATTEMPT_BITS = 8
_REPORT = struct.Struct(">IdH")


def context_of(head: int) -> str:
    """Name the context that a head asks for."""
    return f"{NODE_CONTEXT}{head:016x}"


def head_of(context: str) -> int | None:
    """Read the head's number from a context's name; None if the name is not one of ours."""
    digits = context.removeprefix(NODE_CONTEXT)
    if digits == context or len(digits) != 16:
        return None
    try:
        return int(digits, 16)
    except ValueError:
        return None


def cookie_of(key: int, attempt: int) -> int:
    """Make the cookie of an attempt. Raises ValueError where a number does not fit its bits."""
    if not 0 <= key < 1 << 56 or not 0 <= attempt < 1 << ATTEMPT_BITS:
        raise ValueError(f"no cookie for key {key}, attempt {attempt}")
    return key << ATTEMPT_BITS | attempt


def split_cookie(cookie: int) -> tuple[int, int]:
    """Return a cookie's key and attempt."""
    return cookie >> ATTEMPT_BITS, cookie & ((1 << ATTEMPT_BITS) - 1)


@dataclass(frozen=True, slots=True)
class Report:
    """What a node tells beside an answer: the volume's meter, its service through other heads, its load."""

    used_percent: int = 0
    elsewhere: float = 0.0
    load: tuple[float, ...] = ()

    def pack(self) -> bytes:
        """Write the chunk's payload."""
        head = _REPORT.pack(self.used_percent, self.elsewhere, len(self.load))
        return head + struct.pack(f">{len(self.load)}d", *self.load)

    @classmethod
    def unpack(cls, data: bytes) -> Report:
        """Read a chunk's payload. Raises ValueError if it is no report."""
        if len(data) < _REPORT.size:
            raise ValueError("report cut short")
        used, elsewhere, count = _REPORT.unpack_from(data)
        if count > 16 or len(data) != _REPORT.size + 8 * count:
            raise ValueError("report of a wrong length")
        return cls(used, elsewhere, struct.unpack_from(f">{count}d", data, _REPORT.size))
