"""Records of the budget messages between heads, which rules/budgets.py judges."""

from __future__ import annotations

from harriertrack.decisions.fleet.budgets import Grant, LeaseRequest, Term
from harriertrack.rules import recording as rec


def _term_pair(term: Term) -> tuple[int, int]:
    return term.epoch, term.nonce


def share_request_record(t: int, request: LeaseRequest) -> rec.ShareRequested:
    """Return the record of a lease request that a head sends."""
    return rec.ShareRequested(
        t=t, holder=request.holder, instance=request.instance, ledger=request.ledger,
        term=_term_pair(request.term), tenure=request.tenure, number=request.sequence,
        applied=[(claim.budget, claim.version) for claim in request.claims],
    )  # fmt: skip


def share_grant_record(t: int, grant: Grant) -> rec.ShareGranted:
    """Return the record of a grant that a head receives."""
    return rec.ShareGranted(
        t=t, holder=grant.holder, instance=grant.instance, ledger=grant.ledger, term=_term_pair(grant.term),
        tenure=grant.tenure, answers=grant.in_reply_to, lease_us=grant.lease_us,
        shares=[(share.budget, share.version, share.rate) for share in grant.shares],
    )  # fmt: skip
