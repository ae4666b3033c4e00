"""What heads tell in their logs and each other, as records that the rules judge."""

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

FLEET = "fleet"  # the name of the rig's
TOLD = ("state", "life", "incarnation", "there", "digest", "by")  # of a log line


class Hearing:
    """Ears of one day's rig."""

    def __init__(self, rig: FleetRig) -> None:
        self._rig = rig
        self._tally = Tally(rig.recorder)
        self.decider = ""  # as its log said last; "" as long as nobody did
        self.keepers: dict[int, str] = {}  # of each ledger, likewise

    def log_line(self, slot: HeadSlot, event: str, fields: dict[str, object]) -> None:
        """Take a line of a head's log."""
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
        if (said := weights.record_from_log(now, slot.name, event, fields)) is not None:
            record(said)
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
            told = {name: fields[name] for name in TOLD}
            told.update(t=now, member=slot.name, about=fields["member"])
            viewed = msgspec.convert(told, rec.ViewReported)
            rig.views.apply(viewed)
            record(viewed)

    def datagram(self, name: str, data: bytes, arrives: bool) -> None:
        """Take what heads tell each other: of budgets asks as they leave, grants as they come."""
        rig, now = self._rig, self._rig.hub.now()
        if rig.fleet_day.scoring is not None and not arrives:
            self._tally.passed(now, name, data)
        if data[:1] != MARK:
            return
        try:
            said = topic_datagrams.decode(FLEET, data)
        except topic_datagrams.MalformedDatagram:
            return
        if isinstance(said, LeaseRequest) and not arrives:
            rig.recorder.add(shares.share_request_record(now, said))
        elif isinstance(said, Grant) and arrives:
            rig.recorder.add(shares.share_grant_record(now, said))
