"""The lifecycles of request parts and of attempts: two small state machines without time or I/O.

A client's request is split at extent boundaries into parts; the module decides on parts. Each table lists the
legal transitions; any other raises `IllegalTransition`, since it would break a rule of the product.
(StrEnum: the hash of a plain Enum is computed in Python, and these are looked up several times a request.)
"""

from __future__ import annotations

from enum import StrEnum

from harriertrack.decisions.interface import Result


class IllegalTransition(RuntimeError):
    """A step that is not legal in the state: a fault of the caller."""


class PartState(StrEnum):
    """The states of a part. The values appear in messages."""

    AWAITING_PLACEMENT = "waiting"  # another request places the same new extent; not submitted yet
    SUBMITTED = "held"  # the module has it, no attempt is open
    IN_FLIGHT = "out"  # at least one attempt is open
    QUEUED = "kept"  # refused harmlessly, or behind such parts: waits in the head to be submitted (again)
    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"
    DROPPED = "dropped"  # its client left, or its request ended through another part

    @property
    def is_final(self) -> bool:
        """Whether nothing more may be sent for the part."""
        return self in _FINAL


_FINAL = frozenset((PartState.SERVED, PartState.REFUSED, PartState.FAILED, PartState.DROPPED))


class PartStep(StrEnum):
    """The events of a part."""

    SUBMIT = "tell"  # it is submitted to the module
    QUEUE = "keep"  # it waits for a retry hint to pass
    AWAIT_PLACEMENT = "place"  # it waits for another part to place its extent
    SEND = "send"
    ATTEMPTS_LOST = "lost"  # its last open attempt ended without being served
    SERVE = "serve"
    REFUSE = "refuse"
    FAIL = "fail"
    DROP = "drop"


PART_TRANSITIONS: dict[tuple[PartState, PartStep], PartState] = {
    (PartState.AWAITING_PLACEMENT, PartStep.SUBMIT): PartState.SUBMITTED,
    (PartState.AWAITING_PLACEMENT, PartStep.QUEUE): PartState.QUEUED,
    # A part that is not submitted can be served by an attempt of an earlier submission.
    (PartState.AWAITING_PLACEMENT, PartStep.SERVE): PartState.SERVED,
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
    """The states of an attempt."""

    DIALING = "dialing"  # its link is not open yet: nothing has left this head
    SENT = "sent"  # its bytes were handed to the link: it may run
    CALLED_OFF = (
        "called off"  # cancelled: its outcome was reported to the module, whatever the node replies later
    )
    ENDED = "ended"


class AttemptStep(StrEnum):
    """The events of an attempt."""

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
    """Return what the end of an attempt without an answer proves.

    If its bytes never left this head, it is known not to have run, whatever ended it. If it was cancelled
    before that because its answer is not needed any more, this proves nothing about its node either.
    """
    if state is not AttemptState.DIALING:
        return otherwise
    return Result.MOOT if otherwise is Result.CANCELLED else Result.CONNECT_FAILED
