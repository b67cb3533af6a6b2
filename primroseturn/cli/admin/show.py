"""Command that shows one object."""

from dataclasses import dataclass
from typing import Annotated

from cappa import Arg, command

from primroseturn.cli.admin.connection import Connection
from primroseturn.cli.admin.kinds import KINDS
from primroseturn.cli.admin.output import flatten


@command(description="Prints the fields and the version, which a change must state.")
@dataclass
class Show(Connection):
    """Show one object."""

    kind: Annotated[str, Arg(choices=KINDS, help="Kind of the object.")]
    name: Annotated[str, Arg(help="Name of the object, or id of the key.")]

    def __call__(self) -> None:
        """Print the object."""
        path = f"objects/{self.kind}/{self.name}"
        response = self.run_task(lambda client: client.call("GET", path))
        self.print_response(
            response, flatten({"version": response["version"], **response["body"]})
        )
