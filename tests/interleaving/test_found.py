"""Regression tests: schedules that once violated an invariant of the production code."""

from harriertrack.lab.interleaving import registry
from harriertrack.lab.interleaving.execution import Outcome, execute
from harriertrack.runtime.hub import Cancelled, DeadlineExceeded, Event, Hub


def test_watch_cancelled_at_its_deadline_does_not_affect_the_next_watch():
    """The list's source moves in the hub round in which the old call's deadline expires; this ended the head."""
    moved = []

    def pick(events, names):
        at_deadline = events and events[-1].step == "head: deadline #3"
        step = "fault: the source moves" if at_deadline else names[0]
        moved.extend([step] if at_deadline else [])
        assert step in names
        return step

    one = execute(registry.SCENARIOS["watch-moves"], pick)
    assert moved and one.outcome is Outcome.REST, one.breach


def test_cancel_takes_precedence_over_an_expired_deadline():
    hub, outcomes = Hub.virtual(), []

    def waits():
        try:
            Event(hub).wait(hub.now() + 10)
        except DeadlineExceeded:
            outcomes.append("late")
        except Cancelled:
            outcomes.append("cancelled")
            raise

    def main():
        task = hub.spawn("waits", waits)
        hub.sleep(0)
        hub.at(hub.now() + 10, task.cancel)
        hub.sleep(20)

    hub.run(main)
    assert outcomes == ["cancelled"]


def test_page_of_an_earlier_process_instance_is_not_counted_after_a_restart():
    """A restarted head sends one page at a time; another page of its earlier instance still counted for 20 s."""
    killed = []

    def pick(events, names):
        step = "fault: b is killed and comes back"
        if step not in names or events[-1].at < 1_010_000:
            return names[0]
        killed.append(step)
        return step

    one = execute(registry.SCENARIOS["weights-restart"], pick)
    assert killed and one.outcome is Outcome.REST, one.breach


def test_launcher_killed_while_starting_a_head_leaves_no_head_unknown_to_the_next_launcher():
    """The token was stored after the start, so the next launcher started a second head next to the first."""
    killed = []

    def pick(_events, names):
        step = "fault: the launcher is killed"
        if step in names and "system: _System.start" in names:  # it runs, which is not stored yet
            killed.append(step)
            return step
        return names[0]

    one = execute(registry.SCENARIOS["launch-killed"], pick)
    assert killed and one.outcome is Outcome.REST, one.breach
