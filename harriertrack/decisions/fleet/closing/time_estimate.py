"""What who decides makes of all heads' clocks: the time that most of them allow, and whose is wrong.

Heads ask from time to time; each answer brings back the two stamps that who decides knows of the ask. Claims
grow old with the drift of the clocks and are dropped when their head has not asked for long.
"""

from __future__ import annotations

from dataclasses import dataclass

from harriertrack.decisions.fleet.closing.clocks import (
    ClockRules,
    Interval,
    claims_on_decider_clock,
    inconsistent_claims,
    majority_interval,
)

STAMPS_BYTES = 24  # of an answer, beside the name


@dataclass(frozen=True, slots=True)
class ClockQuery:
    """A head's ask: its stamp, how far its wall clock says that true time is ahead, where our clock lies."""

    sent_at: int  # by its monotonic clock
    wall_offset: int
    decider_offset: Interval | None  # how far the decider's clock is ahead of its own; None: not known yet


@dataclass(frozen=True, slots=True)
class Echo:
    """The answer to an ask: who asked at which of its stamps, and when that was heard."""

    head: str
    sent_at: int
    received_at: int


class TimeEstimator:
    """One term's."""

    def __init__(self, rules: ClockRules, keep_us: int, since: int = 0) -> None:
        self.rules, self._keep_us, self._since = rules, keep_us, since
        self._heard: dict[str, int] = {}  # when each asked last
        self._claims: dict[str, tuple[int, Interval, Interval]] = {}  # when, of true time, apart
        self._echoes: list[Echo] = []
        self.faulty: list[str] = []  # whose clock can't be true

    def add_query(self, now: int, head: str, ask: ClockQuery) -> None:
        """Take an ask."""
        self._echoes.append(Echo(head, ask.sent_at, now))
        self._heard[head] = now
        if ask.decider_offset is not None:
            said = Interval(ask.wall_offset, ask.wall_offset).widened(self.rules.error_us)
            self._claims[head] = now, said, ask.decider_offset
        else:
            self._claims.pop(head, None)  # another life of it, or it has lost count

    def take_echoes(self, most_bytes: int) -> list[Echo]:
        """Return answers that are due, the oldest first, each once, as many as have room."""
        number = 0
        for echo in self._echoes:
            most_bytes -= len(echo.head.encode()) + STAMPS_BYTES
            if most_bytes < 0:
                break
            number += 1
        first, self._echoes = self._echoes[:number], self._echoes[number:]
        return first

    def estimate(self, now: int, own: Interval, there: int) -> Interval | None:
        """Return how far true time is ahead of this clock, by its own claim and the others'.

        None until more than half of `there` heads are heard and most of these agree. Heads that know no
        calendars never ask: once all others had the time to, more than half of those that do are enough.
        """
        self._heard = {name: at for name, at in self._heard.items() if now - at <= self._keep_us}
        self._claims = {name: one for name, one in self._claims.items() if now - one[0] <= self._keep_us}
        claims = claims_on_decider_clock(
            (name, said, apart.widened(int(self.rules.drift * (now - at))))
            for name, (at, said, apart) in self._claims.items()
        )
        claims[""] = own
        asking = there if now < self._since + self._keep_us else len(self._heard) + 1
        if 2 * len(claims) <= min(there, asking):
            return None
        truth = majority_interval(claims)
        self.faulty = [] if truth is None else inconsistent_claims(claims, truth)
        return truth
