"""What operators see of a head's budgets and of the ledgers that it keeps."""

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

MAX_LISTED = 2_000  # portions, and slips, in one document


def budgets_status(
    now: int, locks: Sequence[WitnessLock], present: Collection[str], counts: dict[str, int]
) -> BudgetsStatus:
    """Return what a head tells of the locks that it takes part in."""
    portions = [
        BudgetShareStatus(
            name, BUDGET_UNITS[BudgetKind(name.partition("/")[0])],
            one.share.total.rate, one.share.total.burst,
            one.share.total.fixed * one.share.total.rate / one.share.total.hosts,
            one.share.leased if lock.holder.lease_valid(now) else 0.0, one.demand, one.share.level,
        )
        for lock in locks for name, one in lock.holder.budgets.items()
    ]  # fmt: skip
    ledgers, more = [], max(0, len(portions) - MAX_LISTED)
    for lock in locks:
        if lock.candidate.holds_term(now) and lock.candidate.ledger is not None:
            told, left = _ledger_told(now, lock, lock.candidate.ledger, present)
            ledgers.append(told)
            more += left
    found = [
        LedgerHolderStatus(
            lock.number, lock.candidate.state.value,
            lock.holder.term.epoch if lock.holder.term is not None else None,
            "itself" if lock.owned
            else f"{lock.owner_address[0]}:{lock.owner_address[1]}" if lock.owner_address else "",
            max(0, lock.holder.lease.expires_at - now) / 1e6, lock.holder.lapses,
        )
        for lock in locks
    ]  # fmt: skip
    return BudgetsStatus(found, sorted(portions, key=lambda one: one.budget)[:MAX_LISTED], ledgers, counts,
                       more)  # fmt: skip


def _ledger_told(
    now: int, lock: WitnessLock, ledger: Ledger, present: Collection[str]
) -> tuple[LedgerStatus, int]:
    slips = [
        LeaseStatus(name, holder[0], digest_name(holder[1]), slip.granted, slip.committed, slip.demand,
                 max(0, ledger.tenancies[holder].expires_at - now) / 1e6, holder[0] in present)
        for name, account in sorted(ledger.accounts.items()) for holder, slip in account.holdings.items()
    ]  # fmt: skip
    told = LedgerStatus(
        lock.number, ledger.term.epoch, max(0, ledger.opens_at - now) / 1e6,
        (lock.candidate.valid_until - now) / 1e6, len(ledger.tenancies), ledger.moves,
        {name: account.total for name, account in list(sorted(ledger.accounts.items()))[:MAX_LISTED]},
        slips[:MAX_LISTED],
    )  # fmt: skip
    return told, max(0, len(slips) - MAX_LISTED)
