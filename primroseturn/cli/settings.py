"""Commands for settings files."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

from cappa import Arg, command, Subcommands

from primroseturn.cli.exits import ExitCode, fail
from primroseturn.platform.boot import read_boot
from primroseturn.settings.load import load_settings
from primroseturn.settings.models import DaemonSettings
from primroseturn.settings.reference import render_reference

PLATFORM_SUFFIX = ".toml"


def read_settings(path: Path) -> DaemonSettings:
    """Return the settings of a file or exit with `ExitCode.USAGE`."""
    result = load_settings(path, DaemonSettings)
    if result.is_error():
        fail(ExitCode.USAGE, f"{path}: {result.error}")
    return result.ok


@command(
    name="check",
    aliases=["settings-check"],
    description="Exits with code 2 and names the field, its value and what was "
    "expected when the file is not valid. Secret values are not printed.",
)
@dataclass
class SettingsCheck:
    """Check a settings file."""

    file: Annotated[
        Path, Arg(help="Settings file (JSON), or that of the users' platform (.toml).")
    ]

    def __call__(self) -> None:
        """Print the result of the check."""
        if self.file.suffix == PLATFORM_SUFFIX:
            # The deploy file states the port of the metrics.
            result = read_boot(self.file, metrics_port=0)
            if result.is_error():
                fail(ExitCode.USAGE, f"{self.file}: {result.error}")
        else:
            read_settings(self.file)
        print(f"{self.file}: settings are valid")


@command(name="reference", description="The output is the page docs/settings.md.")
@dataclass
class SettingsReference:
    """Print all fields with types, defaults and meanings."""

    def __call__(self) -> None:
        """Print the page."""
        print(render_reference(DaemonSettings), end="")


@dataclass
class Settings:
    """Work with settings files."""

    command: Subcommands[SettingsCheck | SettingsReference]
