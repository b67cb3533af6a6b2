"""Command line of primroseturn."""

import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

from anyio import run
from cappa import Arg, invoke, Subcommands

from primroseturn import __version__
from primroseturn.cli.processes import run_daemon, run_store, run_upstream
from primroseturn.cli.replay import Replay, Traces
from primroseturn.settings.load import load_settings
from primroseturn.settings.models import DaemonSettings

EXIT_SETTINGS = 2


@dataclass
class Daemon:
    """Run the proxy daemon of this VM."""

    settings: Annotated[Path, Arg(long=True, help="Settings file (JSON).")]

    def __call__(self) -> None:
        """Load the settings and serve until a signal."""
        run(run_daemon, read_settings(self.settings))


@dataclass
class StandinStore:
    """Run the stand-in of the platform's object API on loopback."""

    port: Annotated[int, Arg(long=True, help="TCP port, 0 for a free one.")] = 0

    def __call__(self) -> None:
        """Serve until a signal."""
        run(run_store, self.port)


@dataclass
class StandinUpstream:
    """Run the stand-in of an upstream VM on loopback."""

    port: Annotated[int, Arg(long=True, help="TCP port, 0 for a free one.")] = 0
    name: Annotated[str, Arg(long=True, help="Name of the target.")] = "target"
    slots: Annotated[int, Arg(long=True, help="Requests run at the same time.")] = 6

    def __call__(self) -> None:
        """Serve until a signal."""
        run(run_upstream, self.name, self.slots, self.port)


@dataclass
class Standin:
    """Run a stand-in of an outside system."""

    command: Subcommands[StandinStore | StandinUpstream]


@dataclass
class SettingsCheck:
    """Check a settings file. Exit code 2 names the wrong field."""

    file: Annotated[Path, Arg(help="Settings file (JSON).")]

    def __call__(self) -> None:
        """Print the result of the check."""
        read_settings(self.file)
        print(f"{self.file}: settings are valid")


@dataclass
class Settings:
    """Work with settings files."""

    command: Subcommands[SettingsCheck]


@dataclass
class Primroseturn:
    """Proxy fleet for upstreams with gray failures."""

    command: Subcommands[Daemon | Standin | Settings | Replay | Traces]


def read_settings(path: Path) -> DaemonSettings:
    """Return the settings of a file or exit with `EXIT_SETTINGS`."""
    result = load_settings(path, DaemonSettings)
    if result.is_error():
        print(f"{path}: {result.error}", file=sys.stderr)
        raise SystemExit(EXIT_SETTINGS)
    return result.ok


def main() -> None:
    """Run the command line."""
    invoke(Primroseturn, version=__version__)
