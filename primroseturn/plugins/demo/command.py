"""Command that runs the demo."""

from dataclasses import dataclass
from typing import Annotated

from anyio import run
from cappa import Arg, command

from primroseturn.cli.exits import ExitCode
from primroseturn.plugins.demo.scenario import run_demo
from primroseturn.plugins.registry import plugin_command


@plugin_command
@command(
    description="Runs a store stand-in, upstream stand-ins with gray faults, several "
    "daemons and callers as tasks of this process on loopback. Prints one line per "
    "second and a summary. Exits with code 1 if a stated outcome is missed."
)
@dataclass
class Demo:
    """Show a small fleet that serves under gray faults, within 20 s."""

    seconds: Annotated[
        float, Arg(long=True, help="Duration of the traffic, 2 to 15 s.")
    ] = 10.0
    seed: Annotated[int, Arg(long=True, help="Seed of callers and faults.")] = 1

    def __call__(self) -> None:
        """Run the demo and exit with 0 if all stated outcomes are met."""
        seconds = min(15.0, max(2.0, self.seconds))
        passed = run(run_demo, seconds, self.seed)
        raise SystemExit(int(ExitCode.SUCCESS if passed else ExitCode.FAILED))
