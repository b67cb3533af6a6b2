"""Command that gives a caller key."""

from dataclasses import dataclass
from typing import Annotated

from cappa import Arg, command

from primroseturn.cli.admin.key import KeyChange


@command(
    name="give-key",
    description="The secret is shown once. A repeat with the same operation id "
    "shows the key's id without the secret; withdraw that key and give another if "
    "the first answer was lost.",
)
@dataclass
class GiveKey(KeyChange):
    """Give a workspace a new caller key."""

    workspace: Annotated[str, Arg(help="Name of the workspace.")]

    def __call__(self) -> None:
        """Give the key."""
        self.post_and_show(f"workspaces/{self.workspace}/keys")
