"""The parameters of scoring; weights are in powers of two, times in microseconds."""

from __future__ import annotations

from dataclasses import dataclass

MAX_LOG_WEIGHT = 2.0  # weights stay between 1/4 and 4: two powers of two each way


@dataclass(frozen=True, slots=True)
class ScoringRules:
    """Parameters that are the same for all heads of a fleet."""

    look_us: int = 500_000  # interval of taking and scoring a snapshot
    slow_us: int = 50_000  # the most processor time that a scorer may use for a snapshot
    hung_looks: int = 6  # intervals after which a call that has not ended is abandoned
    suspend_us: int = 30_000_000  # suspension of a faulty scorer, doubled after each relapse
    most_suspend_us: int = 1_800_000_000  # ... up to this
    forgive_us: int = 600_000_000  # relapses are forgotten after this long without one
    rate: float = 0.5  # the most that a weight moves in a second, in powers of two
    evidence: float = 2.0  # answers of all voting heads together from which their opinions count
    full: float = 40.0  # answers from which a head's opinion has full weight
    stale_us: int = 20_000_000  # an opinion loses weight over this time, and is void after it
    reporters: int = 32  # heads that publish their opinions at a time, whatever the size of the fleet
    turn_us: int = 60_000_000  # after this long others publish
    say_us: int = 1_000_000  # the shortest interval between pages of a head
    say_bytes: float = 120.0  # the most that a head publishes in a second
    again_us: int = 5_000_000  # interval of republishing an unchanged page
    least_gain: float = 0.0625  # the smallest gain on the rate, for a weight that keeps changing direction
    calm_us: int = 8_000_000  # a gain doubles in this time without a change of direction
