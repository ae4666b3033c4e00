"""The project's extension of NBD between heads and storage nodes, negotiated as a meta context.

A head asks for `x-harriertrack:node1/HEAD` (HEAD: 16 hex digits, drawn anew at each start of the head). A
plain server does not know the namespace and answers with no context, as the specification asks, and nothing
below applies. A node that selects it promises:

- cookies: the upper 56 bits are the key of a request, the lower 8 the number of the attempt. Of writes of one
  head with one key, the node's rack runs at most one within its window, and answers the others as done;
- an error chunk of type ERROR_UNSEEN proves that the request never ran;
- a REPORT chunk may precede the last chunk of a reply;
- the command CANCEL with a cookie calls that attempt off. It has no reply of its own.

A volume of two regions adds an epoch, that of its lease: `node1/HEAD/EPOCH`. A node turns down, as never run,
what comes under an older epoch than the highest it has seen for the volume.

Between the heads of two regions there are two more contexts. `relay1/HEAD` passes clients' requests on to the
holder of the volume's lease; `copy1/HEAD/EPOCH` carries the holder's writes to the copy. On both

- the upper ten bits of a request's flags name the newest tick that the sender had of the receiver (the
  receiver turns down, as never run, what names one that is too old);
- the command TICK asks for the present tick, which comes in a REPORT chunk as its first load value;
- the command DIGEST asks for the 64-bit XXH3 of a range; its upper and lower half come as two load values;
- where a volume's bytes were ever purged at a close, the generation of those that the sender has follows:
  `copy1/HEAD/EPOCH/GENERATION`, and `relay1/HEAD/0/GENERATION` for a connection that is for catching up. What
  another generation's bytes would come of is turned down as never run;
- BLOCK_STATUS on `relay1` tells with flag 1 which extents the asking region misses, with flag 2 which it may
  miss. It reads them for its copy with READ and the flag DF (a client's read that is passed on never has it),
  or compares with DIGEST, and the command CAUGHT says that it holds one of them as of its last such reading
  over the same connection.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass

NAMESPACE = "x-harriertrack:"
NODE_CONTEXT = NAMESPACE + "node1/"
RELAY_CONTEXT = NAMESPACE + "relay1/"
COPY_CONTEXT = NAMESPACE + "copy1/"
# Selected by clients that understand a refusal (ENOMEM with "retry-after-us=N" in its text) and come again by
# themselves. It changes no message, so it is none of the contexts above.
HINTS_CONTEXT = "x-harriertrack-client:hints1"
TICK_SHIFT = 6  # request flags below are the specification's
ATTEMPT_BITS = 8
_REPORT = struct.Struct(">IdH")


def context_of(head: int, epoch: int = 0, prefix: str = NODE_CONTEXT, generation: int = 0) -> str:
    """Name the context that a head asks for.

    An epoch above 0 is that of the volume's lease, a generation above 0 that of its bytes.
    """
    named = f"{prefix}{head:016x}"
    if generation:
        return f"{named}/{epoch:x}/{generation:x}"
    return named + (f"/{epoch:x}" if epoch else "")


def identity_of(context: str, prefix: str = NODE_CONTEXT) -> tuple[int, int] | None:
    """Read head and epoch from a context's name; None if the name is not one of ours."""
    if not context.startswith(prefix):
        return None
    head, *rest = context.removeprefix(prefix).split("/")
    try:
        numbers = [int(one or "0", 16) for one in (head, *rest)]
    except ValueError:
        return None
    return (numbers[0], numbers[1] if rest else 0) if len(head) == 16 and len(rest) <= 2 else None


def generation_of(context: str) -> int:
    """Read the generation from the name of a context that is one of ours."""
    parts = context.rsplit("/", 2) if context.count("/") == 3 else ()
    return int(parts[-1] or "0", 16) if parts else 0


def head_of(context: str) -> int | None:
    """Read the head's number from a node context's name; None if the name is not one of ours."""
    identity = identity_of(context)
    return None if identity is None else identity[0]


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
