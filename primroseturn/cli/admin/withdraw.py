"""Command that withdraws a caller key."""

from dataclasses import dataclass
from typing import Annotated

from cappa import Arg, command

from primroseturn.cli.admin.key import KeyChange


@command(
    name="withdraw-key",
    description="A withdrawal cannot be undone. It is in force on all VMs within "
    "seconds, also on open connections.",
)
@dataclass
class WithdrawKey(KeyChange):
    """Withdraw a caller key."""

    key_id: Annotated[str, Arg(help="Id of the key, see `list key`.")]

    def __call__(self) -> None:
        """Withdraw the key and print the state of the withdrawal."""
        self.post_and_show(f"keys/{self.key_id}/withdrawal")
