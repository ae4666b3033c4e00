"""One head's seats: each a lock at the witness that one head of the fleet holds, in terms.

Under the ledgers' seats budgets are divided; under the last one it is decided for the whole fleet. When to
try for a lock and whom to believe is decided by `Candidate` and `Holder`; here is what the witness is asked.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from harriertrack.config.settings import BudgetsSettings
from harriertrack.decisions.fleet.budgets import Term
from harriertrack.decisions.fleet.holder import LeaseHolder
from harriertrack.decisions.fleet.ledger import Ledger
from harriertrack.decisions.fleet.terms import Candidate, LockAcquired, LockHeld, WitnessCall, rank
from harriertrack.gateway.parts import HeadParts
from harriertrack.gateway.witness import FAILURES, WitnessClient
from harriertrack.membership.fleet.swim import Swim
from harriertrack.runtime.datagrams import Address

DECISION_LOCK = 64  # the number after all ledgers: who decides for the fleet
PATH = "/v1/kv/harriertrack/budgets/"  # at the witness, with the lock's number
LOOK_US = 100_000  # how often it is looked who should keep a ledger


class SilenceReport(msgspec.Struct, frozen=True):
    """What a head leaves at the witness that hears nothing of a lock's holder: how many it sees."""

    epoch: int
    there: int


class LockValue(msgspec.Struct, frozen=True):
    """What the witness keeps beside a lock's lock."""

    holder: str
    lease_us: int  # the longest that the holder grants


@dataclass(slots=True)
class WitnessLock:
    """One lock, as this head takes part in it."""

    number: int
    holder: LeaseHolder
    candidate: Candidate
    owner_address: Address | None = None  # whom to ask; None: nobody, or this head itself
    owned: bool = False
    session: str = ""
    announced_at: int = 0
    lapses: int = 0
    addresses: dict[tuple[str, int], Address] = field(default_factory=dict)
    last_contact: dict[Address, int] = field(default_factory=dict)  # when each asked last

    @property
    def path(self) -> str:
        """Return its key at the witness."""
        return f"{PATH}{self.number}"


class LockManager:
    """The seats' locks at the witness; a task for each lock."""

    def __init__(self, parts: HeadParts, settings: BudgetsSettings, swim: Swim, soon: Callable[[], None],
                 vacated: Callable[[WitnessLock, Term], None]) -> None:  # fmt: skip
        self._parts, self._hub, self._settings, self._swim = parts, parts.hub, settings, swim
        self.witness = WitnessClient(parts.hub, parts.network, settings.witness, settings.timeout_us,
                                     swim.me.name)  # fmt: skip
        self._soon, self._vacated = soon, vacated
        self.leaving = False

    def maintain(self, lock: WitnessLock) -> None:
        """Try to keep a ledger when it is this head's turn, and keep it (a task)."""
        candidate = lock.candidate
        while not self.leaving:
            now = self._hub.now()
            view, me = self._swim.view, self._swim.me.name
            here = 0 if candidate.must_wait(now) else rank(lock.number, me, view.present)
            match candidate.next_call(now, here):
                case WitnessCall.ACQUIRE:
                    self._try_take(lock, now)
                case WitnessCall.RENEW:
                    holds = self._renew(lock)
                    candidate.handle_renewal(self._hub.now(), now, holds)
                    self._soon()
                case _:
                    until = candidate.wake_at(now, here)
                    self._hub.sleep(max(1_000, min(until - now, LOOK_US)))
        self._release(lock)

    def _try_take(self, lock: WitnessLock, asked_at: int) -> None:
        found: LockAcquired | LockHeld | None = None
        try:
            found = self._take_lock(lock)
            if isinstance(found, LockHeld) and lock.candidate.holder_silent(self._hub.now()):
                there = len(self._swim.view.present)
                self.witness.put(
                    f"{lock.path}/silent", msgspec.json.encode(SilenceReport(found.epoch, there))
                )
                self._parts.note("fleet budgets: keeper is silent", ledger=lock.number, epoch=found.epoch,
                                 there=there)  # fmt: skip
        except FAILURES as error:
            why = str(error) or type(error).__name__
            self._parts.note("fleet budgets: no witness", ledger=lock.number, why=why)
        ledger = lock.candidate.handle_acquire(self._hub.now(), asked_at, found)
        if ledger is not None:
            lock.addresses.clear()
            lock.last_contact.clear()
            lock.announced_at = 0
            opens_us = ledger.opens_at - self._hub.now()
            self._parts.note("fleet budgets: term begins", ledger=lock.number, epoch=ledger.term.epoch,
                             opens_us=opens_us)  # fmt: skip
            self._soon()

    def _take_lock(self, lock: WitnessLock) -> LockAcquired | LockHeld | None:
        key = self.witness.key(lock.path)
        if key is not None and key.session:
            return LockHeld(key.epoch)
        session = self.witness.create_session(self._settings.term_us)
        value = msgspec.json.encode(LockValue(self._swim.me.name, self._settings.lease_us))
        if not self.witness.change(lock.path, "lock", session, value, key.index if key is not None else 0):
            return None
        mine = self.witness.key(lock.path)
        if mine is None or mine.session != session:
            return None
        lock.session = session
        return LockAcquired(mine.epoch, _lease_of(key.value) if key is not None else 0)

    def _renew(self, lock: WitnessLock) -> bool | None:
        ledger = lock.candidate.ledger
        try:
            if not self.witness.renew_session(lock.session):
                return False
            key, heard = self.witness.key(lock.path), self.witness.key(f"{lock.path}/silent")
        except FAILURES:
            return None
        if heard is not None and ledger is not None:
            self._heed(lock, ledger, heard.value)
        return (
            key is not None
            and ledger is not None
            and ((key.session, key.epoch) == (lock.session, ledger.term.epoch))
        )

    def _heed(self, lock: WitnessLock, ledger: Ledger, value: bytes) -> None:
        """Hear how many heads somebody sees that hears nothing of this one."""
        try:
            told = msgspec.json.decode(value, type=SilenceReport)
        except msgspec.MsgspecError:
            return  # none of ours
        there = len(self._swim.view.present)
        if told.epoch == ledger.term.epoch and lock.candidate.resign_if_outnumbered(
            self._hub.now(), told.there, there
        ):
            self._parts.note("fleet budgets: outnumbered", ledger=lock.number, there=there, theirs=told.there)
            self._give_back(lock, ledger)

    def _release(self, lock: WitnessLock) -> None:
        ledger = lock.candidate.ledger
        if lock.candidate.leave(self._hub.now()) and ledger is not None:
            self._give_back(lock, ledger)

    def _give_back(self, lock: WitnessLock, ledger: Ledger) -> None:
        try:
            key = self.witness.key(lock.path)
            if key is not None and key.session == lock.session:
                self.witness.change(lock.path, "unlock", lock.session, key.value, key.index)
        except FAILURES:
            pass  # its session ends by itself
        self._vacated(lock, ledger.term)


def _lease_of(value: bytes) -> int:
    """Return how long the leases of a key's last holder were; 0 if its value is none of ours."""
    try:
        return msgspec.json.decode(value, type=LockValue).lease_us
    except msgspec.MsgspecError:
        return 0
