"""Commands that replay traces and write the shipped ones."""

import sys
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

from cappa import Arg
from msgspec.json import encode

from primroseturn.detection.detectors import factories_by_name
from primroseturn.replay.comparison import (
    compare_detectors,
    DETECTOR_SETTINGS,
    DetectorFigures,
    DetectorSetting,
)
from primroseturn.replay.driver import run_replay
from primroseturn.replay.generator import write_traces
from primroseturn.replay.plot import plot_points
from primroseturn.replay.results import Report
from primroseturn.replay.trace import load_trace, Trace

EXIT_MISSED = 1
EXIT_USAGE = 2


@dataclass
class Replay:
    """Replay traces. Exits with code 1 when a stated outcome is missed."""

    files: Annotated[list[Path], Arg(help="Trace files (JSON lines).")]
    json: Annotated[bool, Arg(long=True, help="Print JSON.")] = False
    processes: Annotated[int, Arg(long=True, help="Traces run in parallel.")] = 1

    def __call__(self) -> None:
        """Run the traces and print their outcomes."""
        traces = [read_trace(path) for path in self.files]
        reports = run_reports(traces, self.processes)
        if self.json:
            print(encode([as_document(item) for item in reports]).decode())
        else:
            print_reports(reports)
        if not all(item.passed() for item in reports):
            raise SystemExit(EXIT_MISSED)


@dataclass
class Traces:
    """Write the shipped traces into a directory."""

    directory: Annotated[Path, Arg(help="Directory for the trace files.")]

    def __call__(self) -> None:
        """Write the files and print their number."""
        paths = write_traces(self.directory)
        print(f"wrote {len(paths)} traces to {self.directory}")


@dataclass
class Detectors:
    """Measure detection time against false ejections for each detector."""

    detector: Annotated[str | None, Arg(long=True, help="Only this detector.")] = None
    threshold: Annotated[
        float | None, Arg(long=True, help="Only this threshold of the detector.")
    ] = None
    trials: Annotated[int, Arg(long=True, help="Replays per fault and size.")] = 12
    target_hours: Annotated[
        float, Arg(long=True, help="Simulated healthy target-hours.")
    ] = 10_000.0
    processes: Annotated[int, Arg(long=True, help="Processes run in parallel.")] = 4
    plot: Annotated[Path | None, Arg(long=True, help="File for the plot.")] = None

    def __call__(self) -> None:
        """Measure, print the table and draw the plot."""
        settings = [
            item for item in DETECTOR_SETTINGS if self.detector in (None, item.detector)
        ]
        if self.detector is not None and self.threshold is not None:
            settings = [DetectorSetting(self.detector, self.threshold)]
        if not settings or self.detector not in (None, *factories_by_name):
            print(f"unknown detector {self.detector!r}", file=sys.stderr)
            raise SystemExit(EXIT_USAGE)
        points = compare_detectors(
            settings, self.trials, self.target_hours, self.processes
        )
        print_points(points)
        if self.plot is not None:
            plot_points(points, self.plot)


def print_points(points: list[DetectorFigures]) -> None:
    """Print the figures of the detector settings as a table."""
    print(
        "| detector | threshold | size | slow p50 s | slow p99 s | errors p50 s "
        "| errors p99 s | missed | false/1,000 h | replayed false |"
    )
    print("|---|---|---|---|---|---|---|---|---|---|")
    for point in points:
        print(
            f"| {point.setting.detector} | {point.setting.threshold:g} | {point.size} "
            f"| {point.slow_p50_s:.3f} | {point.slow_p99_s:.3f} "
            f"| {point.errors_p50_s:.3f} | {point.errors_p99_s:.3f} "
            f"| {point.missed}/{point.trials} | {point.false_per_1000_h:.3g} "
            f"| {point.replay_false_ejections} in {point.replay_target_hours:.2f} h |"
        )


def read_trace(path: Path) -> Trace:
    """Return the trace of a file or exit with `EXIT_USAGE`."""
    result = load_trace(path)
    if result.is_error():
        print(result.error, file=sys.stderr)
        raise SystemExit(EXIT_USAGE)
    return result.ok


def run_reports(traces: list[Trace], processes: int) -> list[Report]:
    """Replay traces one after the other, or in parallel processes."""
    if processes <= 1:
        return [run_replay(trace) for trace in traces]
    with ProcessPoolExecutor(processes) as pool:
        return list(pool.map(run_replay, traces))


def format_measured(value: float | None) -> str:
    """Return a measured value as text; None means that it was never reached."""
    return "never" if value is None else f"{value:.3f}"


def print_reports(reports: list[Report]) -> None:
    """Print a table of the stated outcomes."""
    print(f"{'trace':32} {'outcome':24} {'bound':>10} {'measured':>10}  result")
    for report in reports:
        for item in report.checks:
            expect = item.expect
            if expect.most is not None:
                bound = f"<= {expect.most:g}"
            else:
                bound = f">= {expect.least:g}"
            result = "met" if item.met else "MISSED"
            print(
                f"{report.name:32} {expect.measure:24} {bound:>10} "
                f"{format_measured(item.measured):>10}  {result}"
            )


def as_document(report: Report) -> dict:
    """Return a report as a JSON document."""
    checks = [
        {"expect": item.expect, "measured": item.measured, "met": item.met}
        for item in report.checks
    ]
    return {
        "trace": report.name,
        "passed": report.passed(),
        "checks": checks,
        "figures": report.figures,
    }
