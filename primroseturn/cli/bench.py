"""Command that measures the latency that a daemon adds."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

from anyio import run
from cappa import Arg, command
from msgspec.json import encode

from primroseturn.cli.exits import ExitCode

SEED = 20_260


@command(
    description="Starts a store, an upstream, a daemon and a plain pass-through on "
    "loopback and compares them with direct access. Exits with code 1 when the daemon "
    "adds more than the limit of 4.5 ms at p99 or a request fails."
)
@dataclass
class Bench:
    """Measure the latency that a daemon adds."""

    rate: Annotated[float, Arg(long=True, help="Requests per second.")] = 130.0
    seconds: Annotated[float, Arg(long=True, help="Seconds per subject and run.")] = 10
    runs: Annotated[int, Arg(long=True, help="Number of runs.")] = 3
    sustain: Annotated[
        bool, Arg(long=True, help="Also find the highest rate within the limit.")
    ] = False
    json: Annotated[bool, Arg(long=True, help="Print JSON.")] = False
    plot: Annotated[Path | None, Arg(long=True, help="Write a plot (SVG, PNG).")] = None

    def __call__(self) -> None:
        """Measure, print the summary and write the plot."""
        # matplotlib is slow to import, and other commands do not need it.
        from primroseturn.bench.report import format_table, write_plot

        summary = run(self.measure)
        print(encode(summary).decode() if self.json else format_table(summary))
        if self.plot is not None:
            write_plot(summary, self.plot)
        if not summary["met"]:
            raise SystemExit(int(ExitCode.FAILED))

    async def measure(self) -> dict:
        """Start all processes, measure and return the summary."""
        from primroseturn.bench.latency import find_highest_rate, measure_subjects
        from primroseturn.bench.processes import run_subjects
        from primroseturn.bench.report import summarise_runs

        runs, rates = [], []
        async with run_subjects() as (subjects, process_ids):
            for number in range(self.runs):
                seed = SEED + number
                runs.append(
                    await measure_subjects(
                        subjects, process_ids, self.rate, self.seconds, seed
                    )
                )
                if self.sustain:
                    rates.append(await find_highest_rate(subjects, self.rate, seed))
        return summarise_runs(runs, self.rate, rates)
