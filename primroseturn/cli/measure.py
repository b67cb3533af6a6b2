"""Commands that measure parts of the system."""

from dataclasses import dataclass
from typing import Annotated

from cappa import Arg, command, Subcommands
from msgspec.json import encode

from primroseturn.cli.measure_control import (
    MeasureControl,
    MeasureConvergence,
    MeasureRoles,
    MeasureState,
)
from primroseturn.limits.measurement import (
    LimitsReport,
    measure_limits,
    MeasurementOptions,
)


@command(name="limits")
@dataclass
class MeasureLimits:
    """Measure refusals within the rate, over-admission and overhead of limits.

    Exits with code 1 if more requests were admitted than the rate and burst allow.
    """

    vms: Annotated[int, Arg(long=True, help="Entry VMs.")] = 40
    seconds: Annotated[float, Arg(long=True, help="Virtual seconds.")] = 60.0
    load: Annotated[float, Arg(long=True, help="Demand as a fraction of the rate.")] = (
        0.8
    )
    seed: Annotated[int, Arg(long=True, help="Seed of arrivals.")] = 1
    json: Annotated[bool, Arg(long=True, help="Print JSON.")] = False

    def __call__(self) -> None:
        """Measure and print a line for each shape of demand."""
        options = MeasurementOptions(self.vms, self.seconds, self.load, self.seed)
        reports = measure_limits(options)
        if self.json:
            print(encode([report._asdict() for report in reports]).decode())
        else:
            print_table(reports)
        if any(report.over_admitted for report in reports):
            raise SystemExit(1)


def print_table(reports: list[LimitsReport]) -> None:
    """Print reports as a table."""
    print(
        f"{'demand':8} {'requests':>8} {'refused':>9} {'static':>9} {'over':>5} "
        f"{'store calls/s':>14} {'control B/s/VM':>15}"
    )
    for item in reports:
        print(
            f"{item.shape:8} {item.requests:8} {item.refused_inside_rate:9.1f} "
            f"{item.static_split_refused_inside_rate:9.1f} {item.over_admitted:5} "
            f"{item.store_calls_per_s:14.2f} "
            f"{item.control_bytes_per_s_per_daemon:15.0f}"
        )
    print(
        "refused: per 10,000 requests, although within the rate; "
        "static: the same with the rate split evenly between the VMs"
    )


@dataclass
class Measure:
    """Measure parts of the system on this machine."""

    command: Subcommands[
        MeasureConvergence
        | MeasureControl
        | MeasureState
        | MeasureRoles
        | MeasureLimits
    ]
