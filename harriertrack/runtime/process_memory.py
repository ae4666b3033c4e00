"""The memory of this process, as the system counts it."""

from __future__ import annotations

import os

STATM = "/proc/self/statm"  # proc(5): sizes in pages, the resident one second
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def resident_bytes(path: str = STATM) -> int:
    """Return the bytes that are resident, pages of files included; 0 if the system doesn't tell."""
    try:
        with open(path, "rb") as file:
            return int(file.read().split()[1]) * PAGE_BYTES
    except (OSError, ValueError, IndexError):
        return 0
