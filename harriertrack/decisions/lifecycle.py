"""The life of a part of a request and of an attempt: two small state machines without time or I/O.

A client's request is cut at extent boundaries into parts; the module decides on parts. Each table names every
legal step; a step that is not in it raises `IllegalTransition`, for it would break a rule of the product.
(StrEnum: the hash of a plain Enum is computed in Python, and these are looked up several times a request.)
"""

from __future__ import annotations

from enum import StrEnum

from harriertrack.decisions.interface import Result


class IllegalTransition(RuntimeError):
    """A step that the state does not have: the caller is wrong."""


class PartState(StrEnum):
    """Where a part of a request is."""

    AWAITING_PLACEMENT = (
        "waiting"  # while another request places the same new extent; the module is not told yet
    )
    SUBMITTED = "held"  # the module has it, no attempt is out
    IN_FLIGHT = "out"  # at least one attempt is out
    QUEUED = "kept"  # refused harmlessly, or behind such: it waits in the head to be offered (again)
    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    DROPPED = "dropped"  # its client left, or its request ended by another part

    @property
    def is_final(self) -> bool:
        """Whether nothing more may be sent for it."""
        return self in _OVER


_OVER = frozenset((PartState.SERVED, PartState.REFUSED, PartState.FAILED, PartState.DROPPED))


class PartStep(StrEnum):
    """What can happen to a part."""

    SUBMIT = "tell"  # the module is told of it
    QUEUE = "keep"  # it waits on a hint
    AWAIT_PLACEMENT = "place"  # it waits for another one's placement
    SEND = "send"
    ATTEMPTS_LOST = "lost"  # the last attempt that was out ended unserved
    SERVE = "serve"
    REFUSE = "refuse"
    FAIL = "fail"
    DROP = "drop"


PART_TRANSITIONS: dict[tuple[PartState, PartStep], PartState] = {
    (PartState.AWAITING_PLACEMENT, PartStep.SUBMIT): PartState.SUBMITTED,
    (PartState.AWAITING_PLACEMENT, PartStep.QUEUE): PartState.QUEUED,
    (
        PartState.AWAITING_PLACEMENT,
        PartStep.SERVE,
    ): PartState.SERVED,  # here and below: by an earlier offer's attempt
    (PartState.AWAITING_PLACEMENT, PartStep.REFUSE): PartState.REFUSED,
    (PartState.AWAITING_PLACEMENT, PartStep.DROP): PartState.DROPPED,
    (PartState.QUEUED, PartStep.SUBMIT): PartState.SUBMITTED,
    (PartState.QUEUED, PartStep.AWAIT_PLACEMENT): PartState.AWAITING_PLACEMENT,
    (PartState.QUEUED, PartStep.SERVE): PartState.SERVED,
    (PartState.QUEUED, PartStep.REFUSE): PartState.REFUSED,
    (PartState.QUEUED, PartStep.FAIL): PartState.FAILED,
    (PartState.QUEUED, PartStep.DROP): PartState.DROPPED,
    (PartState.SUBMITTED, PartStep.QUEUE): PartState.QUEUED,
    (PartState.SUBMITTED, PartStep.SERVE): PartState.SERVED,
    (PartState.SUBMITTED, PartStep.SEND): PartState.IN_FLIGHT,
    (PartState.SUBMITTED, PartStep.REFUSE): PartState.REFUSED,
    (PartState.SUBMITTED, PartStep.FAIL): PartState.FAILED,
    (PartState.SUBMITTED, PartStep.DROP): PartState.DROPPED,
    (PartState.IN_FLIGHT, PartStep.SEND): PartState.IN_FLIGHT,
    (PartState.IN_FLIGHT, PartStep.QUEUE): PartState.QUEUED,
    (PartState.IN_FLIGHT, PartStep.ATTEMPTS_LOST): PartState.SUBMITTED,
    (PartState.IN_FLIGHT, PartStep.SERVE): PartState.SERVED,
    (PartState.IN_FLIGHT, PartStep.REFUSE): PartState.REFUSED,
    (PartState.IN_FLIGHT, PartStep.FAIL): PartState.FAILED,
    (PartState.IN_FLIGHT, PartStep.DROP): PartState.DROPPED,
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


ATTEMPT_TRANSITIONS: dict[tuple[AttemptState, AttemptStep], AttemptState] = {
    (AttemptState.DIALING, AttemptStep.SEND): AttemptState.SENT,
    (AttemptState.DIALING, AttemptStep.CALL_OFF): AttemptState.ENDED,
    (AttemptState.DIALING, AttemptStep.END): AttemptState.ENDED,
    (AttemptState.SENT, AttemptStep.CALL_OFF): AttemptState.CALLED_OFF,
    (AttemptState.SENT, AttemptStep.END): AttemptState.ENDED,
    (AttemptState.CALLED_OFF, AttemptStep.END): AttemptState.ENDED,
}


def next_part_state(state: PartState, step: PartStep) -> PartState:
    """Return the state after a step. Raises IllegalTransition."""
    try:
        return PART_TRANSITIONS[state, step]
    except KeyError:
        raise IllegalTransition(f"a part that is {state} can't {step}") from None


def next_attempt_state(state: AttemptState, step: AttemptStep) -> AttemptState:
    """Return the state after a step. Raises IllegalTransition."""
    try:
        return ATTEMPT_TRANSITIONS[state, step]
    except KeyError:
        raise IllegalTransition(f"an attempt that is {state} can't {step}") from None


def result_without_answer(state: AttemptState, otherwise: Result) -> Result:
    """Return what the end of an attempt proves when no answer came.

    One whose bytes never left this head is known not to have run, whatever ended it. One that was called off
    before, since nobody waits any more, says nothing of its node either.
    """
    if state is not AttemptState.DIALING:
        return otherwise
    return Result.MOOT if otherwise is Result.CANCELLED else Result.CONNECT_FAILED
