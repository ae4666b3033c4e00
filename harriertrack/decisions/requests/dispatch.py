"""Execution of the module's actions and of timers."""

from __future__ import annotations

import heapq

from harriertrack.decisions import interface as api
from harriertrack.decisions.lifecycle import PartState
from harriertrack.decisions.requests.admission import Admission
from harriertrack.decisions.requests.attempts import Attempts
from harriertrack.decisions.requests.completion import Completion
from harriertrack.decisions.requests.state import AttemptTimeout, CoreState, PartTimeout


class ActionDispatcher:
    """Executes the actions of the module."""

    def __init__(
        self, state: CoreState, completion: Completion, admission: Admission, attempts: Attempts
    ) -> None:
        self._state = state
        self._completion = completion
        self._admission = admission
        self._attempts = attempts

    def run_timers(self, now: int) -> None:
        """Run the timers that are due: time-outs, and timers of the module."""
        due, parts = self._state.timers, self._state.parts
        while due and due[0][0] <= now:
            match heapq.heappop(due)[2]:
                case str() as token:
                    self._state.events.append(api.TimerFired(token))
                case AttemptTimeout(part=number, attempt=attempt):
                    if (part := parts.get(number)) is not None:  # else it is over
                        self._attempts.expire(now, part.attempts[attempt])
                case PartTimeout(part=number):
                    part = parts.get(number)
                    if part is not None and part.state in (PartState.AWAITING_PLACEMENT, PartState.QUEUED):
                        self._completion.expire(part)

    def execute(self, now: int, action: api.Action) -> None:
        """Execute an action of the module."""
        state, parts = self._state, self._state.parts
        match action:
            case api.Send():
                self._attempts.send(now, action)
            case api.SetTimer():
                state.schedule(action.at_us, action.token)
            case api.Refuse():
                if not (part := parts[action.request]).state.is_final:
                    self._admission.handle_refusal(now, part, action.retry_after_us)
            case api.Fail():
                if not (part := parts[action.request]).state.is_final:
                    self._admission.handle_failure(now, part)
            case api.Cancel():
                attempt = parts[action.request].attempts[action.attempt]
                self._attempts.call_off(now, attempt, api.Result.CANCELLED)
            case api.Subscribe():
                state.port.subscribe(action.on)
            case api.Log():
                state.port.note(action.text)
            case api.Probe():
                raise RuntimeError("the module sent a probe, which its settings do not allow")
