"""Commands that run stand-ins of outside systems on loopback."""

from dataclasses import dataclass
from typing import Annotated

from anyio import run
from cappa import Arg, command, Subcommands

from primroseturn.cli.processes import run_store, run_upstream


@command(
    name="store",
    aliases=["standin-store"],
    description="Keeps objects in memory. POST /control/faults sets outages, delays "
    "and lost responses.",
)
@dataclass
class StandinStore:
    """Run the stand-in of the platform's object API on loopback."""

    port: Annotated[int, Arg(long=True, help="TCP port, 0 for a free one.")] = 0

    def __call__(self) -> None:
        """Serve until a signal."""
        run(run_store, self.port)


@command(
    name="upstream",
    aliases=["standin-upstream"],
    description="Responds to every path and counts executions by Idempotency-Key. "
    "POST /control/faults sets gray faults.",
)
@dataclass
class StandinUpstream:
    """Run the stand-in of an upstream VM on loopback."""

    port: Annotated[int, Arg(long=True, help="TCP port, 0 for a free one.")] = 0
    name: Annotated[str, Arg(long=True, help="Name of the target.")] = "target"
    slots: Annotated[int, Arg(long=True, help="Requests served at the same time.")] = 6
    connections: Annotated[
        int, Arg(long=True, help="Most connections at a time, 0 for no cap.")
    ] = 0

    def __call__(self) -> None:
        """Serve until a signal."""
        run(run_upstream, self.name, self.slots, self.port, self.connections)


@command(description="For tests and trials. Stand-ins listen on loopback only.")
@dataclass
class Standin:
    """Run a stand-in of an outside system."""

    command: Subcommands[StandinStore | StandinUpstream]
