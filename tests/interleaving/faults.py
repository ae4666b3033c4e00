"""Seeded faults in the production code, made in memory: one text of one function is replaced by another."""

import importlib
import inspect
import sys
import textwrap
from contextlib import ExitStack, contextmanager
from dataclasses import dataclass
from unittest.mock import patch


@dataclass(frozen=True)
class Fault:
    """`where`: module:Class.function or module:function; `found_by`: the scenario or model that finds it."""

    name: str
    found_by: str
    where: str
    original: str
    replacement: str
    turns: int = 1
    newest: bool = False

    @contextmanager
    def injected(self):
        module, _, path = self.where.partition(":")
        owner = module = importlib.import_module(f"harriertrack.{module}")
        *outer, name = path.split(".")
        for part in outer:
            owner = getattr(owner, part)
        attribute = inspect.getattr_static(owner, name)
        function = attribute.fget if isinstance(attribute, property) else attribute
        source = textwrap.dedent(inspect.getsource(function))
        assert source.count(self.original) == 1, f"{self.where} does not say {self.original!r} once"
        changed_source = source.replace(self.original, self.replacement)
        scope: dict = {}
        exec(
            compile("from __future__ import annotations\n" + changed_source, self.where, "exec"),
            vars(module),
            scope,
        )  # noqa: S102
        changed_function = scope[name]  # with the decorators of the source
        with ExitStack() as stack:
            stack.enter_context(patch.object(owner, name, changed_function))
            for importer in [one for key, one in sys.modules.items() if key.startswith("harriertrack.")]:
                if importer is not module and vars(importer).get(name) is attribute:
                    stack.enter_context(patch.object(importer, name, changed_function))
            yield


HUB, STREAMS = "runtime.hub", "runtime.streams"
SOCKET, MEMORY = f"{STREAMS}:SocketStream", "runtime.memory_streams:MemoryStream"
WITNESS, LEASES = "gateway.witness:WitnessClient", "membership.leases"
STORED_RECORD, WRITING = "gateway.fleet.changes.stored_record", "decisions.fleet.changes.operations"
WATCH, DISCOVERY = "decisions.discovery_watch:DiscoveryWatch", "service.discovery:Discovery"
LEDGER, HOLDER = "decisions.fleet.ledger", "decisions.fleet.holder:LeaseHolder"
LINK = "decisions.link_lifecycle:LinkLifecycle"
CLOSING = "decisions.fleet.closing"
BUDGETS, TERMS = "decisions.fleet.budgets", "decisions.fleet.terms:Candidate"
ZONES = "decisions.fleet.zones.evacuation:Evacuation"
SCORING, VIEW = "decisions.fleet.scoring", "membership.fleet.view:View"
WEIGHTS = "gateway.fleet.scoring.carrier:Scoring"
LAUNCHING = "decisions.fleet.rollout.launch_state:LaunchStateMachine"
LAUNCHER = "gateway.fleet.rollout.launcher.launcher:Launcher"
CLOSES, CLOSE_HANDLING = "gateway.fleet.closing.carrier:Closing", "decisions.requests.closes:CloseHandling"
ROLLOUT = "decisions.fleet.rollout.rollout:Rollout"
FOLLOWING = "decisions.fleet.changes.follower:Follower"

FAULTS = (
    Fault("a cancel wakes nobody", "hub-cancel-wake", f"{HUB}:Task.cancel", "self._hub._wake(self)", "pass"),
    Fault(
        "a deadline above a cancel",
        "hub-deadline-cancel",
        f"{HUB}:Hub._resume",
        "if task._cancelling and task._unwait",
        "if task._cancelling and error is None and task._unwait",
    ),
    Fault(
        "a deadline outlives its wait", "hub-deadline-wake", f"{HUB}:Hub.park", "timer.cancel()", "pass", 2
    ),
    Fault("a wait that ended still waits", "hub-deadline-wake", f"{HUB}:Hub._resume", "unwait()", "pass", 2),
    Fault("a flag is raised unheard", "hub-two-wait", f"{HUB}:Event.set", "self._waiters.notify()", "pass"),
    Fault(
        "one of two is woken",
        "hub-two-wait",
        f"{HUB}:Waiters.notify",
        "for task in self._waiting:",
        "for task in list(self._waiting)[:1]:",
    ),
    Fault(
        "a task is made ready twice",
        "hub-deadline-wake",
        f"{HUB}:Hub._wake",
        "if not task._scheduled and not task.done",
        "if not task.done",
        2,
    ),
    Fault("a failed task's scope goes on", "hub-scope-join", f"{HUB}:Scope._ended", "self.cancel()", "pass"),
    Fault(
        "a scope's error reaches nobody",
        "hub-scope-error",
        f"{HUB}:Scope._ended",
        "self._owner.cancel()",
        "pass",
        2,
    ),
    Fault(
        "a scope's cancel is not spent",
        "hub-scope-error",
        f"{HUB}:Scope._join",
        "owner._cancelling = cancelled is not None or (owner._cancelling and not self._stopped_owner)",
        "owner._cancelling = self._stopped_owner",
        2,
    ),
    Fault(
        "a scope's owner leaves early",
        "hub-scope-cancel",
        f"{HUB}:Scope._join",
        "while self._tasks:",
        "if self._tasks:",
        2,
    ),
    Fault(
        "a late starter outlives its scope", "hub-late-starter", f"{HUB}:Scope.spawn", "task.cancel()", "pass"
    ),
    Fault(
        "a closed stream's reader waits",
        "socket-close-read",
        f"{SOCKET}._shut",
        "self._notify_reader()",
        "pass",
    ),
    Fault(
        "a closed stream is polled on",
        "socket-close-read",
        f"{SOCKET}._shut",
        "self._hub.remove_handler(self._handler)",
        "pass",
    ),
    Fault(
        "a closed stream is read", "socket-close-read", f"{SOCKET}.read_now", "if self._closed:", "if False:"
    ),
    Fault(
        "what the peer did not take is forgotten",
        "socket-all-arrives",
        f"{SOCKET}._set_interest",
        "(WRITE if self._out else 0)",
        "0",
    ),
    Fault(
        "what was sent is sent again",
        "socket-all-arrives",
        f"{SOCKET}._flush",
        "out[0] = memoryview(first)[sent:]",
        "pass",
    ),
    Fault(
        "an end is told twice",
        "socket-close-read",
        f"{SOCKET}._on_events",
        "act, self._on_end = self._on_end, None",
        "act = self._on_end",
        2,
    ),
    Fault(
        "told as sent before it is",
        "socket-abort-write",
        f"{SOCKET}._flush",
        "if not out and self._on_pushed",
        "if self._on_pushed",
    ),
    Fault(
        "a reset leaves a writer waiting",
        "socket-abort-write",
        f"{SOCKET}._shut",
        "self._writable.notify()",
        "pass",
        2,
    ),
    Fault("bytes come unheard", "witness-two-writers", f"{MEMORY}._arrive", "self._notify_reader()", "pass"),
    Fault("an end comes unheard", "memory-all-arrives", f"{MEMORY}._end", "self._notify_reader()", "pass"),
    Fault(
        "who closes leaves its own reader",
        "memory-close-alone",
        f"{MEMORY}._leave",
        "self._notify_reader()",
        "pass",
    ),
    Fault(
        "the end overtakes bytes",
        "memory-all-arrives",
        f"{MEMORY}.read_now",
        "if not self._in:",
        "if self._eof or not self._in:",
    ),
    Fault(
        "a reset looks like an end",
        "memory-abort-write",
        f"{MEMORY}._end",
        "self._error, self._closed = error, True",
        "pass",
        2,
    ),
    Fault(
        "what was called off is sent",
        "link-cancel",
        f"{LINK}.call_off",
        "self._waiting.pop(cookie, None) is not None",
        "cookie in self._waiting",
    ),
    Fault(
        "what was sent is told as never run",
        "link-node-dies",
        f"{LINK}.close",
        "self.state is LinkState.DIALING",
        "True",
    ),
    Fault(
        "what waited is told twice",
        "link-node-dies",
        f"{LINK}.complete_handshake",
        "self._waiting.clear()",
        "pass",
    ),
    Fault(
        "a broken link tells nobody",
        "link-node-dies",
        "gateway.links:Link.run",
        "for attempt, result in lost:",
        "for attempt, result in lost[:0]:",
    ),
    Fault(
        "a refused change counts as made",
        "witness-two-writers",
        f"{WITNESS}._transact",
        "return 0",
        "return 1",
    ),
    Fault(
        "a change without a check",
        "witness-two-writers",
        f"{LEASES}:key_request",
        '[{"KV": check}, {"KV": change}]',
        '[{"KV": change}]',
        newest=True,
    ),
    Fault(
        "a session counts from its answer",
        "witness-lock",
        f"{LEASES}:Session.record_grant",
        "sent_at + self.safe_us",
        "sent_at + 3 * self.safe_us",
    ),
    Fault(
        "an epoch outlives its session",
        "witness-lock",
        f"{LEASES}:HeldLocks.epoch",
        " or not self.session.valid(now)",
        "",
    ),
    Fault(
        "a change that lost is told as made", "changes-two", f"{STORED_RECORD}:write", "if index:", "if True:"
    ),
    Fault(
        "a change is written over another",
        "changes-two",
        f"{STORED_RECORD}:write",
        "witness.replace(PATH, data, found.index)",
        "witness.replace(PATH, data, read(witness).index)",
        newest=True,
    ),
    Fault(
        "a term that is over decides",
        "changes-terms",
        f"{WRITING}:set_state",
        "if epoch < record.epoch:",
        "if False:",
    ),
    Fault(
        "a second version under way",
        "changes-two",
        f"{WRITING}:propose",
        "if current is not None:",
        "if False:",
    ),
    Fault(
        "the old watch is not cancelled", "watch-moves", f"{DISCOVERY}._start", "self._task.cancel()", "pass"
    ),
    Fault(
        "news are not taken",
        "watch-late",
        f"{DISCOVERY}._apply",
        "if outcome is UpdateOutcome.APPLY:",
        "if targets.full:",
    ),
    Fault(
        "a call has no end",
        "watch-moves",
        f"{DISCOVERY}._follow",
        "call.done.wait(call.started_at + call.spec.timeout_us)",
        "call.done.wait()",
    ),
    Fault(
        "a head that moved goes by the old state",
        "watch-moves",
        f"{WATCH}.restart",
        "self.state = WatchState.CATCHING_UP",
        "self.state = WatchState.IDLE",
    ),
    Fault(
        "a share is lent before it is back",
        "leases",
        f"{LEDGER}:BudgetAccount.committed",
        "holding.committed",
        "holding.granted",
    ),
    Fault(
        "a share is lowered unheard",
        "leases",
        f"{HOLDER}.apply_grant",
        "held.share.set_leased(now, share.rate, max(0.0, share.tokens))",
        "held.share.set_leased(now, max(share.rate, held.share.leased), 0.0)",
    ),
    Fault(
        "a lease counts from its answer",
        "leases-end",
        f"{HOLDER}.apply_grant",
        "sent_at + self.rules.holder_lease_us(lease_us)",
        "now + self.rules.holder_lease_us(lease_us)",
    ),
    Fault(
        "a holder's clock is taken for exact",
        "leases-end",
        f"{BUDGETS}:BudgetRules.holder_lease_us",
        "(1 - self.clock_error)",
        "1",
    ),
    Fault(
        "a ledger ends leases early",
        "leases-end",
        f"{BUDGETS}:BudgetRules.granter_lease_us",
        "lease_us * (1 + self.clock_error)",
        "lease_us * 0.7",
    ),
    Fault(
        "what was granted outlives its term",
        "leases",
        f"{HOLDER}._drop",
        "held.share.drop_leased(now)",
        "pass",
    ),
    Fault("a term opens at once", "terms-cut", f"{TERMS}.handle_acquire", "now + earlier_us", "now", 1),
    Fault(
        "a term counts from its answer",
        "terms-cut",
        f"{TERMS}.handle_acquire",
        "requested_at + self._safe_us",
        "now + self._safe_us",
        1,
    ),
    Fault(
        "a keeper's clock is taken for exact",
        "terms-cut",
        f"{TERMS}._safe_us",
        "(1 - 2 * self.rules.clock_error)",
        "1.1",
        1,
    ),
    Fault(
        "no answer counts as a renewal",
        "terms-cut",
        f"{TERMS}.handle_renewal",
        "if holds is None:",
        "holds = holds is not False\n    if holds is None:",
        1,
    ),
    Fault(
        "a cut-off head counts",
        "zones",
        f"{ZONES}.summarize",
        "if not any(one.responding for one in report.observations) and len(report.observations) != 1:",
        "if False:",
        2,
    ),
    Fault(
        "one head's word is enough", "zones", f"{ZONES}.decide", "min(self.rules.heads, max(1, heads))", "1"
    ),
    Fault(
        "a zone is left at once",
        "zones",
        f"{ZONES}._update_in",
        "now >= zone.failed_since + self.rules.gone_us",
        "now >= zone.failed_since",
        2,
    ),
    Fault(
        "old sights count",
        "zones",
        f"{ZONES}.summarize",
        "if report.received_at < now - self.rules.fresh_us:",
        "if False:",
        2,
    ),
    Fault(
        "a new decider forgets",
        "zones-left",
        f"{ZONES}.resume",
        "one.stage, returned_at, one.share",
        "ZoneStage.IN, returned_at, one.share",
        1,
    ),
    Fault(
        "a fence opens in doubt",
        "closing",
        f"{CLOSING}.fences:Fence.state",
        "reading.high < after[0].at_us",
        "reading.low < after[0].at_us",
    ),
    Fault(
        "a close fires in doubt",
        "closing",
        f"{CLOSING}.fences:Fence.closes_to_purge",
        "min(reading.low, confirmed_until)",
        "min(reading.high, confirmed_until)",
    ),
    Fault(
        "a head that nobody tells goes on",
        "closing-cut",
        f"{CLOSING}.fences:Fences.is_blind",
        "reading is None or reading.high >= self.confirmed_until",
        "reading is None",
        2,
    ),
    Fault(
        "what is announced is changed",
        "closing-cut",
        f"{CLOSING}.schedule:compute_schedule",
        "firm_until = latest + notice_us",
        "firm_until = latest",
        3,
    ),
    Fault(
        "a follower goes back",
        "changes-once",
        f"{FOLLOWING}.finish_fetch",
        "newer = found is not None and (found.revision, digest) > (self.record.revision, self.digest)",
        "newer = found is not None",
        3,
    ),
    Fault(
        "a note of a life before counts",
        "weights-restart",
        f"{VIEW}.apply_topic_note",
        "row.record.process != ProcessInstance(note.started, note.instance)",
        "False",
        newest=True,
    ),
    Fault(
        "pages of two lives stand side by side",
        "weights-restart",
        f"{WEIGHTS}._receive_pages",
        "self._shared.forget(row.record.name)",
        "pass",
    ),
    Fault(
        "an older note takes a newer one's place",
        "weights-restart",
        f"{VIEW}.apply_topic_note",
        "known is not None and note.precedence <= known.precedence",
        "False",
    ),
    Fault(
        "a weight moves twice as fast",
        "weights-restart",
        f"{SCORING}.damping:DampedWeight.move",
        "rules.rate * self.gain",
        "rules.rate * 2 * self.gain",
    ),
    Fault(
        "a head that stood still has a windfall",
        "weights-hung",
        f"{SCORING}.damping:DampedWeight.move",
        "min(elapsed_us, 2 * rules.look_us)",
        "elapsed_us",
    ),
    Fault(
        "another version's scorer is asked on",
        "weights-swap",
        f"{WEIGHTS}._follow",
        "if before.get(name) == one.namespace",
        "if name in before",
    ),
    Fault(
        "who lost its vote is heard",
        "weights-hung",
        f"{SCORING}.scorer_guard:ScorerGuard._suspend",
        "self.scores, self._reference = {}, None",
        "pass",
    ),
    Fault(
        "an answer that hung counts",
        "weights-hung",
        f"{SCORING}.scorer_guard:ScorerGuard.handle_answers",
        "self._transition(ScorerState.SUSPENDED)\n        return False",
        "self.state = ScorerState.PENDING",
    ),
    Fault(
        "a start is written down after it",
        "launch-killed",
        f"{LAUNCHER}._start",
        "self.machine.record_start(token)",
        "self.machine.saved = __import__('dataclasses').replace(self.machine.saved, token=token)",
    ),
    Fault(
        "a launcher that is back forgets its head",
        "launch-killed",
        f"{LAUNCHING}.begin",
        "if child:",
        "if False:",
    ),
    Fault(
        "who is asked to end counts as gone",
        "launch-deaf",
        f"{LAUNCHER}.run",
        "not self._child.alive:",
        "(machine.phase is Phase.DRAINING or not self._child.alive):",
    ),
    Fault(
        "a bad version is tried for ever",
        "launch-bad",
        f"{LAUNCHING}._handle_failure",
        "saved.tries + 1 >= self.rules.tries",
        "False",
    ),
    Fault(
        "what fell is tried anew",
        "launch-bad",
        f"{LAUNCHING}.request_program",
        " or program.number == saved.fell != 0",
        "",
    ),
    Fault(
        "good is who serves for a moment",
        "launch-bad",
        f"{LAUNCHING}.advance",
        "proven = now >= self._since + rules.prove_us",
        "proven = True",
    ),
    Fault(
        "a stop between two heads is not heard",
        "launch-stops",
        f"{LAUNCHING}.stop",
        "self._actions.append(Exit())",
        "pass",
    ),
    Fault(
        "who does not end is never ended",
        "launch-deaf",
        f"{LAUNCHING}.advance",
        "now >= self._since + rules.drain_us",
        "False",
    ),
    Fault(
        "a new write overtakes a trim",
        "close-write",
        f"{CLOSES}._close",
        "core.hold_purged({(volume, extent) for volume, extent, _ in purged if volume in core.volumes})",
        "pass",
    ),
    Fault(
        "what is asked in doubt passes",
        "close-write",
        f"{CLOSING}.fences:Fences.refusal_hint_us",
        "is not FenceState.OPEN",
        "is FenceState.PURGING",
    ),
    Fault(
        "a guard lets all pass",
        "close-write",
        "gateway.fleet.closing.guard:Guard.refusal_hint_us",
        "or not self._fences.may_purge(volume)",
        "or True",
    ),
    Fault(
        "a close that may have come purges",
        "close-write",
        f"{CLOSING}.fences:Fence.closes_to_purge",
        "min(reading.low, confirmed_until)",
        "min(reading.high, confirmed_until)",
    ),
    Fault(
        "a close purges nothing", "close-write", f"{CLOSES}._covers", "return touched and", "return False and"
    ),
    Fault(
        "what is open at a close goes on",
        "close-write",
        f"{CLOSE_HANDLING}.close_off",
        "if not covers(request.volume.settings.name, part.offset, part.length):",
        "if True:",
    ),
    Fault(
        "a word for another list confirms this one",
        "close-late",
        f"{CLOSES}._confirm_closes",
        "and digest == digest_of(self._bodies)",
        "",
    ),
    Fault(
        "a stage ends unheard",
        "rollout-decider",
        f"{ROLLOUT}._unmet_condition",
        "if missing > int(self.plan.missing * len(named)) or not running:",
        "if not named:",
    ),
    Fault(
        "who is not named runs it",
        "rollout-decider",
        "decisions.fleet.changes.record:Record.version_for",
        " and current.targets(head)",
        "",
    ),
    Fault(
        "the first stage is the last",
        "rollout-decider",
        f"{ROLLOUT}._advance",
        "if at == len(plan.stages):",
        "if at >= 1:",
    ),
    Fault(
        "what was turned down counts as run",
        "rollout-falls",
        f"{FOLLOWING}.mark_rejected",
        "mine.rejected, mine.reason = number, reason",
        "mine.running = number",
    ),
    Fault(
        "a head that does not take it stops nothing",
        "rollout-falls",
        f"{ROLLOUT}._begin_rollback",
        "if len(rejecting) >= self.plan.bounds.falls:",
        "if False:",
    ),
    Fault(
        "a part of a sweep is the whole",
        "sweeps",
        f"{CLOSING}.sweeps:SweepProgress.completed",
        "done & ALL_SLICES == ALL_SLICES",
        "done & 1",
        2,
    ),
    Fault(
        "a volume opens before it is swept",
        "sweeps",
        f"{CLOSING}.fences:Fence.unswept_closes",
        "swept < one.number <=",
        "one.number <",
        2,
    ),
    Fault(
        "a slice is done before its last extent",
        "sweeps",
        f"{CLOSING}.sweeps:Sweep.done_slices",
        "if not extents",
        "if len(extents) < 2",
        2,
    ),
    Fault(
        "two heads go at once",
        "rollout",
        "decisions.fleet.rollout.selection:select_next_away",
        "if len(out) >= most:",
        "if False:",
        2,
    ),
    Fault(
        "who has not come back is not away",
        "rollout",
        f"{ROLLOUT}.away_heads",
        "elif (name in named) != (head.running_version == self.number):",
        "elif False:",
        2,
    ),
    Fault(
        "a level is raised by some",
        "rollout",
        "decisions.fleet.rollout.feature_levels:next_level",
        "min(understood[name] for name in voters)",
        "max(understood[name] for name in voters)",
        2,
    ),
    Fault(
        "turns damp nothing",
        "weights",
        f"{SCORING}.damping:DampedWeight.move",
        "self.gain / 2",
        "self.gain",
        4,
    ),
    Fault(
        "a relapse costs no more",
        "weights",
        f"{SCORING}.scorer_guard:ScorerGuard._suspend",
        "2 ** min(self.suspensions, 20)",
        "1",
        2,
    ),
    Fault(
        "a cold node is a favourite", "weights", f"{SCORING}.damping:weight_ceiling", "node.cold or ", "", 2
    ),
    Fault(
        "who has no vote is asked",
        "weights",
        f"{SCORING}.scorer_guard:ScorerGuard.next_queries",
        "self.state is ScorerState.SUSPENDED and now >= self.suspended_until",
        "self.state is ScorerState.SUSPENDED",
        2,
    ),
    Fault(
        "a share is lent on while it is in use",
        "budgets-stands",
        f"{LEDGER}:BudgetAccount.committed",
        "holding.committed",
        "holding.granted",
    ),
    Fault(
        "a lease that is over is used",
        "budgets-stands",
        f"{HOLDER}.lease_valid",
        "now < self.lease.expires_at",
        "True",
    ),
    Fault(
        "a share goes down unheard",
        "budgets-return",
        f"{HOLDER}.apply_grant",
        "held.share.set_leased(now, share.rate, max(0.0, share.tokens))",
        "held.share.set_leased(now, max(share.rate, held.share.leased), 0.0)",
    ),
)
