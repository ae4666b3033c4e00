"""What must hold of the fleet's record of changes, judged by which one each head said it goes by.

1. *One truth*: two heads that go by the same revision go by the same bytes, once the fleet is at rest.
2. *Forward*: no life of a head goes back to an earlier revision.
3. *Known*: no head runs a version of what operators propose that none of them proposed.
4. *All*: at the day's end every head that lives goes by the latest revision that any head ever went by.
5. *Kept*: and knows all that operators were told was taken.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from harriertrack.rules import recording as rec
from harriertrack.rules.checker import Breach


def check(records: Iterable[rec.Record]) -> list[Breach]:
    """Judge a recording's record of changes. In order of time."""
    kinds = (rec.VersionProposed, rec.ChangeRecordApplied, rec.VersionApplied, rec.MemberLifecycle)
    mine = sorted((one for one in records if isinstance(one, kinds)), key=lambda one: one.t)
    if not any(isinstance(one, rec.VersionProposed) for one in mine):
        return []
    goes_by: dict[str, rec.ChangeRecordApplied] = {}
    alive: set[str] = set()
    proposed: dict[str, set[int]] = defaultdict(set)
    breaches, last, newest = [], 0, 0
    for one in mine:
        last = one.t
        match one:
            case rec.MemberLifecycle():
                if one.how == "started":
                    alive.add(one.member)
                    goes_by.pop(one.member, None)  # it says anew what it kept
                elif one.how in ("killed", "ended", "leaving"):
                    alive.discard(one.member)
            case rec.VersionProposed():
                proposed[one.thing].add(one.version)
            case rec.ChangeRecordApplied():
                before = goes_by.get(one.head)
                if before is not None and one.revision < before.revision:
                    back = f"back to {one.revision} from {before.revision}"
                    breaches.append(Breach(2, one.t, one.head, back))
                goes_by[one.head], newest = one, max(newest, one.revision)
            case rec.VersionApplied():
                known = proposed.get(one.thing)  # what no operator proposes is written by who decides
                if one.version and not one.why and known is not None and one.version not in known:
                    told = f"runs version {one.version} of {one.thing}, which nobody proposed"
                    breaches.append(Breach(3, one.t, one.head, told))
    ends = {head: goes_by[head] for head in sorted(alive & goes_by.keys())}
    for head in sorted(alive):
        if head not in ends or ends[head].revision != newest:
            at = ends[head].revision if head in ends else 0
            breaches.append(Breach(4, last, head, f"goes by revision {at}, others by {newest}"))
        for thing, versions in sorted(proposed.items()):
            if head in ends and ends[head].latest.get(thing, 0) < max(versions):
                breaches.append(Breach(5, last, head, f"does not know version {max(versions)} of {thing}"))
    digests = {one.digest for one in ends.values() if one.revision == newest}
    if len(digests) > 1:
        breaches.append(Breach(1, last, "fleet", f"{len(digests)} records of revision {newest}"))
    return breaches
