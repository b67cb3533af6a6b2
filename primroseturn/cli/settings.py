"""Commands for settings files."""

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

from cappa import Arg, command, Subcommands

from primroseturn.cli.exits import ExitCode, fail
from primroseturn.platform.boot import read_platform_settings
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
    description="If the file is not valid, exits with code 2 and names the field, its "
    "value and the expected value. Secret values are not printed.",
)
@dataclass
class SettingsCheck:
    """Check a settings file."""

    file: Annotated[
        Path,
        Arg(help="Settings file (JSON), or the one of the users' platform (.toml)."),
    ]

    def __call__(self) -> None:
        """Check the file and print the result."""
        if self.file.suffix == PLATFORM_SUFFIX:
            # The port of the metrics is not in this file but in the deploy file.
            result = read_platform_settings(self.file, metrics_port=0)
            if result.is_error():
                fail(ExitCode.USAGE, f"{self.file}: {result.error}")
        else:
            read_settings(self.file)
        print(f"{self.file}: settings are valid")


@command(name="reference", description="The output is the page docs/settings.md.")
@dataclass
class SettingsReference:
    """Print all settings fields with types, defaults and meanings."""

    def __call__(self) -> None:
        """Print the page."""
        print(render_reference(DaemonSettings), end="")


@dataclass
class Settings:
    """Check and document settings files."""

    command: Subcommands[SettingsCheck | SettingsReference]
