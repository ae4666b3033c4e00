"""How long a running process may be paused between any two of its steps.

The platform allows such a pause at any moment. Whatever has to be done by a deadline is begun earlier
by this much; a longer one is a standstill (`standstill.py`).
"""

from __future__ import annotations

MAX_PAUSE_US = 150_000
