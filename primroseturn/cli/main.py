"""Command line of primroseturn and the list of its commands."""

import os
import sys
from dataclasses import dataclass
from functools import reduce
from importlib import import_module
from operator import or_

from cappa import command, invoke, Subcommands

from primroseturn import __version__
from primroseturn.cli.exits import ExitCode, fail

# Module and class of each command by its name on the command line. Running a command
# imports only its own module, which saves start time and memory of daemons.
locations_by_command = {
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

# Not part of the single executable, see primroseturn/packaging/executable.py.
PLOT_MODULES = ("matplotlib", "numpy")


def load_command(name: str) -> type:
    """Import the module of a command and return its class."""
    module, class_name = locations_by_command[name]
    return getattr(import_module(module), class_name)


def select_commands(argv: list[str]) -> list[type]:
    """Return the named built-in command, or else all commands with those of plugins."""
    if argv and argv[0] in locations_by_command:
        return [load_command(argv[0])]
    from primroseturn.plugins.registry import load_plugins

    built_in = [load_command(name) for name in locations_by_command]
    return [*built_in, *load_plugins().values()]


def build_root(argv: list[str]) -> type:
    """Return the root command with the subcommands that the arguments need."""
    commands = reduce(or_, select_commands(argv))

    @command(
        name="primroseturn",
        description="Start with `primroseturn demo`.\n\n"
        "Exit codes: 0 success, 1 the operation failed or a stated outcome was "
        "missed, 2 incorrect usage or settings, 3 conflict, 4 not reachable.",
    )
    @dataclass
    class Primroseturn:
        """Proxy fleet for upstreams with gray failures."""

        command: Subcommands[commands]

    return Primroseturn


def main(argv: list[str] | None = None) -> None:
    """Run the command line; without `argv`, with the arguments of the process."""
    try:
        arguments = sys.argv[1:] if argv is None else argv
        invoke(build_root(arguments), argv=arguments, version=__version__)
        sys.stdout.flush()
    except BrokenPipeError:
        # The reader of the output has ended early, as `head` does. Without this, the
        # interpreter would report at its exit that it cannot flush the output.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        raise SystemExit(int(ExitCode.FAILED)) from None
    except ModuleNotFoundError as error:
        if error.name not in PLOT_MODULES:
            raise
        message = f"this command needs {error.name}: pip install primroseturn"
        fail(ExitCode.FAILED, message)
