"""Random faults on a division."""

from __future__ import annotations

import random

from harriertrack.lab.fleet.division.division import Division


class Trial:
    """Random faults of heads, network and witness on a division, from its seed."""

    def __init__(self, division: Division) -> None:
        self.division = division
        self._random = random.Random(division.random.getrandbits(32))
        self._backup = division.witness.backup()
        self._down_since_us = 0
        self.events: list[str] = []

    def run(self, us: int) -> None:
        """Inject random faults for a time."""
        division, rng = self.division, self._random
        end_us = division.now + us
        while division.now < end_us:
            self._demand()
            action = rng.choice((
                self._kill, self._start, self._stop, self._part, self._heal, self._weather, self._jump,
                self._dark, self._light, self._herd, self._leave, self._rest,
            ))  # fmt: skip
            action()
            self.events.append(f"{division.now / 1e6:.2f} {action.__name__.strip('_')}")
            division.run(rng.choice((50_000, 300_000, 1_000_000, 2_500_000)))

    def heal(self) -> None:
        """End all faults, and start all heads that are not running."""
        self._heal()
        self._light()
        for name in self.division.names:
            if name not in self.division.members:
                self.division.start(name)

    def _some_heads(self, share: float = 0.3) -> list[str]:
        alive = list(self.division.members)
        return self._random.sample(alive, max(1, round(share * len(alive)))) if alive else []

    def _demand(self) -> None:
        division, rng = self.division, self._random
        for budget, total in division.totals.items():
            name = rng.choice(division.names)
            division.demand[name, budget] = rng.choice((0.0, 0.02, 0.1, 0.5, 1.2)) * total.rate

    def _kill(self) -> None:
        for name in self._some_heads(0.15):
            self.division.kill(name)

    def _start(self) -> None:
        for name in self.division.names:
            if name not in self.division.members and self._random.random() < 0.5:
                self.division.start(name)

    def _stop(self) -> None:
        names = self._some_heads(0.15)
        if (owner := self.division.ledger_owner()) is not None and self._random.random() < 0.5:
            names.append(owner.name)
        for name in names:
            self.division.suspend(name, self._random.choice((100_000, 700_000, 1_100_000, 4_000_000)))

    def _part(self) -> None:
        side = set(self._some_heads(self._random.choice((0.1, 0.5))))
        one_way = self._random.random() < 0.3
        self.division.cut_off_from_witness = side if self._random.random() < 0.5 else set()
        self.division.is_cut = lambda source, target: (
            (source in side) != (target in side) and (not one_way or source in side)
        )

    def _heal(self) -> None:
        division = self.division
        division.is_cut = lambda _source, _target: False
        division.loss = division.duplication = 0.0
        division.late_us, division.cut_off_from_witness = 0, set()

    def _weather(self) -> None:
        division, rng = self.division, self._random
        division.loss, division.duplication = rng.choice((0.0, 0.1, 0.4)), rng.choice((0.0, 0.3))
        division.late_us = rng.choice((0, 20_000, 400_000, 2_500_000))

    def _jump(self) -> None:
        """Move all traffic to one head."""
        division = self.division
        for budget, total in division.totals.items():
            for name in division.names:
                division.demand[name, budget] = 0.0
            division.demand[self._random.choice(division.names), budget] = 1.2 * total.rate

    def _dark(self) -> None:
        witness = self.division.witness
        if not witness.is_down:
            witness.is_down, self._down_since_us = True, self.division.now
            self._backup = witness.backup() if self._random.random() < 0.3 else self._backup

    def _light(self) -> None:
        """Restart the witness, sometimes from a backup if it was down for longer than two sessions."""
        division = self.division
        if division.witness.is_down:
            division.witness.is_down = False
            down_us = division.now - self._down_since_us
            if down_us > 2 * division.rules.term_us and self._random.random() < 0.5:
                division.witness.restore(division.now, self._backup)

    def _herd(self) -> None:
        """Kill most heads and restart them immediately, with the same names and without their state."""
        for name in self._some_heads(0.7):
            self.division.kill(name)
            self.division.start(name)

    def _leave(self) -> None:
        if (owner := self.division.ledger_owner()) is not None and not owner.is_suspended:
            self.division.leave(owner.name)

    def _rest(self) -> None:
        pass
