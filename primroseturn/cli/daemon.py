"""Command that runs the daemon of a VM."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

from anyio import run
from cappa import Arg, command

from primroseturn.cli.processes import run_daemon
from primroseturn.cli.settings import read_settings


@command(
    description="Serves callers until SIGTERM or SIGINT, then drains: readiness "
    "becomes false, running requests finish, and the process exits with code 0. "
    "Exits with code 2 if the settings are not valid."
)
@dataclass
class Daemon:
    """Run the proxy daemon of this VM."""

    settings: Annotated[
        Path, Arg(long=True, help="Settings file (JSON, see docs/settings.md).")
    ]

    def __call__(self) -> None:
        """Load the settings and serve until a signal."""
        run(run_daemon, read_settings(self.settings))
