"""Command that runs the proxy of an entry VM on the users' platform."""

import os
from dataclasses import dataclass
from functools import partial
from pathlib import Path
from typing import Annotated

from anyio import run
from cappa import Arg, command

from primroseturn.cli.exits import ExitCode, fail
from primroseturn.entry.process import run_entry
from primroseturn.platform.boot import read_platform_settings
from primroseturn.platform.wire import SETTINGS_VARIABLE


@command(
    description="Serves callers until SIGTERM. The settings file is the one that the "
    f"platform writes and names in {SETTINGS_VARIABLE}. Exits with code 2 if it is "
    "not valid."
)
@dataclass
class Entry:
    """Run the proxy of an entry VM on the users' platform."""

    metrics_port: Annotated[int, Arg(long=True, help="Port of the metrics.")] = 0
    settings: Annotated[
        Path | None, Arg(long=True, help="Settings file (TOML) of the platform.")
    ] = None

    def __call__(self) -> None:
        """Load the settings and serve until a signal."""
        path = self.settings or Path(os.environ.get(SETTINGS_VARIABLE, ""))
        read_settings = partial(read_platform_settings, path, self.metrics_port)
        result = read_settings()
        if result.is_error():
            fail(ExitCode.USAGE, f"{path}: {result.error}")
        run(run_entry, result.ok, path, read_settings)
