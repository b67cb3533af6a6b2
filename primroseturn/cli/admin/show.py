"""Command that shows one object."""

from dataclasses import dataclass
from typing import Annotated

from cappa import Arg, command

from primroseturn.cli.admin.connection import Connection
from primroseturn.cli.admin.kinds import KINDS
from primroseturn.cli.admin.output import flatten


@command(description="Prints its fields and the version that changes must state.")
@dataclass
class Show(Connection):
    """Show one object."""

    kind: Annotated[str, Arg(choices=KINDS, help="Kind of the object.")]
    name: Annotated[str, Arg(help="Name of the object, or id of the key.")]

    def __call__(self) -> None:
        """Print an object."""
        path = f"objects/{self.kind}/{self.name}"
        answer = self.run_task(lambda client: client.call("GET", path))
        self.show(answer, flatten({"version": answer["version"], **answer["body"]}))
