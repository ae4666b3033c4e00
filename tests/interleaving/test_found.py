"""Schedules that once broke the production code, replayed: the defects that they showed stay mended."""

from harriertrack.lab.interleaving import registry
from harriertrack.lab.interleaving.execution import Outcome, execute
from harriertrack.runtime.hub import Cancelled, DeadlineExceeded, Event, Hub


def test_a_watch_that_is_cancelled_at_its_deadline_leaves_the_next_one_alone():
    """The list's source moves in the round in which the old call's deadline came: the head ended by that."""
    moved = []

    def pick(events, names):
        at_deadline = events and events[-1].step == "head: deadline #3"
        step = "fault: the source moves" if at_deadline else names[0]
        moved.extend([step] if at_deadline else [])
        assert step in names
        return step

    one = execute(registry.SCENARIOS["watch-moves"], pick)
    assert moved and one.outcome is Outcome.REST, one.breach


def test_a_cancel_stands_above_a_deadline_that_has_come():
    hub, said = Hub.virtual(), []

    def waits():
        try:
            Event(hub).wait(hub.now() + 10)
        except DeadlineExceeded:
            said.append("late")
        except Cancelled:
            said.append("cancelled")
            raise

    def main():
        task = hub.spawn("waits", waits)
        hub.sleep(0)
        hub.at(hub.now() + 10, task.cancel)
        hub.sleep(20)

    hub.run(main)
    assert said == ["cancelled"]


def test_what_a_head_said_in_its_last_life_does_not_stand_beside_what_it_says_in_this_one():
    """A head that is back says one page at a time: the other of its life before counted on, for 20 s."""
    killed = []

    def pick(events, names):
        step = "fault: b is killed and comes back"
        if step not in names or events[-1].at < 1_010_000:
            return names[0]
        killed.append(step)
        return step

    one = execute(registry.SCENARIOS["weights-restart"], pick)
    assert killed and one.outcome is Outcome.REST, one.breach


def test_a_launcher_that_is_killed_as_it_starts_a_head_leaves_none_that_the_next_does_not_find():
    """The token was written down after the start: the next launcher started a second head beside the first."""
    killed = []

    def pick(_events, names):
        step = "fault: the launcher is killed"
        if step in names and "system: _System.start" in names:  # it runs, and that is not written down
            killed.append(step)
            return step
        return names[0]

    one = execute(registry.SCENARIOS["launch-killed"], pick)
    assert killed and one.outcome is Outcome.REST, one.breach
