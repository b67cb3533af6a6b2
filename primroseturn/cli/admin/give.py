"""Command that issues a caller key."""

from dataclasses import dataclass
from typing import Annotated

from cappa import Arg, command

from primroseturn.cli.admin.key import KeyChange


@command(
    name="give-key",
    description="The secret is shown only once. A repeat with the same operation id "
    "shows the key's id without the secret; if the first response was lost, withdraw "
    "that key and issue another.",
)
@dataclass
class GiveKey(KeyChange):
    """Issue a new caller key for a workspace."""

    workspace: Annotated[str, Arg(help="Name of the workspace.")]

    def __call__(self) -> None:
        """Issue the key and print it."""
        self.post_and_show(f"workspaces/{self.workspace}/keys")
