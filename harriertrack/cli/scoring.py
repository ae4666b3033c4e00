"""`harriertrack fleet scores` and `fleet scorers`: scores of storage nodes, and the installed scorers."""

from __future__ import annotations

from collections.abc import Iterator

import click

from harriertrack.gateway.fleet.scoring.plugins import discover_kinds as find_scorers
from harriertrack.membership.fleet.status_document import ScoresStatus

NODE_COLUMNS = ("node", "zone", "weight", "gain", "latency", "taken", "refused", "answers")


def scorer_lines(status: ScoresStatus) -> Iterator[str]:
    """Yield lines on each scorer: whether it has its vote, and why it last lost it."""
    for scorer in status.scorers:
        vote = (
            "has its vote" if not scorer.back_s else f"{scorer.vote}: no vote for {scorer.back_s:.0f} s more"
        )
        yield (
            f"{scorer.name} ({scorer.of}, namespace {scorer.namespace}): {vote}; "
            f"{scorer.voters} heads may vote, {scorer.heard} others were heard"
        )
        if scorer.why:
            yield f"  lost it {scorer.lost} times of late, last because it {scorer.why}"
    if status.alone:
        yield "nothing is shared: only what this head sees itself counts"
    if not status.scorers:
        yield "no scorer runs here"


def node_rows(status: ScoresStatus) -> list[tuple[str, ...]]:
    """Return a table of nodes: the weight in use, and by scorer this head's weight and the combined one."""
    names = [scorer.name for scorer in status.scorers]
    rows: list[tuple[str, ...]] = [(*NODE_COLUMNS, *(f"{name}: here, joined" for name in names))]
    for node in status.nodes:
        weights = (
            f"{node.own[name]:.2f}, {node.joined.get(name, 1.0):.2f}" if name in node.own
            else f"-, {node.joined.get(name, 1.0):.2f}"
            for name in names
        )  # fmt: skip
        rows.append(
            (node.node + (" (cold)" if node.cold else ""), node.zone or "-", f"{node.weight:.2f}",
             f"{node.gain:.2f}", f"{node.latency_ms:.1f}ms", f"{node.fill:.2f}", f"{node.refused:.2f}",
             f"{node.evidence:.0f}", *weights)
        )  # fmt: skip
    return rows


def installed_scorer_lines() -> Iterator[str]:
    """Yield lines on the installed scorers and their parameters, then on those that failed to load."""
    failures: list[str] = []
    kinds = find_scorers(lambda event, **fields: failures.append(f"{event}: {fields}"))
    for (name, version), kind in sorted(kinds.items()):
        yield f"{name} {version}"
        for parameter in kind.parameters:
            yield (
                f"  {parameter.name}: {parameter.least:g} to {parameter.most:g}, usually {parameter.usual:g}"
            )
    yield from failures


@click.command("scorers")
def scorers() -> None:
    """List the installed scorers with their parameters."""
    for line in installed_scorer_lines():
        click.echo(line)
