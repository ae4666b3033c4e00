"""Resource usage of this process, for reports."""

from __future__ import annotations

import os
import time
from pathlib import Path

_PAGE = os.sysconf("SC_PAGE_SIZE")
_STATM = Path("/proc/self/statm")


def read_usage() -> tuple[int, int]:
    """Return bytes of resident memory (0 where not available) and microseconds of processor time."""
    try:
        resident = int(_STATM.read_bytes().split()[1]) * _PAGE
    except OSError:
        resident = 0
    return resident, time.process_time_ns() // 1000
