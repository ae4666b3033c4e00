"""Reports: one HTML file with its plots inside, for readers who have neither the code nor the results."""

from __future__ import annotations

import base64
import io
from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from importlib import resources
from typing import Any

import jinja2
import numpy as np
from matplotlib.axes import Axes
from matplotlib.backends.backend_agg import FigureCanvasAgg
from matplotlib.figure import Figure

from harriertrack.lab.experiments import Comparison
from harriertrack.lab.generator import LoadResult, LoadStep, is_void
from harriertrack.lab.scores import QUANTILES, STEP_US, Earned, Scores, Step, decode_histogram, histogram

SIMULATED = "All figures are of simulated machines; they compare variants, and are no promise of a real one."


@dataclass(frozen=True, slots=True)
class Line:
    """One paragraph of a report's beginning."""

    text: str
    bad: bool = False


@dataclass(frozen=True, slots=True)
class Image:
    """A plot as PNG in base64."""

    data: str
    name: str = ""


@dataclass(slots=True)
class Section:
    """One part of a report: what is shown, how to read it, and the table and plots."""

    title: str
    why: str
    table: list[list[str]] = field(default_factory=list)
    images: list[Image] = field(default_factory=list)


def plot(draw: Callable[[Axes], None], name: str = "", wide: float = 8.0) -> Image:
    """Draw one plot."""
    figure = Figure(figsize=(wide, 3.0), layout="constrained")
    FigureCanvasAgg(figure)
    axes = figure.add_subplot()
    axes.grid(alpha=0.3)
    draw(axes)
    buffer = io.BytesIO()
    figure.savefig(buffer, format="png", dpi=90, metadata={"Software": ""})
    return Image(base64.b64encode(buffer.getvalue()).decode(), name)


def render(title: str, lead: Sequence[Line], sections: Sequence[Section], columns: int = 1) -> str:
    """Return the report's HTML."""
    template = (resources.files("harriertrack.lab") / "templates" / "report.html.j2").read_text()
    environment = jinja2.Environment(autoescape=True, undefined=jinja2.StrictUndefined)
    return environment.from_string(template).render(
        title=title, lead=lead, sections=sections, columns=columns
    )


# -- runs of the emulator


def _legend(axes: Axes, many: int = 0) -> None:
    if axes.get_legend_handles_labels()[0] and many <= 12:
        axes.legend(fontsize=8, ncols=2)


def _latency(steps: Sequence[Step] | Sequence[LoadStep]) -> Callable[[Axes], None]:
    def draw(axes: Axes) -> None:
        told = [step for step in steps if step.latency_us]
        t = [step.t_us / 1e6 for step in told]
        for at, percent in enumerate(QUANTILES):
            axes.plot(t, [step.latency_us[at] / 1000 for step in told], label=f"{percent:g} %")
        axes.set(xlabel="seconds", ylabel="milliseconds", yscale="log")
        _legend(axes)

    return draw


def _outcomes(run: Scores) -> Callable[[Axes], None]:
    def draw(axes: Axes) -> None:
        t = [step.t_us / 1e6 for step in run.steps]
        for what in ("asked", "served", "refused", "failed"):
            axes.plot(t, [getattr(step, what) * 1e6 / STEP_US for step in run.steps], label=what)
        axes.set(xlabel="seconds", ylabel="requests a second")
        _legend(axes)

    return draw


def _worth(run: Scores) -> Callable[[Axes], None]:
    def draw(axes: Axes) -> None:
        t = [step.t_us / 1e6 for step in run.steps if step.possible]
        axes.plot(t, [step.earned / step.possible for step in run.steps if step.possible])
        axes.set(xlabel="seconds", ylabel="part of the worth earned", ylim=(0, 1.05))

    return draw


def _nodes(run: Scores, what: str, unit: str) -> Callable[[Axes], None]:
    def draw(axes: Axes) -> None:
        by_node: dict[str, list[tuple[float, float]]] = defaultdict(list)
        for seen in run.nodes_seen:
            by_node[seen.node].append((seen.t_us / 1e6, float(getattr(seen, what))))
        for name, points in by_node.items():
            axes.plot(*zip(*points, strict=True), label=name, linewidth=0.9)
        axes.set(xlabel="seconds", ylabel=unit)
        _legend(axes, len(by_node))

    return draw


def _hints(run: Scores) -> Callable[[Axes], None]:
    def draw(axes: Axes) -> None:
        names = sorted(run.hints, key=lambda name: -1 if name == "none" else int(name.split()[0]))
        axes.bar(names, [run.hints[name] for name in names])
        axes.set(xlabel="hint: try again after", ylabel="refusals")
        axes.tick_params(axis="x", labelrotation=45, labelsize=8)

    return draw


def reserve_use(run: Scores) -> np.ndarray:
    """Return, for each step, the part of all served units that lay within their volumes' reserves."""
    reserved, served = np.zeros(len(run.steps)), np.zeros(len(run.steps))
    for volume in run.volumes:
        units = np.array(volume.units)
        reserved += np.minimum(units, volume.reserve * STEP_US / 1e6)
        served += units
    return np.divide(reserved, served, out=np.zeros_like(served), where=served > 0)


def limit_use(run: Scores) -> dict[str, np.ndarray]:
    """Return what each volume with a limit got over all heads in each second, in parts of the limit."""
    each = max(1, 1_000_000 // STEP_US)
    used = {}
    for volume in run.volumes:
        if volume.limit:
            units = np.array(volume.units)
            whole = units[: len(units) // each * each].reshape(-1, each).sum(axis=1)
            used[volume.name] = whole / volume.limit
    return used


def _reserve(run: Scores) -> Callable[[Axes], None]:
    def draw(axes: Axes) -> None:
        axes.plot([step.t_us / 1e6 for step in run.steps], reserve_use(run))
        axes.set(xlabel="seconds", ylabel="part within reserves", ylim=(0, 1.05))

    return draw


def _limits(run: Scores) -> Callable[[Axes], None]:
    def draw(axes: Axes) -> None:
        for name, used in limit_use(run).items():
            axes.plot(range(len(used)), used, label=name, linewidth=0.9)
        axes.axhline(1.0, color="black", linestyle="--", linewidth=0.8)
        axes.set(xlabel="seconds", ylabel="parts of the limit")
        _legend(axes, len(run.volumes))

    return draw


def _fairness(run: Scores) -> Callable[[Axes], None]:
    def draw(axes: Axes) -> None:
        plans = sorted({volume.plan for volume in run.volumes})
        shares = [[one.earned.share for one in run.volumes if one.plan == plan] for plan in plans]
        axes.boxplot(shares, tick_labels=[f"{plan}\nJain {run.fairness(plan):.3f}" for plan in plans],
                     whis=(0, 100))  # fmt: skip
        axes.set(ylabel="share of each volume", ylim=(0, 1.05))

    return draw


def _cells(run: Scores) -> Callable[[Axes], None]:
    def draw(axes: Axes) -> None:
        for cell, shares in sorted(run.cell_steps.items()):
            axes.plot([step.t_us / 1e6 for step in run.steps], shares, label=cell, linewidth=1)
        axes.set(xlabel="s", ylabel="share of each cell", ylim=(0, 1.05))
        _legend(axes, len(run.cell_steps))

    return draw


def _rows(groups: Iterable[tuple[str, str, Earned]]) -> list[list[str]]:
    table = [["", "variant", "share", "first tries", "in their aim", "served", "refused", "failed"]]
    for name, variant, one in groups:
        table.append([name, variant, f"{one.share:.3f}", str(one.asked), str(one.in_aim), str(one.served),
                      str(one.refused), str(one.failed)])  # fmt: skip
    return table


def _of_oracle(run: Scores, oracle: Scores | None) -> str:
    if oracle is None or not oracle.share:
        return "no oracle was played"
    return f"{run.share / oracle.share:.3f}"


def _totals(runs: Sequence[Scores], oracle: Scores | None) -> list[list[str]]:
    table = [["", *(run.variant or run.day for run in runs)]]
    rows: list[tuple[str, Callable[[Scores], str]]] = [
        ("share of the worth", lambda run: f"{run.share:.3f}"),
        ("... of the oracle's, on this day and seed", lambda run: _of_oracle(run, oracle)),
        ("worst second", lambda run: f"{run.worst_second:.3f}"),
        ("first tries", lambda run: str(run.asked)),
        ("served", lambda run: str(run.served)),
        ("refused", lambda run: str(run.refused)),
        ("failed", lambda run: str(run.failed)),
        ("without an answer (their client left, or the day ended)", lambda run: str(run.left)),
        ("attempts for each served", lambda run: f"{run.attempts_per_served:.3f}" if run.served
         else "none served"),
        ("rules broken", lambda run: ", ".join(f"rule {rule}: {count}" for rule, count in run.broken.items())
         or "none"),
    ]  # fmt: skip
    return [*table, *([name, *(value(run) for run in runs)] for name, value in rows)]


PLOTS: list[tuple[str, str, Callable[[Scores], Callable[[Axes], None]]]] = [
    ("Outcomes", "What clients asked and what became of it. Asked counts first tries; what they ask anew "
     "after a refusal counts in its outcome only.", _outcomes),
    ("Worth over time", "The part of what first tries of each half second could have earned that was earned.",
     _worth),
    ("Latency of served requests", "Quantiles of each half second, from the client's request to its answer.",
     lambda run: _latency(run.steps)),
    ("Queues at the nodes", "Requests that wait at each node, as the node knows them.",
     lambda run: _nodes(run, "queue", "requests")),
    ("Windows", "How many requests all heads together would have out at each node.",
     lambda run: _nodes(run, "window", "requests")),
    ("Backlog", "Units that all heads hold for each node.", lambda run: _nodes(run, "held", "units")),
    ("Refusals and their hints", "How long refused clients were told to wait.", _hints),
    ("Served from reserve", "The part of all served units that lay within the volumes' reserves.", _reserve),
    ("Use of limits", "What each volume with a limit got through all heads together; a burst may pass 1 for "
     "a while.", _limits),
    ("Fairness", "The spread of the shares of each plan's volumes; Jain's index is 1 where all are equal.",
     _fairness),
]  # fmt: skip


def run_sections(runs: Sequence[Scores], oracle: Scores | None) -> list[Section]:
    """Return the sections that show runs side by side."""
    sections = [
        Section("Totals", "A request is worth its class times its plan's price, less if it is late.",
                _totals(runs, oracle)),
        Section("By plan", "", _rows((plan, run.variant, run.by_plan[plan])
                                     for plan in sorted({name for run in runs for name in run.by_plan})
                                     for run in runs if plan in run.by_plan)),
        Section("By class", "", _rows((name, run.variant, run.by_class[name])
                                      for name in sorted({name for run in runs for name in run.by_class})
                                      for run in runs if name in run.by_class)),
    ]  # fmt: skip
    if any(run.by_cell for run in runs):
        sections.append(Section("By cell", "", _rows(
            (cell, run.variant, run.by_cell[cell])
            for cell in sorted({name for run in runs for name in run.by_cell})
            for run in runs if cell in run.by_cell)))  # fmt: skip
    with_cells = [("Cells", "What each cell's volumes earned of what they could, over time.", _cells)]
    for title, why, draw in PLOTS + (with_cells if any(run.by_cell for run in runs) else []):
        names = [run.variant if len(runs) > 1 else "" for run in runs]
        images = [plot(draw(run), name) for run, name in zip(runs, names, strict=True)]
        sections.append(Section(title, why, images=images))
    return sections


def run_report(runs: Sequence[Scores], comparison: Comparison | None = None,
               oracle: Scores | None = None) -> str:  # fmt: skip
    """Return the report of one run, or of several beside each other with a comparison's verdicts.

    `oracle` is the oracle's run of the same day and seed, by which the others' distance from it is told.
    """
    first = runs[0]
    lead = [Line(f"Day {first.day}, seed {first.seed}: {first.heads} heads, {first.nodes} storage nodes, "
                 f"{first.length_us / 1e6:g} seconds. {SIMULATED}")]  # fmt: skip
    for run in runs:
        if run.asked and not run.served:
            lead.append(Line(f"{run.variant or 'The run'}: nothing was served on this day.", bad=True))
        if run.broken:
            lead.append(Line(f"{run.variant or 'The run'}: rules were broken, see the totals.", bad=True))
    sections = run_sections(runs, oracle)
    if comparison is not None:
        sections.insert(0, comparison_section(comparison))
    return render(f"Report of {first.day}", lead, sections, max(1, min(3, len(runs))))


def verdict_rows(comparison: Comparison) -> list[list[str]]:
    """Return a comparison as a table."""
    table = [["variant", "mean share", "of the oracle's", "difference", "interval", "p (corrected)",
              "verdict", "more seeds", "runs with a broken rule"]]  # fmt: skip

    def begin(name: str) -> list[str]:
        part = comparison.share_of_oracle(name)
        return [f"{comparison.shares[name]:.4f}", f"{part:.3f}" if part is not None else ""]

    base = comparison.base
    if base in comparison.shares:
        broken = str(comparison.broken.get(base, 0))
        table.append([f"{base} (base)", *begin(base), "", "", "", "", "", broken])
    for one in comparison.judged:
        what = one.comparison
        table.append([
            what.name, *begin(what.name), f"{what.mean:+.4f}",
            f"{what.low:+.4f} to {what.high:+.4f}", f"{one.p_adjusted:.3f}", one.verdict.value,
            str(one.more_seeds) if one.more_seeds else "", str(comparison.broken.get(what.name, 0)),
        ])  # fmt: skip
    judged = {one.comparison.name for one in comparison.judged}
    if comparison.oracle in comparison.shares and comparison.oracle not in {base, *judged}:
        broken = str(comparison.broken.get(comparison.oracle, 0))
        table.append([comparison.oracle, *begin(comparison.oracle), "", "", "", "for reference", "", broken])
    return table


def comparison_section(comparison: Comparison) -> Section:
    """Return the section of a comparison's verdicts."""
    why = (f"{comparison.pairs} pairs of the same day and seed. A verdict needs a corrected chance under the "
           "level and an interval on one side of zero; otherwise the table says how many more seeds would "
           "probably tell.")  # fmt: skip

    def draw(axes: Axes) -> None:
        for at, one in enumerate(comparison.judged):
            what = one.comparison
            axes.plot([what.low, what.high], [at, at], color="C0")
            axes.plot(what.mean, at, "o", color="C0")
        axes.set_yticks(range(len(comparison.judged)), [one.comparison.name for one in comparison.judged])
        axes.axvline(0, color="black", linewidth=0.8)
        axes.set(xlabel=f"difference of the share from {comparison.base}")

    images = [plot(draw)] if comparison.judged else []
    return Section("Comparison", why, verdict_rows(comparison), images)


# -- runs of the load generator


def load_report(result: LoadResult) -> str:
    """Return the report of a load run."""
    lead = [Line(f"Load {result.name}, seed {result.seed}: {result.planned} requests planned, {result.sent} "
                 f"sent. Latency counts from the time a request was meant to leave.")]  # fmt: skip
    if is_void(result):
        lead.append(Line(f"This run is void: {result.why}. No figure below may be quoted.", bad=True))
    if result.planned and not result.served:
        lead.append(Line("Nothing was served.", bad=True))
    names = ("served", "refused", "failed", "unanswered", "late", "worst_late_us")
    totals = [["", ""], *([name.replace("_", " "), str(getattr(result, name))] for name in names)]
    totals.extend([what, str(count)] for what, count in result.notes.items())

    def over_time(axes: Axes) -> None:
        t = [step.t_us / 1e6 for step in result.steps]
        for what in ("planned", "served", "refused", "failed"):
            axes.plot(t, [getattr(step, what) for step in result.steps], label=what)
        axes.set(xlabel="seconds", ylabel="requests a second")
        _legend(axes)

    def distribution(axes: Axes) -> None:
        percents = 100 * (1 - np.logspace(0, -5, 120))
        for kind, text in result.latency.items():
            filled = decode_histogram(text)
            slower = [filled.get_value_at_percentile(one) / 1000 for one in percents]
            axes.plot(1 / (1 - percents / 100), slower, label=kind)
        axes.set(xlabel="one in so many is slower", ylabel="milliseconds", xscale="log", yscale="log")
        _legend(axes)

    merged = histogram()
    for text in result.latency.values():
        merged.add(decode_histogram(text))
    quantiles = [["percent", "milliseconds"]]
    quantiles.extend([f"{one:g}", f"{merged.get_value_at_percentile(one) / 1000:.3f}"] for one in QUANTILES)
    sections = [
        Section("Totals", "", totals),
        Section("Requests over time", "Planned requests leave whether or not earlier ones were answered.",
                images=[plot(over_time)]),
        Section("Latency over time", "Quantiles of each second's answers.",
                images=[plot(_latency(result.steps))]),
        Section("Latency", "All served requests.", quantiles, [plot(distribution)]),
    ]  # fmt: skip
    return render(f"Load {result.name}", lead, sections)


def write(path: str, text: str) -> None:
    """Write a report. Raises OSError."""
    with open(path, "w", encoding="utf-8") as file:
        file.write(text)


def as_text(table: Sequence[Sequence[Any]]) -> str:
    """Return a table for a terminal."""
    widths = [max(len(str(row[at])) for row in table) for at in range(len(table[0]))]
    rows = (zip(row, widths, strict=True) for row in table)
    return "\n".join("  ".join(str(cell).ljust(width) for cell, width in row).rstrip() for row in rows)
