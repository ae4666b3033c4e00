"""HTML reports of runs: one self-contained file with embedded plots, readable without code or results."""

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
from harriertrack.lab.scores import QUANTILES, STEP_US, GroupScore, Scores, Step, decode_histogram, histogram

SIMULATED = "All figures are of simulated machines; they compare variants, and are no promise of a real one."


@dataclass(frozen=True, slots=True)
class Paragraph:
    """One paragraph of a report's introduction; `bad` highlights it as a problem."""

    text: str
    bad: bool = False


@dataclass(frozen=True, slots=True)
class Image:
    """A plot, encoded as PNG in base64."""

    data: str
    name: str = ""


@dataclass(slots=True)
class Section:
    """One section of a report: its title, how to read it, and its table and plots."""

    title: str
    why: str
    table: list[list[str]] = field(default_factory=list)
    images: list[Image] = field(default_factory=list)


def plot(draw: Callable[[Axes], None], name: str = "", width_inches: float = 8.0) -> Image:
    """Render one plot by `draw`."""
    figure = Figure(figsize=(width_inches, 3.0), layout="constrained")
    FigureCanvasAgg(figure)
    axes = figure.add_subplot()
    axes.grid(alpha=0.3)
    draw(axes)
    buffer = io.BytesIO()
    figure.savefig(buffer, format="png", dpi=90, metadata={"Software": ""})
    return Image(base64.b64encode(buffer.getvalue()).decode(), name)


def render(title: str, lead: Sequence[Paragraph], sections: Sequence[Section], columns: int = 1) -> str:
    """Return the HTML of a report."""
    template = (resources.files("harriertrack.lab") / "templates" / "report.html.j2").read_text()
    environment = jinja2.Environment(autoescape=True, undefined=jinja2.StrictUndefined)
    return environment.from_string(template).render(
        title=title, lead=lead, sections=sections, columns=columns
    )


# -- runs of the emulator


def _add_legend(axes: Axes, series: int = 0) -> None:
    if axes.get_legend_handles_labels()[0] and series <= 12:
        axes.legend(fontsize=8, ncols=2)


def _plot_latency(steps: Sequence[Step] | Sequence[LoadStep]) -> Callable[[Axes], None]:
    def draw(axes: Axes) -> None:
        measured = [step for step in steps if step.latency_us]
        seconds = [step.t_us / 1e6 for step in measured]
        for index, percent in enumerate(QUANTILES):
            axes.plot(seconds, [step.latency_us[index] / 1000 for step in measured], label=f"{percent:g} %")
        axes.set(xlabel="seconds", ylabel="milliseconds", yscale="log")
        _add_legend(axes)

    return draw


def _plot_outcomes(run: Scores) -> Callable[[Axes], None]:
    def draw(axes: Axes) -> None:
        seconds = [step.t_us / 1e6 for step in run.steps]
        for count in ("asked", "served", "refused", "failed"):
            axes.plot(seconds, [getattr(step, count) * 1e6 / STEP_US for step in run.steps], label=count)
        axes.set(xlabel="seconds", ylabel="requests a second")
        _add_legend(axes)

    return draw


def _plot_worth(run: Scores) -> Callable[[Axes], None]:
    def draw(axes: Axes) -> None:
        seconds = [step.t_us / 1e6 for step in run.steps if step.possible]
        axes.plot(seconds, [step.earned / step.possible for step in run.steps if step.possible])
        axes.set(xlabel="seconds", ylabel="part of the worth earned", ylim=(0, 1.05))

    return draw


def _plot_nodes(run: Scores, figure: str, unit: str) -> Callable[[Axes], None]:
    def draw(axes: Axes) -> None:
        by_node: dict[str, list[tuple[float, float]]] = defaultdict(list)
        for sample in run.nodes_seen:
            by_node[sample.node].append((sample.t_us / 1e6, float(getattr(sample, figure))))
        for name, points in by_node.items():
            axes.plot(*zip(*points, strict=True), label=name, linewidth=0.9)
        axes.set(xlabel="seconds", ylabel=unit)
        _add_legend(axes, len(by_node))

    return draw


def _plot_hints(run: Scores) -> Callable[[Axes], None]:
    def draw(axes: Axes) -> None:
        names = sorted(run.hints, key=lambda name: -1 if name == "none" else int(name.split()[0]))
        axes.bar(names, [run.hints[name] for name in names])
        axes.set(xlabel="hint: try again after", ylabel="refusals")
        axes.tick_params(axis="x", labelrotation=45, labelsize=8)

    return draw


def reserve_use(run: Scores) -> np.ndarray:
    """Return, for each step, the fraction of all served units that lay within their volumes' reserves."""
    reserved, served = np.zeros(len(run.steps)), np.zeros(len(run.steps))
    for volume in run.volumes:
        units = np.array(volume.units)
        reserved += np.minimum(units, volume.reserve * STEP_US / 1e6)
        served += units
    return np.divide(reserved, served, out=np.zeros_like(served), where=served > 0)


def limit_use(run: Scores) -> dict[str, np.ndarray]:
    """Return, by volume with a limit, units served per second over all heads as a fraction of the limit."""
    steps_per_second = max(1, 1_000_000 // STEP_US)
    used = {}
    for volume in run.volumes:
        if volume.limit:
            units = np.array(volume.units)
            per_second = (
                units[: len(units) // steps_per_second * steps_per_second]
                .reshape(-1, steps_per_second)
                .sum(axis=1)
            )
            used[volume.name] = per_second / volume.limit
    return used


def _plot_reserve(run: Scores) -> Callable[[Axes], None]:
    def draw(axes: Axes) -> None:
        axes.plot([step.t_us / 1e6 for step in run.steps], reserve_use(run))
        axes.set(xlabel="seconds", ylabel="part within reserves", ylim=(0, 1.05))

    return draw


def _plot_limits(run: Scores) -> Callable[[Axes], None]:
    def draw(axes: Axes) -> None:
        for name, used in limit_use(run).items():
            axes.plot(range(len(used)), used, label=name, linewidth=0.9)
        axes.axhline(1.0, color="black", linestyle="--", linewidth=0.8)
        axes.set(xlabel="seconds", ylabel="parts of the limit")
        _add_legend(axes, len(run.volumes))

    return draw


def _plot_fairness(run: Scores) -> Callable[[Axes], None]:
    def draw(axes: Axes) -> None:
        plans = sorted({volume.plan for volume in run.volumes})
        shares = [[volume.earned.share for volume in run.volumes if volume.plan == plan] for plan in plans]
        axes.boxplot(shares, tick_labels=[f"{plan}\nJain {run.fairness(plan):.3f}" for plan in plans],
                     whis=(0, 100))  # fmt: skip
        axes.set(ylabel="share of each volume", ylim=(0, 1.05))

    return draw


def _plot_cells(run: Scores) -> Callable[[Axes], None]:
    def draw(axes: Axes) -> None:
        for cell, shares in sorted(run.cell_steps.items()):
            axes.plot([step.t_us / 1e6 for step in run.steps], shares, label=cell, linewidth=1)
        axes.set(xlabel="s", ylabel="share of each cell", ylim=(0, 1.05))
        _add_legend(axes, len(run.cell_steps))

    return draw


def _group_rows(groups: Iterable[tuple[str, str, GroupScore]]) -> list[list[str]]:
    table = [["", "variant", "share", "first tries", "in their aim", "served", "refused", "failed"]]
    for name, variant, group in groups:
        table.append([name, variant, f"{group.share:.3f}", str(group.asked), str(group.in_aim),
                      str(group.served), str(group.refused), str(group.failed)])  # fmt: skip
    return table


def _share_of_oracle(run: Scores, oracle: Scores | None) -> str:
    if oracle is None or not oracle.share:
        return "no oracle was played"
    return f"{run.share / oracle.share:.3f}"


def _total_rows(runs: Sequence[Scores], oracle: Scores | None) -> list[list[str]]:
    table = [["", *(run.variant or run.day for run in runs)]]
    rows: list[tuple[str, Callable[[Scores], str]]] = [
        ("share of the worth", lambda run: f"{run.share:.3f}"),
        ("... of the oracle's, on this day and seed", lambda run: _share_of_oracle(run, oracle)),
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
    ("Outcomes", "Requests of clients by outcome. \"asked\" counts first tries only; a retry after a refusal "
     "counts by its outcome alone.", _plot_outcomes),
    ("Worth over time", "Worth earned by each half second's first tries, as a fraction of possible worth.",
     _plot_worth),
    ("Latency of served requests", "Quantiles per half second, from the client's request to its answer.",
     lambda run: _plot_latency(run.steps)),
    ("Queues at the nodes", "Requests queued at each node, as counted by the node itself.",
     lambda run: _plot_nodes(run, "queue", "requests")),
    ("Windows", "Requests that all heads together may have in flight at each node.",
     lambda run: _plot_nodes(run, "window", "requests")),
    ("Backlog", "Units that all heads hold back for each node.",
     lambda run: _plot_nodes(run, "held", "units")),
    ("Refusals and their hints", "The wait that refusals asked of their clients.", _plot_hints),
    ("Served from reserve", "Fraction of all served units that lay within the volumes' reserves.",
     _plot_reserve),
    ("Use of limits", "Units served to each volume with a limit, over all heads, as a fraction of the limit; "
     "a burst may exceed 1 for a while.", _plot_limits),
    ("Fairness", "The spread of the shares of each plan's volumes; Jain's index is 1 where all are equal.",
     _plot_fairness),
]  # fmt: skip


def run_sections(runs: Sequence[Scores], oracle: Scores | None) -> list[Section]:
    """Return the sections that compare runs side by side."""
    sections = [
        Section("Totals", "A request is worth its class's worth times its plan's price, less if it is late.",
                _total_rows(runs, oracle)),
        Section("By plan", "", _group_rows((plan, run.variant, run.by_plan[plan])
                                     for plan in sorted({name for run in runs for name in run.by_plan})
                                     for run in runs if plan in run.by_plan)),
        Section("By class", "", _group_rows((name, run.variant, run.by_class[name])
                                      for name in sorted({name for run in runs for name in run.by_class})
                                      for run in runs if name in run.by_class)),
    ]  # fmt: skip
    if any(run.by_cell for run in runs):
        sections.append(Section("By cell", "", _group_rows(
            (cell, run.variant, run.by_cell[cell])
            for cell in sorted({name for run in runs for name in run.by_cell})
            for run in runs if cell in run.by_cell)))  # fmt: skip
    with_cells = [
        (
            "Cells",
            "What each cell's volumes earned over time, as a fraction of what they could have earned.",
            _plot_cells,
        )
    ]
    for title, why, draw in PLOTS + (with_cells if any(run.by_cell for run in runs) else []):
        names = [run.variant if len(runs) > 1 else "" for run in runs]
        images = [plot(draw(run), name) for run, name in zip(runs, names, strict=True)]
        sections.append(Section(title, why, images=images))
    return sections


def run_report(runs: Sequence[Scores], comparison: Comparison | None = None,
               oracle: Scores | None = None) -> str:  # fmt: skip
    """Return the report of one run, or of several side by side with the verdicts of their comparison.

    `oracle` is the oracle's run of the same day and seed; the shares of the others are also given relative to
    it.
    """
    first = runs[0]
    lead = [Paragraph(f"Day {first.day}, seed {first.seed}: {first.heads} heads, "
                      f"{first.nodes} storage nodes, "
                 f"{first.length_us / 1e6:g} seconds. {SIMULATED}")]  # fmt: skip
    for run in runs:
        if run.asked and not run.served:
            lead.append(Paragraph(f"{run.variant or 'The run'}: nothing was served on this day.", bad=True))
        if run.broken:
            lead.append(
                Paragraph(f"{run.variant or 'The run'}: rules were broken, see the totals.", bad=True)
            )
    sections = run_sections(runs, oracle)
    if comparison is not None:
        sections.insert(0, comparison_section(comparison))
    return render(f"Report of {first.day}", lead, sections, max(1, min(3, len(runs))))


def verdict_rows(comparison: Comparison) -> list[list[str]]:
    """Return a comparison as a table: one row for the base, each variant and the oracle."""
    table = [["variant", "mean share", "of the oracle's", "difference", "interval", "p (corrected)",
              "verdict", "more seeds", "runs with a broken rule"]]  # fmt: skip

    def share_cells(name: str) -> list[str]:
        relative = comparison.share_of_oracle(name)
        return [f"{comparison.shares[name]:.4f}", f"{relative:.3f}" if relative is not None else ""]

    base = comparison.base
    if base in comparison.shares:
        broken = str(comparison.broken.get(base, 0))
        table.append([f"{base} (base)", *share_cells(base), "", "", "", "", "", broken])
    for judgement in comparison.judged:
        pair = judgement.comparison
        table.append([
            pair.name, *share_cells(pair.name), f"{pair.mean:+.4f}",
            f"{pair.low:+.4f} to {pair.high:+.4f}", f"{judgement.p_adjusted:.3f}", judgement.verdict.value,
            str(judgement.more_seeds) if judgement.more_seeds else "",
            str(comparison.broken.get(pair.name, 0)),
        ])  # fmt: skip
    judged_names = {one.comparison.name for one in comparison.judged}
    if comparison.oracle in comparison.shares and comparison.oracle not in {base, *judged_names}:
        broken = str(comparison.broken.get(comparison.oracle, 0))
        table.append(
            [comparison.oracle, *share_cells(comparison.oracle), "", "", "", "for reference", "", broken]
        )
    return table


def comparison_section(comparison: Comparison) -> Section:
    """Return the section with the verdicts of a comparison."""
    why = (f"{comparison.pairs} pairs of the same day and seed. A verdict needs a corrected p-value below "
           "the significance level and a confidence interval on one side of zero; otherwise the table "
           "estimates how many more seeds would give one.")  # fmt: skip

    def draw(axes: Axes) -> None:
        for row, judgement in enumerate(comparison.judged):
            pair = judgement.comparison
            axes.plot([pair.low, pair.high], [row, row], color="C0")
            axes.plot(pair.mean, row, "o", color="C0")
        axes.set_yticks(range(len(comparison.judged)), [one.comparison.name for one in comparison.judged])
        axes.axvline(0, color="black", linewidth=0.8)
        axes.set(xlabel=f"difference of the share from {comparison.base}")

    images = [plot(draw)] if comparison.judged else []
    return Section("Comparison", why, verdict_rows(comparison), images)


# -- runs of the load generator


def load_report(result: LoadResult) -> str:
    """Return the report of a run of the load generator."""
    lead = [Paragraph(f"Load {result.name}, seed {result.seed}: {result.planned} requests planned, "
                      f"{result.sent} sent. Latency is measured from the time at which a request "
                      "was due.")]  # fmt: skip
    if is_void(result):
        lead.append(Paragraph(f"This run is void: {result.why}. No figure below may be quoted.", bad=True))
    if result.planned and not result.served:
        lead.append(Paragraph("Nothing was served.", bad=True))
    names = ("served", "refused", "failed", "unanswered", "late", "worst_late_us")
    totals = [["", ""], *([name.replace("_", " "), str(getattr(result, name))] for name in names)]
    totals.extend([note, str(count)] for note, count in result.notes.items())

    def plot_requests(axes: Axes) -> None:
        seconds = [step.t_us / 1e6 for step in result.steps]
        for count in ("planned", "served", "refused", "failed"):
            axes.plot(seconds, [getattr(step, count) for step in result.steps], label=count)
        axes.set(xlabel="seconds", ylabel="requests a second")
        _add_legend(axes)

    def plot_distribution(axes: Axes) -> None:
        percents = 100 * (1 - np.logspace(0, -5, 120))
        for kind, text in result.latency.items():
            latencies = decode_histogram(text)
            milliseconds = [latencies.get_value_at_percentile(percent) / 1000 for percent in percents]
            axes.plot(1 / (1 - percents / 100), milliseconds, label=kind)
        axes.set(xlabel="one in so many is slower", ylabel="milliseconds", xscale="log", yscale="log")
        _add_legend(axes)

    merged = histogram()
    for text in result.latency.values():
        merged.add(decode_histogram(text))
    quantiles = [["percent", "milliseconds"]]
    quantiles.extend(
        [f"{percent:g}", f"{merged.get_value_at_percentile(percent) / 1000:.3f}"] for percent in QUANTILES
    )
    sections = [
        Section("Totals", "", totals),
        Section("Requests over time", "Planned requests are sent whether or not earlier ones were answered.",
                images=[plot(plot_requests)]),
        Section("Latency over time", "Quantiles of the answers of each second.",
                images=[plot(_plot_latency(result.steps))]),
        Section("Latency", "All served requests.", quantiles, [plot(plot_distribution)]),
    ]  # fmt: skip
    return render(f"Load {result.name}", lead, sections)


def write(path: str, text: str) -> None:
    """Write a report to a file. Raises OSError."""
    with open(path, "w", encoding="utf-8") as file:
        file.write(text)


def as_text(table: Sequence[Sequence[Any]]) -> str:
    """Return a table as aligned text for a terminal."""
    widths = [max(len(str(row[column])) for row in table) for column in range(len(table[0]))]
    rows = (zip(row, widths, strict=True) for row in table)
    return "\n".join("  ".join(str(cell).ljust(width) for cell, width in row).rstrip() for row in rows)
