"""Commands for caller keys: give-key and withdraw-key."""

from dataclasses import dataclass
from typing import Annotated, Any

from cappa import Arg, command

from primroseturn.cli.admin.connection import ChangeOptions
from primroseturn.cli.admin.read import flatten


@dataclass(kw_only=True)
class KeyChange(ChangeOptions):
    """Options of commands that give or withdraw a key."""

    def post_and_show(self, path: str) -> None:
        """Send the call and print the answer."""
        body: dict[str, Any] = {
            "operation_id": self.operation_id,
            "dry_run": self.dry_run,
        }
        answer = self.run_change(lambda client: client.call("POST", path, body))
        self.show(answer, flatten(answer))


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


@command(
    name="withdraw-key",
    description="A withdrawal is never undone. It is in force everywhere within "
    "seconds, also on open connections.",
)
@dataclass
class WithdrawKey(KeyChange):
    """Withdraw a caller key."""

    key_id: Annotated[str, Arg(help="Id of the key, see `list key`.")]

    def __call__(self) -> None:
        """Withdraw the key."""
        self.post_and_show(f"keys/{self.key_id}/withdrawal")
