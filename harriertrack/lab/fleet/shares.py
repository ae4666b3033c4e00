"""What heads tell each other of their shares, as records that rules/budgets.py judges."""

from __future__ import annotations

from harriertrack.decisions.fleet.budgets import Grant, LeaseRequest, Term
from harriertrack.rules import recording as rec


def _pair(term: Term) -> tuple[int, int]:
    return term.epoch, term.nonce


def share_request_record(t: int, ask: LeaseRequest) -> rec.ShareRequested:
    """Return the record of an ask that leaves its head."""
    return rec.ShareRequested(
        t=t, holder=ask.holder, instance=ask.instance, ledger=ask.ledger, term=_pair(ask.term),
        tenure=ask.tenure, number=ask.sequence, applied=[(one.budget, one.version) for one in ask.claims],
    )  # fmt: skip


def share_grant_record(t: int, grant: Grant) -> rec.ShareGranted:
    """Return the record of a grant that comes to its head."""
    return rec.ShareGranted(
        t=t, holder=grant.holder, instance=grant.instance, ledger=grant.ledger, term=_pair(grant.term),
        tenure=grant.tenure, answers=grant.in_reply_to, lease_us=grant.lease_us,
        shares=[(one.budget, one.version, one.rate) for one in grant.shares],
    )  # fmt: skip
