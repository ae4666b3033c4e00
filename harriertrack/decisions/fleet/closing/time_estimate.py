"""How the deciding head combines all heads' clocks: the time that most of them allow, and which are wrong.

Heads send queries from time to time; each answer returns the two stamps of the query that the deciding head
has. Claims widen by the drift of the clocks and are dropped when their head has not sent a query for long.
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

STAMPS_BYTES = 24  # of an answer, without the name


@dataclass(frozen=True, slots=True)
class ClockQuery:
    """A head's query: its stamp, and how far true time and the deciding head are ahead of its clock."""

    sent_at: int  # by its monotonic clock
    wall_offset: int  # of true time, according to its wall clock
    decider_offset: Interval | None  # of the deciding head's clock; None: not known yet


@dataclass(frozen=True, slots=True)
class Echo:
    """The answer to a query: the head, its stamp, and when the query was received."""

    head: str
    sent_at: int
    received_at: int


class TimeEstimator:
    """The estimate of true time during one term."""

    def __init__(self, rules: ClockRules, retain_us: int, since: int = 0) -> None:
        self.rules, self._retain_us, self._since = rules, retain_us, since
        self._last_queries: dict[str, int] = {}  # when each head sent its last query
        self._claims: dict[
            str, tuple[int, Interval, Interval]
        ] = {}  # when; on true time; offset of this clock
        self._echoes: list[Echo] = []
        self.faulty: list[str] = []  # heads whose clocks can't be right

    def add_query(self, now: int, head: str, query: ClockQuery) -> None:
        """Process a query."""
        self._echoes.append(Echo(head, query.sent_at, now))
        self._last_queries[head] = now
        if query.decider_offset is not None:
            claim = Interval(query.wall_offset, query.wall_offset).widened(self.rules.error_us)
            self._claims[head] = now, claim, query.decider_offset
        else:
            self._claims.pop(head, None)  # another incarnation of it, or it discarded the offset

    def take_echoes(self, most_bytes: int) -> list[Echo]:
        """Return the answers to send now, oldest first, each once, as many as fit into `most_bytes`."""
        number = 0
        for echo in self._echoes:
            most_bytes -= len(echo.head.encode()) + STAMPS_BYTES
            if most_bytes < 0:
                break
            number += 1
        first, self._echoes = self._echoes[:number], self._echoes[number:]
        return first

    def estimate(self, now: int, own: Interval, there: int) -> Interval | None:
        """Return how far true time is ahead of this clock, from its own claim and the others'.

        None until there are claims of more than half of `there` heads and most of these agree. Heads without
        calendars send no queries: once all had the time to, more than half of those that do are enough.
        """
        self._last_queries = {
            name: at for name, at in self._last_queries.items() if now - at <= self._retain_us
        }
        self._claims = {name: one for name, one in self._claims.items() if now - one[0] <= self._retain_us}
        claims = claims_on_decider_clock(
            (name, claim, offset.widened(int(self.rules.drift * (now - at))))
            for name, (at, claim, offset) in self._claims.items()
        )
        claims[""] = own
        expected = there if now < self._since + self._retain_us else len(self._last_queries) + 1
        if 2 * len(claims) <= min(there, expected):
            return None
        truth = majority_interval(claims)
        self.faulty = [] if truth is None else inconsistent_claims(claims, truth)
        return truth
