"""Command that deletes an object."""

from dataclasses import dataclass
from typing import Annotated

from cappa import Arg, command

from primroseturn.cli.admin.change import ObjectChange
from primroseturn.cli.admin.kinds import CHANGEABLE_KINDS


@command(
    description="Refused for a service that a route uses and for the preset in force."
)
@dataclass
class Delete(ObjectChange):
    """Delete an object."""

    kind: Annotated[str, Arg(choices=CHANGEABLE_KINDS, help="Kind of the object.")]
    name: Annotated[str, Arg(help="Name of the object.")]

    def __call__(self) -> None:
        """Delete the object."""
        self.submit_and_show(self.kind, self.name, None)
