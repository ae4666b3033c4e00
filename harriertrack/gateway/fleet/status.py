"""The operators' status of a head's budgets and of the ledgers that it holds."""

from __future__ import annotations

from collections.abc import Collection, Sequence

from harriertrack.decisions.fleet.budget_shares import BUDGET_UNITS, BudgetKind
from harriertrack.decisions.fleet.ledger import Ledger
from harriertrack.gateway.fleet.locks import WitnessLock
from harriertrack.membership.fleet.status_document import (
    BudgetShareStatus,
    BudgetsStatus,
    LeaseStatus,
    LedgerHolderStatus,
    LedgerStatus,
    digest_name,
)

MAX_LISTED = 2_000  # most budgets, and most leases of a ledger, in one document


def budgets_status(
    now: int, locks: Sequence[WitnessLock], present: Collection[str], counts: dict[str, int]
) -> BudgetsStatus:
    """Return the status of the budgets, the ledgers held and the locks."""
    shares = [
        BudgetShareStatus(
            name, BUDGET_UNITS[BudgetKind(name.partition("/")[0])],
            one.share.total.rate, one.share.total.burst,
            one.share.total.fixed * one.share.total.rate / one.share.total.hosts,
            one.share.leased if lock.holder.lease_valid(now) else 0.0, one.demand, one.share.level,
        )
        for lock in locks for name, one in lock.holder.budgets.items()
    ]  # fmt: skip
    ledgers, more = [], max(0, len(shares) - MAX_LISTED)
    for lock in locks:
        if lock.candidate.holds_term(now) and lock.candidate.ledger is not None:
            row, left = _ledger_status(now, lock, lock.candidate.ledger, present)
            ledgers.append(row)
            more += left
    lock_rows = [
        LedgerHolderStatus(
            lock.number, lock.candidate.state.value,
            lock.holder.term.epoch if lock.holder.term is not None else None,
            "itself" if lock.owned
            else f"{lock.owner_address[0]}:{lock.owner_address[1]}" if lock.owner_address else "",
            max(0, lock.holder.lease.expires_at - now) / 1e6, lock.holder.lapses,
        )
        for lock in locks
    ]  # fmt: skip
    return BudgetsStatus(lock_rows, sorted(shares, key=lambda one: one.budget)[:MAX_LISTED], ledgers, counts,
                       more)  # fmt: skip


def _ledger_status(
    now: int, lock: WitnessLock, ledger: Ledger, present: Collection[str]
) -> tuple[LedgerStatus, int]:
    leases = [
        LeaseStatus(name, holder[0], digest_name(holder[1]), lease.granted, lease.committed, lease.demand,
                 max(0, ledger.tenancies[holder].expires_at - now) / 1e6, holder[0] in present)
        for name, account in sorted(ledger.accounts.items()) for holder, lease in account.holdings.items()
    ]  # fmt: skip
    row = LedgerStatus(
        lock.number, ledger.term.epoch, max(0, ledger.opens_at - now) / 1e6,
        (lock.candidate.valid_until - now) / 1e6, len(ledger.tenancies), ledger.moves,
        {name: account.total for name, account in list(sorted(ledger.accounts.items()))[:MAX_LISTED]},
        leases[:MAX_LISTED],
    )  # fmt: skip
    return row, max(0, len(leases) - MAX_LISTED)
