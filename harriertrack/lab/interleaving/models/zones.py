"""Model of the fleet's decisions on zones: reports in any order, a decider that dies and is replaced."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field

from harriertrack.decisions.fleet.zones.evacuation import Evacuation
from harriertrack.decisions.fleet.zones.evidence import ZoneObservation
from harriertrack.decisions.fleet.zones.zone_decision import ZoneDecision, ZoneRules, ZoneStage

RULES = ZoneRules(gone_us=200_000, fresh_us=400_000, wait_us=200_000, step_us=100_000, growth=4.0, first=0.2,
                  turn_us=400_000)  # fmt: skip
ZONES = ("x", "y")
STEP_US = 100_000
GOOD, BAD = (4, 0), (0, 4)
OBSERVATIONS: dict[str, dict[str, tuple[int, int]]] = {
    "sees all": {"x": GOOD, "y": GOOD},
    "lacks x": {"x": BAD, "y": GOOD},
    "is cut off": {"x": BAD, "y": BAD},
}


@dataclass(slots=True)
class State:
    """The decider, the last reports of the heads, and the published decisions."""

    now: int = 1_000_000
    decider: Evacuation = field(default_factory=lambda: Evacuation(RULES))
    published: tuple[ZoneDecision, ...] = ()
    reported: dict[str, tuple[str, int]] = field(default_factory=dict)  # by head: report and time
    lacks: dict[str, int] = field(default_factory=dict)  # by head: time since which it has not reached x
    deaths: int = 1
    left_at: int = 0
    wrong: str = ""


class ZoneModel:
    """Invariants: a zone is evacuated only on evidence, never the last one, and returns stage by stage."""

    name = "zones"
    about = "the fleet's word on two zones: what two heads see, in any order, and a decider that dies"

    def __init__(self, until_us: int = 500_000, left: bool = False) -> None:
        self._until, self._evacuated_at_start = until_us + 1_000_000, left
        if left:
            self.name, self.about = "zones-left", "the same where one zone has just been left"

    def start(self) -> State:
        """Return the state in which all zones are in use."""
        state = State(decider=Evacuation(RULES))
        state.decider.decide(state.now, ZONES, 2)
        while self._evacuated_at_start and not state.published:
            for event in ("a: lacks x", "b: lacks x", "time"):
                self.apply(state, event)
        return state

    def events(self, state: State) -> Iterator[str]:
        """Name the enabled events."""
        if state.now < self._until:
            yield "time"
        for head in ("a", "b"):
            for what in OBSERVATIONS:
                if state.reported.get(head, ("", 0)) != (what, state.now):
                    yield f"{head}: {what}"
        if state.deaths:
            yield "the decider dies"

    def apply(self, state: State, event: str) -> None:
        """Apply an event to the state, in place; the decider runs each time that time passes."""
        if event == "time":
            state.now += STEP_US
            self._decide(state)
        elif event == "the decider dies":
            state.deaths -= 1
            state.decider = Evacuation(RULES)
            state.decider.resume(state.now, state.published)
        else:
            head, what = event.split(": ")
            state.reported[head] = (what, state.now)
            if what == "lacks x":
                state.lacks.setdefault(head, state.now)
            else:
                state.lacks.pop(head, None)
            observations = tuple(ZoneObservation(zone, *seen, 8) for zone, seen in OBSERVATIONS[what].items())
            state.decider.record_report(state.now, head, observations)

    def _decide(self, state: State) -> None:
        before = {decision.zone: decision.stage for decision in state.published}
        state.decider.decide(state.now, ZONES, 2)
        state.published = state.decider.decisions(state.now)
        steps = {
            ZoneStage.IN: (ZoneStage.IN, ZoneStage.OUT),
            ZoneStage.OUT: (ZoneStage.OUT, ZoneStage.TRYING),
            ZoneStage.TRYING: (ZoneStage.TRYING, ZoneStage.RETURNING),
            ZoneStage.RETURNING: (ZoneStage.RETURNING, ZoneStage.IN, ZoneStage.OUT),
        }
        for name, zone in state.decider.zones.items():
            previous = before.get(name, ZoneStage.IN)
            if zone.stage not in steps[previous]:
                state.wrong = f"{name} went from {previous.value} to {zone.stage.value}"
            if previous is ZoneStage.IN and zone.stage is ZoneStage.OUT:
                self._check_evacuation(state, name)

    def _check_evacuation(self, state: State, name: str) -> None:
        since = state.now - RULES.fresh_us
        fresh = [head for head in ("a", "b") if state.reported.get(head, ("", 0))[1] >= since]
        lacking = [head for head in fresh if state.reported[head][0] == "lacks x"]
        seeing = [head for head in fresh if state.reported[head][0] == "sees all"]
        if name != "x" or len(lacking) < 2 or seeing:
            state.wrong = f"{name} was left though {state.reported}"
        elif min(state.lacks[head] for head in lacking) > state.now - RULES.gone_us:
            state.wrong = f"{name} was left before it had been gone for {RULES.gone_us} us"

    def wrong(self, state: State) -> str | None:
        """Return the violated invariant, if there is one."""
        zones = state.decider.zones
        # A new decider knows only the zones in published decisions; the others are in use.
        if ZoneStage.IN not in [zones[name].stage if name in zones else ZoneStage.IN for name in ZONES]:
            return "no zone is in use"
        if any(not 0 <= zone.share <= 1 for zone in zones.values()):
            return "a share beyond one"
        return state.wrong or None
