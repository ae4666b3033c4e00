"""A head's scorers: a task that takes snapshots, queries scorers, and exchanges weights, apart from requests.

The logic is in decisions/fleet/scoring; the decision module reads `SharedWeights.factors` without waiting.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from typing import TYPE_CHECKING

from harriertrack.config.settings import HeadSettings, ScoringSettings
from harriertrack.config.sexp import SettingsError
from harriertrack.decisions.fleet.changes.record import Kind, Version
from harriertrack.decisions.fleet.scoring.observer import NodeObserver
from harriertrack.decisions.fleet.scoring.rules import ScoringRules
from harriertrack.decisions.fleet.scoring.scorer_guard import ScorerState
from harriertrack.decisions.fleet.scoring.scorers.base import Namespace, Scorer
from harriertrack.decisions.fleet.scoring.shared_weights import HeadContext, SharedWeights
from harriertrack.gateway.fleet.parameters import parameters_from
from harriertrack.gateway.fleet.scoring.plugins import discover_kinds
from harriertrack.gateway.fleet.scoring.scorer_runner import ScorerRunner, runner_of
from harriertrack.gateway.fleet.scoring.selection import InvalidScorer, ScorerSelection
from harriertrack.gateway.parts import HeadParts
from harriertrack.membership.fleet import weight_pages
from harriertrack.membership.fleet.messages import ProcessInstance
from harriertrack.membership.fleet.status_document import NodeScore, ScorerStatus, ScoresStatus
from harriertrack.membership.fleet.swim import Swim
from harriertrack.runtime.hub import Hub

if TYPE_CHECKING:
    from harriertrack.gateway.fleet.changes.carrier import Changes

ANSWER_POLL_US = 5_000  # between checks for awaited answers


def rules_of(settings: ScoringSettings) -> ScoringRules:
    """Return the parameters of scoring."""
    return parameters_from(ScoringRules, settings)


@dataclass(frozen=True, slots=True)
class ScoringState:
    """The scoring state that a head creates before it joins a fleet, as its decision module uses it."""

    observer: NodeObserver
    shared: SharedWeights
    selection: ScorerSelection


def create_scoring_state(head: HeadSettings, settings: ScoringSettings, note: Callable[..., None],
                         further: Iterable[object] = ()) -> ScoringState:  # fmt: skip
    """Create the scoring state. Raises SettingsError for scorers that can't be run."""
    try:
        selection = ScorerSelection(discover_kinds(note, further), settings.scorers)
    except InvalidScorer as error:
        raise SettingsError(f"fleet: scoring: {error}") from error
    return ScoringState(
        NodeObserver(head.zone, head.rules.warm_us),
        SharedWeights(rules_of(settings), settings.alone),
        selection,
    )


class Scoring:
    """Runs this head's scorers and exchanges their opinions with other heads."""

    def __init__(self, parts: HeadParts, settings: ScoringSettings, state: ScoringState, swim: Swim,
                 new_runner: Callable[[Hub, Scorer, str], ScorerRunner] = runner_of) -> None:  # fmt: skip
        self._parts, self._hub, self._settings = parts, parts.hub, settings
        self._observer, self._shared, self._selection = state.observer, state.shared, state.selection
        self._swim, self._new_runner = swim, new_runner
        self._changes: Changes | None = None
        self._runners: dict[str, ScorerRunner] = {}
        self._votes: dict[str, bool] = {}
        self._versions: dict[
            tuple[str, str], tuple[int, int, int]
        ] = {}  # last version received, by head and topic
        self._incarnations: dict[str, ProcessInstance] = {}  # incarnations whose pages are stored, by head
        self._logged_at = 0
        self.malformed_pages = 0

    def start(self) -> None:
        """Start the scorers and the task."""
        self._follow()
        self._parts.scope.spawn("scoring", self._run)

    def follow_record(self, changes: Changes) -> None:
        """Let the fleet's record override the settings' scorers; before `changes` starts."""
        self._changes = changes
        changes.register_user(Kind.SCORER, self)

    def close(self) -> None:
        """Send no further queries to scorers."""
        for one in self._runners.values():
            one.close()

    def apply(self, thing: str, version: Version | None) -> str:
        """Apply a version of a scorer from the record; return "" if it now runs, otherwise the reason."""
        try:
            self._selection.apply(thing, version)
        except InvalidScorer as error:
            return str(error)
        self._follow()
        return ""

    def _follow(self) -> None:
        """Run the selected scorers; those that did not change continue."""
        before = {name: one.namespace for name, one in self._shared.by_scorer.items()}
        run = self._selection.selected()
        self._shared.set_scorers({name: one.namespace for name, one in run.items()})
        kept = {name for name, one in run.items() if before.get(name) == one.namespace}
        for name in self._runners.keys() - kept:
            self._runners.pop(name).close()
        for name, one in run.items():
            if name not in self._runners:
                self._runners[name] = self._new_runner(self._hub, one.make(), name)
                self._votes.pop(name, None)
                self._parts.note("scorer runs", scorer=name, of=str(one.namespace))

    # -- the task

    def _run(self) -> None:
        rules = self._shared.rules
        while True:
            began = self._hub.now()
            self._query_scorers(began)
            self._exchange_weights()
            self._hub.sleep_until(began + rules.look_us)

    def _query_scorers(self, began: int) -> None:
        snapshot = self._observer.snapshot(began)
        scorers = dict(self._shared.by_scorer)
        for name, one in scorers.items():
            if snapshots := one.guard.next_queries(began, snapshot):
                self._runners[name].start_round(snapshots)
        open_ = {
            name: one
            for name, one in scorers.items()
            if one.guard.state in (ScorerState.PENDING, ScorerState.HUNG)
        }
        while True:
            for name, one in list(open_.items()):
                if self._shared.by_scorer.get(name) is not one:
                    del open_[name]  # replaced by another version meanwhile
                elif (answers := self._runners[name].answers()) is not None:
                    one.guard.handle_answers(self._hub.now(), answers)
                    del open_[name]
            if not open_ or self._hub.now() >= began + self._shared.rules.look_us // 2:
                break
            self._hub.sleep(ANSWER_POLL_US)
        for name, one in self._shared.by_scorer.items():
            has = one.guard.state in (ScorerState.ACTIVE, ScorerState.PENDING)
            if self._votes.setdefault(name, True) != has:
                self._votes[name] = has
                if has:
                    self._parts.note("scorer has its vote back", scorer=name)
                else:
                    seconds = max(0, one.guard.suspended_until - self._hub.now()) / 1e6
                    self._parts.note("scorer lost its vote", scorer=name, why=one.guard.reason, for_s=seconds)

    def _exchange_weights(self) -> None:
        now, shared = self._hub.now(), self._shared
        self._receive_pages(now)
        present = frozenset(self._swim.view.present)
        snapshot = self._observer.snapshot(now)
        moment = HeadContext(
            self._swim.me.name, self._hub.clock.wall(), snapshot, present, self._expected_heads
        )
        for page in shared.update(now, moment):
            self._swim.set_topic_note(weight_pages.topic_of(page), weight_pages.encode(page))
        if self._settings.tell_us and now >= self._logged_at + self._settings.tell_us:
            self._logged_at = now
            own = {
                name: _rounded({node: opinion.log for node, opinion in one.own.items()})
                for name, one in shared.by_scorer.items()
            }
            joined = {name: _rounded(one.aggregated) for name, one in shared.by_scorer.items()}
            self._parts.note("fleet weights", weights=_rounded(shared.factors.logs), own=own, joined=joined)

    def _expected_heads(self, space: Namespace) -> frozenset[str]:
        """Return the present heads that should run a scorer: by the record, or all if settings name it."""
        present = frozenset(self._swim.view.present)
        run = next((one for one in self._selection.selected().values() if one.namespace == space), None)
        if run is None or not run.thing or self._changes is None:
            return present
        record = self._changes.record
        mine = record.version_for(run.thing, self._swim.me.name)
        if mine is None:
            return present
        return frozenset(name for name in present if record.version_for(run.thing, name) == mine)

    def _receive_pages(self, now: int) -> None:
        """Handle new pages among the view's notes, and forget heads that left."""
        known = self._versions
        self._versions = {}
        self._incarnations = {
            name: process for name, process in self._incarnations.items() if name in self._swim.view.present
        }
        for row in self._swim.view:
            if not row.record.present or row.record.name == self._swim.me.name:
                continue
            if self._incarnations.setdefault(row.record.name, row.record.process) != row.record.process:
                # The new incarnation may not publish on every topic of the last, whose pages would remain.
                self._shared.forget(row.record.name)
                self._incarnations[row.record.name] = row.record.process
            for topic, note in row.topics.items():
                key = row.record.name, topic
                self._versions[key] = note.precedence
                if known.get(key) == note.precedence or not topic.startswith(weight_pages.TOPIC):
                    continue
                try:
                    page = weight_pages.decode(note.payload)
                except weight_pages.MalformedPage:
                    self.malformed_pages += 1
                    continue
                if weight_pages.topic_of(page) == topic:
                    self._shared.receive(now, row.record.name, page)

    def scorers_without_vote(self) -> dict[str, str]:
        """Return the record's scorers that have no vote here, by thing, with the reason."""
        run = self._selection.selected()
        votes = {name: one.guard for name, one in self._shared.by_scorer.items()}
        return {
            one.thing: f"it has no vote, {votes[name].reason}" for name, one in run.items()
            if one.thing and name in votes and votes[name].state in (ScorerState.SUSPENDED, ScorerState.HUNG)
        }  # fmt: skip

    # -- operators

    def document(self, now: int) -> ScoresStatus:
        """Return this head's status of scoring."""
        shared = self._shared
        scorers = []
        for name, one in sorted(shared.by_scorer.items()):
            voter = one.guard
            scorers.append(
                ScorerStatus(
                    name, str(one.namespace), f"{one.namespace.number:08x}", voter.state.value,
                    max(0, voter.suspended_until - now) / 1e6
                    if voter.state in (ScorerState.SUSPENDED, ScorerState.HUNG) else 0.0,
                    voter.reason, voter.suspensions, one.voters, len(one.peers.heads()),
                )
            )  # fmt: skip
        nodes = []
        for sight in self._observer.snapshot(now).nodes:
            node = sight.node
            logs = {name: one.own[node].log for name, one in shared.by_scorer.items() if node in one.own}
            joined = {name: one.aggregated.get(node, 0.0) for name, one in shared.by_scorer.items()}
            nodes.append(
                NodeScore(
                    node, sight.zone, shared.factors.factor(node),
                    {name: 2.0**log for name, log in logs.items()},
                    {name: 2.0**log for name, log in joined.items()}, shared.gain_of(node),
                    sight.latency_us / 1e3, sight.fill, sight.refused, sight.cold, sight.evidence,
                )
            )  # fmt: skip
        return ScoresStatus(scorers, nodes, self.malformed_pages, shared.alone)


def _rounded(logs: dict[str, float]) -> dict[str, float]:
    return {name: round(log, 4) for name, log in logs.items() if log}
