"""The harriertrack extension of NBD between heads and storage nodes, negotiated as a meta context.

A head queries `x-harriertrack:node1/HEAD` (HEAD: 16 hex digits, random, new at each start of the head). A
plain server does not know the namespace and replies without a context, as the specification requires; then
nothing below applies. A node that selects the context guarantees:

- cookies: the upper 56 bits are the key of a request, the lower 8 the number of the attempt. Of several
  writes with the same head and key, the node's rack runs at most one within its window; it replies to the
  others as done;
- an error chunk of type ERROR_NEVER_RAN guarantees that the request never ran;
- a REPORT chunk may precede the last chunk of a reply;
- the command CANCEL with a cookie cancels that attempt. It has no reply of its own.

For a volume of two regions the epoch of its lease is added: `node1/HEAD/EPOCH`. A node refuses, as never run,
requests with an older epoch than the highest that it has seen for the volume.

Between the heads of two regions there are two more contexts. `relay1/HEAD` forwards clients' requests to the
holder of the volume's lease; `copy1/HEAD/EPOCH` sends the holder's writes to the copy. On both

- the upper ten bits of a request's flags are the newest tick that the sender received from the receiver (the
  receiver refuses, as never run, a request whose tick is too old);
- the command TICK requests the current tick, which is returned in a REPORT chunk as its first load value;
- the command DIGEST requests the 64-bit XXH3 hash of a range; its upper and lower half are returned as two
  load values;
- if a volume's data was ever purged at a close, the generation of the sender's data is appended:
  `copy1/HEAD/EPOCH/GENERATION`, and `relay1/HEAD/0/GENERATION` for a catch-up connection. A request that
  depends on data of another generation is refused as never run;
- BLOCK_STATUS on `relay1` returns with flag 1 the extents that the requesting region misses, with flag 2
  those that it may miss. That region reads them for its copy with READ and the flag DF (a forwarded read of a
  client never has this flag), or compares them with DIGEST; with the command CAUGHT_UP it reports that its
  copy of one of them is current as of its last such read over the same connection.
"""

from __future__ import annotations

import struct
from dataclasses import dataclass

NAMESPACE = "x-harriertrack:"
NODE_CONTEXT = NAMESPACE + "node1/"
RELAY_CONTEXT = NAMESPACE + "relay1/"
COPY_CONTEXT = NAMESPACE + "copy1/"
# Selected by clients that understand a refusal (ENOMEM with "retry-after-us=N" in its text) and retry by
# themselves. It changes no message, so it does not count as the extension.
HINTS_CONTEXT = "x-harriertrack-client:hints1"
TICK_SHIFT = 6  # the bits below are the specification's command flags
ATTEMPT_BITS = 8
_REPORT = struct.Struct(">IdH")


def context_of(head: int, epoch: int = 0, prefix: str = NODE_CONTEXT, generation: int = 0) -> str:
    """Return the name of the context that a head queries.

    `epoch` is that of the volume's lease, `generation` that of its data; 0 for none.
    """
    name = f"{prefix}{head:016x}"
    if generation:
        return f"{name}/{epoch:x}/{generation:x}"
    return name + (f"/{epoch:x}" if epoch else "")


def identity_of(context: str, prefix: str = NODE_CONTEXT) -> tuple[int, int] | None:
    """Parse head and epoch from a context's name; None if the name is not of the extension."""
    if not context.startswith(prefix):
        return None
    head, *rest = context.removeprefix(prefix).split("/")
    try:
        numbers = [int(digits or "0", 16) for digits in (head, *rest)]
    except ValueError:
        return None
    return (numbers[0], numbers[1] if rest else 0) if len(head) == 16 and len(rest) <= 2 else None


def generation_of(context: str) -> int:
    """Parse the generation from the name of one of the extension's contexts; 0 for none."""
    parts = context.rsplit("/", 2) if context.count("/") == 3 else ()
    return int(parts[-1] or "0", 16) if parts else 0


def head_of(context: str) -> int | None:
    """Parse the head's number from a node context's name; None if the name is no node context."""
    identity = identity_of(context)
    return None if identity is None else identity[0]


def cookie_of(key: int, attempt: int) -> int:
    """Return the cookie of an attempt. Raises ValueError if a number does not fit its bits."""
    if not 0 <= key < 1 << 56 or not 0 <= attempt < 1 << ATTEMPT_BITS:
        raise ValueError(f"no cookie for key {key}, attempt {attempt}")
    return key << ATTEMPT_BITS | attempt


def split_cookie(cookie: int) -> tuple[int, int]:
    """Return a cookie's key and attempt."""
    return cookie >> ATTEMPT_BITS, cookie & ((1 << ATTEMPT_BITS) - 1)


@dataclass(frozen=True, slots=True)
class Report:
    """A node's report with a reply.

    `used_percent` is the meter reading of the volume's use plus one (0 for none), `elsewhere` what the node
    served the volume through other heads.
    """

    used_percent: int = 0
    elsewhere: float = 0.0
    load: tuple[float, ...] = ()

    def pack(self) -> bytes:
        """Return the chunk's payload."""
        header = _REPORT.pack(self.used_percent, self.elsewhere, len(self.load))
        return header + struct.pack(f">{len(self.load)}d", *self.load)

    @classmethod
    def unpack(cls, data: bytes) -> Report:
        """Parse a chunk's payload. Raises ValueError if it is malformed."""
        if len(data) < _REPORT.size:
            raise ValueError("report chunk is truncated")
        used, elsewhere, count = _REPORT.unpack_from(data)
        if count > 16 or len(data) != _REPORT.size + 8 * count:
            raise ValueError("report chunk length does not match its number of load values")
        return cls(used, elsewhere, struct.unpack_from(f">{count}d", data, _REPORT.size))
