"""What operators see of a head's budgets and of the ledgers that it keeps."""

from __future__ import annotations

from collections.abc import Collection, Sequence

from harriertrack.decisions.fleet.budget_shares import BUDGET_UNITS, BudgetKind
from harriertrack.decisions.fleet.ledger import Ledger
from harriertrack.gateway.fleet.seats import Seat
from harriertrack.membership.fleet.status_document import (
    BudgetShareStatus,
    BudgetsStatus,
    LeaseStatus,
    LedgerHolderStatus,
    LedgerStatus,
    digest_name,
)

MOST_TOLD = 2_000  # portions, and slips, in one document


def told(now: int, seats: Sequence[Seat], present: Collection[str], counts: dict[str, int]) -> BudgetsStatus:
    """Return what a head tells of the seats that it takes part in."""
    portions = [
        BudgetShareStatus(
            name, BUDGET_UNITS[BudgetKind(name.partition("/")[0])],
            one.share.total.rate, one.share.total.burst,
            one.share.total.fixed * one.share.total.rate / one.share.total.hosts,
            one.share.leased if seat.holder.lease_valid(now) else 0.0, one.demand, one.share.level,
        )
        for seat in seats for name, one in seat.holder.budgets.items()
    ]  # fmt: skip
    ledgers, more = [], max(0, len(portions) - MOST_TOLD)
    for seat in seats:
        if seat.candidate.holds_term(now) and seat.candidate.ledger is not None:
            told, left = _ledger_told(now, seat, seat.candidate.ledger, present)
            ledgers.append(told)
            more += left
    found = [
        LedgerHolderStatus(
            seat.number, seat.candidate.state.value,
            seat.holder.term.epoch if seat.holder.term is not None else None,
            "itself" if seat.mine else f"{seat.keeper[0]}:{seat.keeper[1]}" if seat.keeper else "",
            max(0, seat.holder.lease.expires_at - now) / 1e6, seat.holder.lapses,
        )
        for seat in seats
    ]  # fmt: skip
    return BudgetsStatus(found, sorted(portions, key=lambda one: one.budget)[:MOST_TOLD], ledgers, counts,
                       more)  # fmt: skip


def _ledger_told(now: int, seat: Seat, ledger: Ledger, present: Collection[str]) -> tuple[LedgerStatus, int]:
    slips = [
        LeaseStatus(name, holder[0], digest_name(holder[1]), slip.granted, slip.committed, slip.demand,
                 max(0, ledger.tenancies[holder].expires_at - now) / 1e6, holder[0] in present)
        for name, account in sorted(ledger.accounts.items()) for holder, slip in account.holdings.items()
    ]  # fmt: skip
    told = LedgerStatus(
        seat.number, ledger.term.epoch, max(0, ledger.opens_at - now) / 1e6,
        (seat.candidate.valid_until - now) / 1e6, len(ledger.tenancies), ledger.moves,
        {name: account.total for name, account in list(sorted(ledger.accounts.items()))[:MOST_TOLD]},
        slips[:MOST_TOLD],
    )  # fmt: skip
    return told, max(0, len(slips) - MOST_TOLD)
