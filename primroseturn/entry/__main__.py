"""Starts an entry VM without importing the libraries of the command line."""

import os
from functools import partial
from pathlib import Path

from anyio import run

from primroseturn.cli.exits import ExitCode, fail
from primroseturn.entry.process import run_entry
from primroseturn.platform.boot import read_platform_settings
from primroseturn.platform.wire import METRICS_VARIABLE, SETTINGS_VARIABLE


def main() -> None:
    """Load the settings file that the platform names and serve until a signal."""
    path = Path(os.environ.get(SETTINGS_VARIABLE, ""))
    metrics_port = os.environ.get(METRICS_VARIABLE, "0")
    read_settings = partial(
        read_platform_settings, path, int(metrics_port) if metrics_port.isdigit() else 0
    )
    result = read_settings()
    if result.is_error():
        fail(ExitCode.USAGE, f"{path}: {result.error}")
    run(run_entry, result.ok, path, read_settings)


main()
