"""`python -m tests.soak.faulty_head FAULT`: the platform's head with one seeded fault, for the soak to find."""

import sys

from harriertrack.decisions import interface as api
from harriertrack.decisions.drain_grace import DrainGrace
from harriertrack.decisions.forwarded_requests import ForwardedRequests
from harriertrack.decisions.graceful_shutdown import GracefulShutdown, Phase
from harriertrack.decisions.scheduler import Scheduler
from harriertrack.service import __main__ as service


def begin_graces_anew():
    """A drain in the first list of a process begins a grace (issue 67)."""
    accepts_requests = DrainGrace.accepts_requests

    def accepts_in_first_list(self, state, now, grace_us):
        if state is api.NodeState.DRAINING and self.left_service_at is None:
            self.left_service_at = now
        return accepts_requests(self, state, now, grace_us)

    DrainGrace.accepts_requests = accepts_in_first_list


def end_at_once():
    """SIGTERM ends the head without answers to its open requests."""

    def advance(self, now, connections):
        self.phase = Phase.ENDED
        return self.phase

    GracefulShutdown.advance = advance


def repeat_what_may_have_run():
    """Requests of any class are sent again after a reset."""
    Scheduler._may_repeat = lambda self, work: True


def ignore_limits():
    """Volumes have no limit."""
    Scheduler._set_limit = lambda self, volume: None


def ignore_drains():
    """A draining node gets requests like any other."""
    DrainGrace.accepts_requests = lambda self, state, now, grace_us: state is not api.NodeState.GONE


def forget_what_was_sent():
    """An id that reached a node is served again when it comes again."""
    ForwardedRequests.__contains__ = lambda self, identity: False


def keep_each_request():
    """Memory grows with each request that is sent."""
    add, kept = ForwardedRequests.add, []

    def add_and_keep(self, identity, now):
        kept.append(b"x" * (256 << 10))
        add(self, identity, now)

    ForwardedRequests.add = add_and_keep


FAULTS = {fault.__name__: fault for fault in (
    begin_graces_anew, end_at_once, repeat_what_may_have_run, ignore_limits, ignore_drains,
    forget_what_was_sent, keep_each_request,
)}  # fmt: skip


if __name__ == "__main__":
    FAULTS[sys.argv[1]]()
    sys.exit(service.main())
