"""The life of a part of a request and of an attempt: two small state machines without time or I/O.

A client's request is cut at extent boundaries into parts; the module decides on parts. Each table names every
legal step; a step that is not in it raises `IllegalStep`, for it would break a rule of the product. (StrEnum:
the hash of a plain Enum is computed in Python, and these are looked up several times a request.)
"""

from __future__ import annotations

from enum import StrEnum

from harriertrack.decisions.interface import Result


class IllegalStep(RuntimeError):
    """A step that the state does not have: the caller is wrong."""


class PartState(StrEnum):
    """Where a part of a request is."""

    WAITING = "waiting"  # while another request places the same new extent; the module is not told yet
    HELD = "held"  # the module has it, no attempt is out
    OUT = "out"  # at least one attempt is out
    KEPT = "kept"  # refused harmlessly, or behind such: it waits in the head to be offered (again)
    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    DROPPED = "dropped"  # its client left, or its request ended by another part

    @property
    def over(self) -> bool:
        """Whether nothing more may be sent for it."""
        return self in _OVER


_OVER = frozenset((PartState.SERVED, PartState.REFUSED, PartState.FAILED, PartState.DROPPED))


class PartStep(StrEnum):
    """What can happen to a part."""

    TELL = "tell"  # the module is told of it
    KEEP = "keep"  # it waits on a hint
    PLACE = "place"  # it waits for another one's placement
    SEND = "send"
    LOST = "lost"  # the last attempt that was out ended unserved
    SERVE = "serve"
    REFUSE = "refuse"
    FAIL = "fail"
    DROP = "drop"


PART_STEPS: dict[tuple[PartState, PartStep], PartState] = {
    (PartState.WAITING, PartStep.TELL): PartState.HELD,
    (PartState.WAITING, PartStep.KEEP): PartState.KEPT,
    (PartState.WAITING, PartStep.SERVE): PartState.SERVED,  # here and below: by an earlier offer's attempt
    (PartState.WAITING, PartStep.REFUSE): PartState.REFUSED,
    (PartState.WAITING, PartStep.DROP): PartState.DROPPED,
    (PartState.KEPT, PartStep.TELL): PartState.HELD,
    (PartState.KEPT, PartStep.PLACE): PartState.WAITING,
    (PartState.KEPT, PartStep.SERVE): PartState.SERVED,
    (PartState.KEPT, PartStep.REFUSE): PartState.REFUSED,
    (PartState.KEPT, PartStep.FAIL): PartState.FAILED,
    (PartState.KEPT, PartStep.DROP): PartState.DROPPED,
    (PartState.HELD, PartStep.KEEP): PartState.KEPT,
    (PartState.HELD, PartStep.SERVE): PartState.SERVED,
    (PartState.HELD, PartStep.SEND): PartState.OUT,
    (PartState.HELD, PartStep.REFUSE): PartState.REFUSED,
    (PartState.HELD, PartStep.FAIL): PartState.FAILED,
    (PartState.HELD, PartStep.DROP): PartState.DROPPED,
    (PartState.OUT, PartStep.SEND): PartState.OUT,
    (PartState.OUT, PartStep.KEEP): PartState.KEPT,
    (PartState.OUT, PartStep.LOST): PartState.HELD,
    (PartState.OUT, PartStep.SERVE): PartState.SERVED,
    (PartState.OUT, PartStep.REFUSE): PartState.REFUSED,
    (PartState.OUT, PartStep.FAIL): PartState.FAILED,
    (PartState.OUT, PartStep.DROP): PartState.DROPPED,
}


class AttemptState(StrEnum):
    """Where an attempt is."""

    DIALING = "dialing"  # its link is not up: nothing has left this head
    SENT = "sent"  # its bytes were handed to the link: it may run
    CALLED_OFF = "called off"  # the module has its outcome; what the node still says is not listened to
    ENDED = "ended"


class AttemptStep(StrEnum):
    """What can happen to an attempt."""

    SEND = "send"
    CALL_OFF = "call off"
    END = "end"


ATTEMPT_STEPS: dict[tuple[AttemptState, AttemptStep], AttemptState] = {
    (AttemptState.DIALING, AttemptStep.SEND): AttemptState.SENT,
    (AttemptState.DIALING, AttemptStep.CALL_OFF): AttemptState.ENDED,
    (AttemptState.DIALING, AttemptStep.END): AttemptState.ENDED,
    (AttemptState.SENT, AttemptStep.CALL_OFF): AttemptState.CALLED_OFF,
    (AttemptState.SENT, AttemptStep.END): AttemptState.ENDED,
    (AttemptState.CALLED_OFF, AttemptStep.END): AttemptState.ENDED,
}


def step_part(state: PartState, step: PartStep) -> PartState:
    """Return the state after a step. Raises IllegalStep."""
    try:
        return PART_STEPS[state, step]
    except KeyError:
        raise IllegalStep(f"a part that is {state} can't {step}") from None


def step_attempt(state: AttemptState, step: AttemptStep) -> AttemptState:
    """Return the state after a step. Raises IllegalStep."""
    try:
        return ATTEMPT_STEPS[state, step]
    except KeyError:
        raise IllegalStep(f"an attempt that is {state} can't {step}") from None


def lost_result(state: AttemptState, otherwise: Result) -> Result:
    """Return what the end of an attempt proves when no answer came.

    One whose bytes never left this head is known not to have run, whatever ended it. One that was called off
    before, since nobody waits any more, says nothing of its node either.
    """
    if state is not AttemptState.DIALING:
        return otherwise
    return Result.MOOT if otherwise is Result.CANCELLED else Result.CONNECT_FAILED
