"""The figures of scoring; weights are in powers of two, times in microseconds."""

from __future__ import annotations

from dataclasses import dataclass

MAX_LOG_WEIGHT = 2.0  # weights stay within a quarter and four: two powers of two each way


@dataclass(frozen=True, slots=True)
class ScoringRules:
    """What holds for all heads of a fleet."""

    look_us: int = 500_000  # a picture is drawn and scored so often
    slow_us: int = 50_000  # the most of the processor that a scorer may take for a picture
    hung_looks: int = 6  # looks after which a call that has not ended is given up
    suspend_us: int = (
        30_000_000  # a scorer that did wrong has no vote for so long, twice that after each relapse
    )
    most_suspend_us: int = 1_800_000_000  # ... up to this
    forgive_us: int = 600_000_000  # relapses are forgotten after so long without one
    rate: float = 0.5  # powers of two that a weight moves in a second at most
    evidence: float = 2.0  # answers, of all heads that are heard, from which they have an opinion
    full: float = 40.0  # answers from which its opinion counts whole
    stale_us: int = 20_000_000  # an opinion fades over this time, and is none then
    reporters: int = 32  # heads that tell their opinions at a time, whatever the fleet
    turn_us: int = 60_000_000  # others do after so long
    say_us: int = 1_000_000  # a head tells a part of its opinion so often at most
    say_bytes: float = 120.0  # a second that a head says of its own at most
    again_us: int = 5_000_000  # what did not change is said again so often
    least_gain: float = 0.0625  # of the rate, where a weight turns again and again
    calm_us: int = 8_000_000  # a gain doubles in so long without a turn
