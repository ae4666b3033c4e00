"""Checks the fleet's change record by the revisions that heads report to use.

1. *Consistency*: at the day's end all heads that use the same revision have the same bytes.
2. *Monotony*: no process of a head goes back to an earlier revision.
3. *Origin*: no head runs a version of an operator's thing that no operator proposed.
4. *Convergence*: at the day's end every living head uses the latest revision that any head ever used.
5. *Durability*: and knows every version that operators were told was accepted.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from harriertrack.rules import recording as rec
from harriertrack.rules.breach import Breach


def check(records: Iterable[rec.Record]) -> list[Breach]:
    """Check a recording's change records."""
    kinds = (rec.VersionProposed, rec.ChangeRecordApplied, rec.VersionApplied, rec.MemberLifecycle)
    checked = sorted((record for record in records if isinstance(record, kinds)), key=lambda record: record.t)
    if not any(isinstance(record, rec.VersionProposed) for record in checked):
        return []
    used_by_head: dict[str, rec.ChangeRecordApplied] = {}
    alive: set[str] = set()
    proposed: dict[str, set[int]] = defaultdict(set)
    breaches, last, latest_revision = [], 0, 0
    for record in checked:
        last = record.t
        match record:
            case rec.MemberLifecycle():
                if record.how == "started":
                    alive.add(record.member)
                    used_by_head.pop(record.member, None)  # a new process reports its stored revision again
                elif record.how in ("killed", "ended", "leaving"):
                    alive.discard(record.member)
            case rec.VersionProposed():
                proposed[record.thing].add(record.version)
            case rec.ChangeRecordApplied():
                before = used_by_head.get(record.head)
                if before is not None and record.revision < before.revision:
                    decrease = f"back to {record.revision} from {before.revision}"
                    breaches.append(Breach(2, record.t, record.head, decrease))
                used_by_head[record.head], latest_revision = record, max(latest_revision, record.revision)
            case rec.VersionApplied():
                # Things that no operator proposes have versions that the decider writes: not checked.
                # Versions that operators don't propose are written by the decider.
                proposed_versions = proposed.get(record.thing)
                if (
                    record.version
                    and not record.why
                    and proposed_versions is not None
                    and record.version not in proposed_versions
                ):
                    what = f"runs version {record.version} of {record.thing}, which nobody proposed"
                    breaches.append(Breach(3, record.t, record.head, what))
    final = {head: used_by_head[head] for head in sorted(alive & used_by_head.keys())}
    for head in sorted(alive):
        if head not in final or final[head].revision != latest_revision:
            revision = final[head].revision if head in final else 0
            breaches.append(
                Breach(4, last, head, f"goes by revision {revision}, others by {latest_revision}")
            )
        for thing, versions in sorted(proposed.items()):
            if head in final and final[head].latest.get(thing, 0) < max(versions):
                breaches.append(Breach(5, last, head, f"does not know version {max(versions)} of {thing}"))
    digests = {record.digest for record in final.values() if record.revision == latest_revision}
    if len(digests) > 1:
        breaches.append(Breach(1, last, "fleet", f"{len(digests)} records of revision {latest_revision}"))
    return breaches
