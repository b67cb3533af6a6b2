"""Command that puts a preset in force."""

from dataclasses import dataclass
from typing import Annotated

from cappa import Arg, command

from primroseturn.cli.admin.change import ObjectChange


@command(name="use-preset", description="Exactly one preset is in force at any time.")
@dataclass
class UsePreset(ObjectChange):
    """Put a preset in force."""

    preset: Annotated[str, Arg(help="Name of the preset.")]

    def __call__(self) -> None:
        """Put the preset in force."""
        self.submit_and_show("preset-in-force", "current", {"preset": self.preset})
