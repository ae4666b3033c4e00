"""`harriertrack fleet scores` and `fleet scorers`: what heads think of storage nodes, and who judges them."""

from __future__ import annotations

from collections.abc import Iterator

import click

from harriertrack.gateway.fleet.scoring.plugins import found
from harriertrack.membership.fleet.status_document import ScoresStatus

NODE_COLUMNS = ("node", "zone", "weight", "gain", "latency", "taken", "refused", "answers")


def scorer_lines(told: ScoresStatus) -> Iterator[str]:
    """Tell of each scorer whether it has its vote, and why not."""
    for one in told.scorers:
        vote = "has its vote" if not one.back_s else f"{one.vote}: no vote for {one.back_s:.0f} s more"
        yield (
            f"{one.name} ({one.of}, namespace {one.namespace}): {vote}; "
            f"{one.voters} heads may vote, {one.heard} others were heard"
        )
        if one.why:
            yield f"  lost it {one.lost} times of late, last because it {one.why}"
    if told.alone:
        yield "nothing is shared: only what this head sees itself counts"
    if not told.scorers:
        yield "no scorer runs here"


def node_rows(told: ScoresStatus) -> list[tuple[str, ...]]:
    """Return a table of nodes: the weight in use, and by scorer what is said here and by all together."""
    names = [one.name for one in told.scorers]
    rows: list[tuple[str, ...]] = [(*NODE_COLUMNS, *(f"{name}: here, joined" for name in names))]
    for one in told.nodes:
        said = (
            f"{one.own[name]:.2f}, {one.joined.get(name, 1.0):.2f}" if name in one.own
            else f"-, {one.joined.get(name, 1.0):.2f}"
            for name in names
        )  # fmt: skip
        rows.append(
            (one.node + (" (cold)" if one.cold else ""), one.zone or "-", f"{one.weight:.2f}",
             f"{one.gain:.2f}", f"{one.latency_ms:.1f}ms", f"{one.fill:.2f}", f"{one.refused:.2f}",
             f"{one.evidence:.0f}", *said)
        )  # fmt: skip
    return rows


def installed_scorer_lines() -> Iterator[str]:
    """Tell which scorers are installed, with their parameters; and what could not be loaded."""
    wrong: list[str] = []
    kinds = found(lambda event, **fields: wrong.append(f"{event}: {fields}"))
    for (name, version), kind in sorted(kinds.items()):
        yield f"{name} {version}"
        for one in kind.parameters:
            yield f"  {one.name}: {one.least:g} to {one.most:g}, usually {one.usual:g}"
    yield from wrong


@click.command("scorers")
def scorers() -> None:
    """Name the scorers that are installed here, with their parameters."""
    for line in installed_scorer_lines():
        click.echo(line)
