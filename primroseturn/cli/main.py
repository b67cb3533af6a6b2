"""Command line of primroseturn: the list of its commands."""

import os
import sys
from dataclasses import dataclass
from functools import reduce
from importlib import import_module
from operator import or_

from cappa import command, invoke, Subcommands

from primroseturn import __version__
from primroseturn.cli.exits import ExitCode, fail

# Module and class of each command by its name on the command line. A command imports
# only its own module, because start time and memory of daemons count.
places_by_command = {
    "daemon": ("primroseturn.cli.daemon", "Daemon"),
    "entry": ("primroseturn.cli.entry", "Entry"),
    "admin": ("primroseturn.cli.admin.main", "Admin"),
    "events": ("primroseturn.cli.events", "Events"),
    "standin": ("primroseturn.cli.standin", "Standin"),
    "settings": ("primroseturn.cli.settings", "Settings"),
    "bench": ("primroseturn.cli.bench", "Bench"),
    "measure": ("primroseturn.cli.measure", "Measure"),
    "replay": ("primroseturn.cli.replay", "Replay"),
    "traces": ("primroseturn.cli.replay", "Traces"),
    "detectors": ("primroseturn.cli.replay", "Detectors"),
}

# Left out of the single executable, see primroseturn/packaging/executable.py.
PLOT_MODULES = ("matplotlib", "numpy")


def load_command(name: str) -> type:
    """Import the module of a command and return its class."""
    module, kind = places_by_command[name]
    return getattr(import_module(module), kind)


def choose_commands(argv: list[str]) -> list[type]:
    """Return the named command, or all of them and those of plugins."""
    if argv and argv[0] in places_by_command:
        return [load_command(argv[0])]
    from primroseturn.plugins.registry import load_plugins

    own = [load_command(name) for name in places_by_command]
    return [*own, *load_plugins().values()]


def build_root(argv: list[str]) -> type:
    """Return the root command with the commands that the arguments need."""
    kinds = reduce(or_, choose_commands(argv))

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
        arguments = sys.argv[1:] if argv is None else argv
        invoke(build_root(arguments), argv=arguments, version=__version__)
        sys.stdout.flush()
    except BrokenPipeError:
        # The reader of the output has ended, as `head` does. The interpreter would
        # report the failure of its own flush at the exit.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        raise SystemExit(int(ExitCode.FAILED)) from None
    except ModuleNotFoundError as error:
        if error.name not in PLOT_MODULES:
            raise
        message = f"this command needs {error.name}: pip install primroseturn"
        fail(ExitCode.FAILED, message)
