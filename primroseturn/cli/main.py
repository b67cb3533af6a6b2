"""Command line of primroseturn: the list of its commands."""

from dataclasses import dataclass
from functools import reduce
from operator import or_

from cappa import command, invoke, Subcommands

from primroseturn import __version__
from primroseturn.cli.admin.main import Admin
from primroseturn.cli.bench import Bench
from primroseturn.cli.daemon import Daemon
from primroseturn.cli.events import Events
from primroseturn.cli.exits import ExitCode, fail
from primroseturn.cli.measure import Measure
from primroseturn.cli.replay import Detectors, Replay, Traces
from primroseturn.cli.settings import Settings
from primroseturn.cli.standin import Standin
from primroseturn.plugins.registry import load_plugins

COMMANDS = (
    Daemon,
    Admin,
    Events,
    Standin,
    Settings,
    Bench,
    Measure,
    Replay,
    Traces,
    Detectors,
)

# Left out of the single executable, see primroseturn/packaging/executable.py.
PLOT_MODULES = ("matplotlib", "numpy")


def build_root() -> type:
    """Return the root command with the listed commands and those of plugins."""
    kinds = reduce(or_, [*COMMANDS, *load_plugins().values()])

    @command(
        name="primroseturn",
        description="Start with `primroseturn demo`.\n\n"
        "Exit codes: 0 success, 1 the operation failed or a stated outcome was "
        "missed, 2 incorrect usage or settings, 3 conflict, 4 not reachable.",
    )
    @dataclass
    class Primroseturn:
        """Proxy fleet for upstreams with gray failures."""

        command: Subcommands[kinds]

    return Primroseturn


def main(argv: list[str] | None = None) -> None:
    """Run the command line, with the process's arguments by default."""
    try:
        invoke(build_root(), argv=argv, version=__version__)
    except ModuleNotFoundError as error:
        if error.name not in PLOT_MODULES:
            raise
        message = f"this command needs {error.name}: pip install primroseturn"
        fail(ExitCode.FAILED, message)
