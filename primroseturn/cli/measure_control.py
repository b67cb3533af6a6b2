"""Commands that measure the control plane on this machine."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Annotated, Any

from anyio import run
from cappa import Arg, command
from msgspec.json import encode

from primroseturn.bench.control import (
    measure_control,
    measure_convergence,
    measure_state,
)
from primroseturn.bench.roles import measure_roles

Json = Annotated[bool, Arg(long="--json", help="Print JSON lines.")]
Tcp = Annotated[
    bool, Arg(long=True, help="Use TCP on loopback, not an in-memory network.")
]
Seed = Annotated[int, Arg(long=True, help="Seed of all random choices.")]


def print_rows(rows: Sequence[Any], as_json: bool) -> None:
    """Print named tuples as JSON lines or as a table."""
    if as_json:
        for row in rows:
            print(encode(row._asdict()).decode())
        return
    names = rows[0]._fields
    table = [names] + [
        [f"{cell:.4g}" if isinstance(cell, float) else str(cell) for cell in row]
        for row in rows
    ]
    widths = [max(map(len, column)) for column in zip(*table, strict=True)]
    for line in table:
        cells = zip(line, widths, strict=True)
        print("  ".join(cell.rjust(width) for cell, width in cells))


@command(name="convergence")
@dataclass
class MeasureConvergence:
    """Measure the time from an accepted change until all daemons have it in force."""

    daemons: Annotated[int, Arg(long=True, help="Number of daemons.")] = 40
    changes: Annotated[int, Arg(long=True, help="Number of changes.")] = 100
    tcp: Tcp = False
    seed: Seed = 1
    json: Json = False

    def __call__(self) -> None:
        """Run the measurement and print its result."""
        result = run(
            measure_convergence, self.daemons, self.changes, not self.tcp, self.seed
        )
        print_rows([result], self.json)


@command(name="control")
@dataclass
class MeasureControl:
    """Measure store calls, control bytes and CPU time of each phase.

    The phases are: no changes, changes, a store outage and the recovery from it.
    """

    daemons: Annotated[
        list[int], Arg(long=True, help="Number of daemons; may be repeated.")
    ] = field(default_factory=lambda: [10, 20, 40, 80])
    seconds: Annotated[float, Arg(long=True, help="Length of each phase.")] = 10.0
    tcp: Tcp = False
    seed: Seed = 1
    json: Json = False

    def __call__(self) -> None:
        """Run the measurement at each size and print its result."""
        rows = []
        for daemons in self.daemons:
            rows += run(measure_control, daemons, self.seconds, not self.tcp, self.seed)
        print_rows(rows, self.json)


@command(name="state")
@dataclass
class MeasureState:
    """Measure loading, changes and lookups of a large configuration."""

    workspaces: Annotated[int, Arg(long=True, help="Number of workspaces.")] = 340_000
    seed: Seed = 1
    json: Json = False

    def __call__(self) -> None:
        """Run the measurement and print its result."""
        print_rows([measure_state(self.workspaces, self.seed)], self.json)


@command(name="roles")
@dataclass
class MeasureRoles:
    """Measure memory, time and bytes per item of detection, routing and claims."""

    json: Json = False

    def __call__(self) -> None:
        """Run the measurement and print its result."""
        print_rows(measure_roles(), self.json)
