"""Turns log lines of heads, and datagrams between them, into records for the rules."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from harriertrack.decisions.fleet.budgets import Grant, LeaseRequest
from harriertrack.gateway.fleet.locks import DECISION_LOCK
from harriertrack.lab.fleet import regions, shares, staging, weights
from harriertrack.lab.fleet.weights import Tally
from harriertrack.lab.rig import HeadSlot
from harriertrack.membership.fleet import topic_datagrams
from harriertrack.membership.fleet.topic_datagrams import MARK
from harriertrack.rules import recording as rec

if TYPE_CHECKING:
    from harriertrack.lab.fleet.rig.fleet import FleetRig

FLEET = "fleet"  # the name of the rig's fleet, as in its datagrams
VIEW_FIELDS = ("state", "life", "incarnation", "there", "digest", "by")  # of a "fleet member" log line


class LogObserver:
    """Observes the heads of one rig."""

    def __init__(self, rig: FleetRig) -> None:
        self._rig = rig
        self._tally = Tally(rig.recorder)
        self.decider = ""  # according to the latest log line; "" before the first
        self.keepers: dict[int, str] = {}  # the owner of each ledger, likewise

    def log_line(self, slot: HeadSlot, event: str, fields: dict[str, object]) -> None:
        """Record what a line of a head's log reports."""
        rig, now, record = self._rig, self._rig.hub.now(), self._rig.recorder.add
        if event in ("zone used", "zone unused"):
            record(rec.ZoneUse(t=now, head=slot.name, zone=str(fields["zone"]), used=event == "zone used",
                               word=bool(fields["word"])))  # fmt: skip
        if event in ("volume held", "volume handed over"):
            region = regions.region_of(slot.name)
            record(rec.VolumeMoved(t=now, head=slot.name, volume=str(fields["volume"]), region=region,
                                   held=event == "volume held"))  # fmt: skip
        if rig.markets is not None:
            rig.markets.handle_log_event(slot, event, fields)
        if rig.limits is not None:
            rig.limits.handle_log_event(slot, event, fields)
        if event == "fleet changes":
            numbers = {name: int(str(fields[name])) for name in ("revision", "digest", "epoch")}
            latest = msgspec.convert(fields["latest"], dict[str, int])
            record(rec.ChangeRecordApplied(t=now, head=slot.name, latest=latest, **numbers))
        if event in ("fleet change taken", "fleet change turned down"):
            record(
                rec.VersionApplied(t=now, head=slot.name, thing=str(fields["thing"]),
                                version=int(str(fields["version"])), why=str(fields.get("why", "")))
            )  # fmt: skip
        if (weight_record := weights.record_from_log(now, slot.name, event, fields)) is not None:
            record(weight_record)
        if event == "fleet budgets: term begins" and int(str(fields["ledger"])) == DECISION_LOCK:
            self.decider = slot.name
        if event in ("fleet budgets: term begins", "fleet budgets: term over"):
            record(rec.LedgerOwnership(t=now, head=slot.name, ledger=int(str(fields["ledger"])),
                             keeps=event.endswith("begins")))  # fmt: skip
            if event.endswith("begins"):
                self.keepers[int(str(fields["ledger"]))] = slot.name
        if event == "rollout":
            record(staging.step_of(now, slot.name, fields))
        if event == "fleet member":
            reported = {name: fields[name] for name in VIEW_FIELDS}
            reported.update(t=now, member=slot.name, about=fields["member"])
            view = msgspec.convert(reported, rec.ViewReported)
            rig.views.apply(view)
            record(view)

    def datagram(self, name: str, data: bytes, is_arrival: bool) -> None:
        """Record datagrams between heads: lease requests when they are sent, grants when they arrive."""
        rig, now = self._rig, self._rig.hub.now()
        if rig.fleet_day.scoring is not None and not is_arrival:
            self._tally.passed(now, name, data)
        if data[:1] != MARK:
            return
        try:
            message = topic_datagrams.decode(FLEET, data)
        except topic_datagrams.MalformedDatagram:
            return
        if isinstance(message, LeaseRequest) and not is_arrival:
            rig.recorder.add(shares.share_request_record(now, message))
        elif isinstance(message, Grant) and is_arrival:
            rig.recorder.add(shares.share_grant_record(now, message))
