"""Summarises the latency benchmark, and shows it as a table or a plot."""

from pathlib import Path
from typing import Any

from matplotlib.figure import Figure

from primroseturn.bench.latency import MAX_ADDED_P99_S, QUANTILES, RunFigures, spread

MS = 1000
COMPARISONS = (
    ("daemon", "direct"),
    ("passthrough", "direct"),
    ("daemon", "passthrough"),
)


def summarise_runs(
    runs: list[RunFigures], rate: float, rates: list[float]
) -> dict[str, Any]:
    """Return the figures of all runs, latencies in milliseconds."""
    added = {
        f"{subject} over {baseline}": {
            name: spread([run.added_s(subject, baseline)[name] * MS for run in runs])
            for name in QUANTILES
        }
        for subject, baseline in COMPARISONS
    }
    median_p99 = added["daemon over direct"]["p99"].median
    return {
        "rate_per_s": rate,
        "runs": len(runs),
        "requests_per_run": runs[0].requests,
        "failures": [run.failures for run in runs],
        "added_ms": added,
        "cpu_ms_per_request": {
            name: spread([run.cpu_ms[name] for run in runs]) for name in runs[0].cpu_ms
        },
        "target_p99_ms": MAX_ADDED_P99_S * MS,
        "highest_rate_per_s": spread(rates) if rates else None,
        "met": median_p99 <= MAX_ADDED_P99_S * MS and has_no_failures(runs),
    }


def has_no_failures(runs: list[RunFigures]) -> bool:
    """Return whether the daemon served every request."""
    return not any(run.failures["daemon"] for run in runs)


def format_table(summary: dict[str, Any]) -> str:
    """Return the summary as a table."""
    header = f"{'added latency (ms)':28}{'':8}{'min':>9}{'median':>9}{'max':>9}"
    lines = [
        f"{summary['rate_per_s']:g} requests/s, {summary['runs']} runs of "
        f"{summary['requests_per_run']['daemon']} requests",
        header,
    ]
    for comparison, by_quantile in summary["added_ms"].items():
        for name, figures in by_quantile.items():
            values = "".join(f"{value:9.2f}" for value in figures)
            lines.append(f"{comparison:28}{name:8}{values}")
    if summary["highest_rate_per_s"] is not None:
        values = "".join(f"{value:9.0f}" for value in summary["highest_rate_per_s"])
        lines.append(f"{'highest rate (requests/s)':36}{values}")
    for name, figures in summary["cpu_ms_per_request"].items():
        values = "".join(f"{value:9.2f}" for value in figures)
        lines.append(f"{'CPU time per request (ms), ' + name:36}{values}")
    failed = sum(item["daemon"] for item in summary["failures"])
    verdict = "met" if summary["met"] else "missed"
    lines.append(f"failed requests: {failed}")
    lines.append(f"target of {summary['target_p99_ms']:g} ms at p99: {verdict}")
    return "\n".join(lines)


def write_plot(summary: dict[str, Any], file: Path) -> None:
    """Plot the added latencies with their spread over the runs."""
    figure = Figure(figsize=(7, 4))
    axes = figure.add_subplot()
    names = list(QUANTILES)
    for index, (subject, baseline) in enumerate(COMPARISONS[:2]):
        figures = summary["added_ms"][f"{subject} over {baseline}"]
        medians = [figures[name].median for name in names]
        low = [figures[name].median - figures[name].minimum for name in names]
        high = [figures[name].maximum - figures[name].median for name in names]
        positions = [position + index * 0.35 for position in range(len(names))]
        axes.bar(positions, medians, 0.3, yerr=[low, high], capsize=4, label=subject)
    axes.axhline(summary["target_p99_ms"], linestyle="--", label="target at p99")
    axes.set_xticks([position + 0.175 for position in range(len(names))], names)
    axes.set_ylabel("added latency (ms)")
    axes.legend()
    figure.savefig(file)
