"""The locks at the witness that this head competes for, each held in terms by one head of the fleet.

The holder of a ledger's lock divides that ledger's budgets; the holder of the last lock decides for the whole
fleet. `Candidate` and `LeaseHolder` decide when to acquire a lock and whose term is valid; this module makes
the calls to the witness.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from harriertrack.config.settings import FleetBudgetSettings
from harriertrack.decisions.fleet.budgets import Term
from harriertrack.decisions.fleet.holder import LeaseHolder
from harriertrack.decisions.fleet.ledger import Ledger
from harriertrack.decisions.fleet.terms import Candidate, LockAcquired, LockHeld, WitnessCall, rank
from harriertrack.gateway.parts import HeadParts
from harriertrack.gateway.witness import FAILURES, WitnessClient
from harriertrack.membership.fleet.swim import Swim
from harriertrack.runtime.datagrams import Address

DECISION_LOCK = 64  # numbered after all ledgers: the lock of the head that decides for the fleet
PATH = "/v1/kv/harriertrack/budgets/"  # key at the witness, followed by the lock's number
POLL_US = 100_000  # longest time between checks of whether this head should acquire a lock


class SilenceReport(msgspec.Struct, frozen=True):
    """Written to the witness by a head that receives nothing from a lock's holder: how many heads it sees."""

    epoch: int
    there: int


class LockValue(msgspec.Struct, frozen=True):
    """The value stored at the witness with a lock."""

    holder: str
    lease_us: int  # the longest lease that the holder grants


@dataclass(slots=True)
class WitnessLock:
    """One lock and this head's state for it, as a candidate and as a holder of leases."""

    number: int
    holder: LeaseHolder
    candidate: Candidate
    owner_address: Address | None = None  # of the head that holds the lock; None: unknown, or this head
    owned: bool = False
    session: str = ""
    announced_at: int = 0
    lapses: int = 0  # of the leases, already logged
    addresses: dict[tuple[str, int], Address] = field(default_factory=dict)
    last_contact: dict[Address, int] = field(default_factory=dict)  # when each address last sent a request

    @property
    def path(self) -> str:
        """Return the lock's key at the witness."""
        return f"{PATH}{self.number}"


class LockManager:
    """The seats' locks at the witness; a task for each lock."""

    def __init__(self, parts: HeadParts, settings: FleetBudgetSettings, swim: Swim,
                 wake_soon: Callable[[], None],
                 on_release: Callable[[WitnessLock, Term], None]) -> None:  # fmt: skip
        self._parts, self._hub, self._settings, self._swim = parts, parts.hub, settings, swim
        self.witness = WitnessClient(parts.hub, parts.network, settings.witness, settings.timeout_us,
                                     swim.me.name)  # fmt: skip
        self._wake_soon, self._on_release = wake_soon, on_release
        self.leaving = False

    def maintain(self, lock: WitnessLock) -> None:
        """Acquire the lock when it is this head's turn, then renew it until the head leaves (a task)."""
        candidate = lock.candidate
        while not self.leaving:
            now = self._hub.now()
            view, me = self._swim.view, self._swim.me.name
            own_rank = 0 if candidate.must_wait(now) else rank(lock.number, me, view.present)
            match candidate.next_call(now, own_rank):
                case WitnessCall.ACQUIRE:
                    self._try_acquire(lock, now)
                case WitnessCall.RENEW:
                    holds = self._renew(lock)
                    candidate.handle_renewal(self._hub.now(), now, holds)
                    self._wake_soon()
                case _:
                    until = candidate.wake_at(now, own_rank)
                    self._hub.sleep(max(1_000, min(until - now, POLL_US)))
        self._release(lock)

    def _try_acquire(self, lock: WitnessLock, requested_at: int) -> None:
        found: LockAcquired | LockHeld | None = None
        try:
            found = self._acquire(lock)
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
        ledger = lock.candidate.handle_acquire(self._hub.now(), requested_at, found)
        if ledger is not None:
            lock.addresses.clear()
            lock.last_contact.clear()
            lock.announced_at = 0
            opens_us = ledger.opens_at - self._hub.now()
            self._parts.note("fleet budgets: term begins", ledger=lock.number, epoch=ledger.term.epoch,
                             opens_us=opens_us)  # fmt: skip
            self._wake_soon()

    def _acquire(self, lock: WitnessLock) -> LockAcquired | LockHeld | None:
        key = self.witness.key(lock.path)
        if key is not None and key.session:
            return LockHeld(key.epoch)
        session = self.witness.create_session(self._settings.term_us)
        value = msgspec.json.encode(LockValue(self._swim.me.name, self._settings.lease_us))
        if not self.witness.change(lock.path, "lock", session, value, key.index if key is not None else 0):
            return None
        written = self.witness.key(lock.path)
        if written is None or written.session != session:
            return None
        lock.session = session
        return LockAcquired(written.epoch, _lease_duration(key.value) if key is not None else 0)

    def _renew(self, lock: WitnessLock) -> bool | None:
        ledger = lock.candidate.ledger
        try:
            if not self.witness.renew_session(lock.session):
                return False
            key, silence = self.witness.key(lock.path), self.witness.key(f"{lock.path}/silent")
        except FAILURES:
            return None
        if silence is not None and ledger is not None:
            self._handle_silence_report(lock, ledger, silence.value)
        return (
            key is not None
            and ledger is not None
            and ((key.session, key.epoch) == (lock.session, ledger.term.epoch))
        )

    def _handle_silence_report(self, lock: WitnessLock, ledger: Ledger, value: bytes) -> None:
        """Resign if a head that receives nothing from this one sees more heads than this one does."""
        try:
            report = msgspec.json.decode(value, type=SilenceReport)
        except msgspec.MsgspecError:
            return  # not written by a head
        there = len(self._swim.view.present)
        if report.epoch == ledger.term.epoch and lock.candidate.resign_if_outnumbered(
            self._hub.now(), report.there, there
        ):
            self._parts.note(
                "fleet budgets: outnumbered", ledger=lock.number, there=there, theirs=report.there
            )
            self._unlock(lock, ledger)

    def _release(self, lock: WitnessLock) -> None:
        ledger = lock.candidate.ledger
        if lock.candidate.leave(self._hub.now()) and ledger is not None:
            self._unlock(lock, ledger)

    def _unlock(self, lock: WitnessLock, ledger: Ledger) -> None:
        try:
            key = self.witness.key(lock.path)
            if key is not None and key.session == lock.session:
                self.witness.change(lock.path, "unlock", lock.session, key.value, key.index)
        except FAILURES:
            pass  # the lock is released when its session expires
        self._on_release(lock, ledger.term)


def _lease_duration(value: bytes) -> int:
    """Return the lease duration of the key's last holder; 0 if the value was not written by a head."""
    try:
        return msgspec.json.decode(value, type=LockValue).lease_us
    except msgspec.MsgspecError:
        return 0
