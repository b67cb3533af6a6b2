"""Command that lists objects."""

from dataclasses import dataclass
from typing import Annotated

from cappa import Arg, command

from primroseturn.cli.admin.connection import Connection
from primroseturn.cli.admin.kinds import KINDS


@command(name="list", description="Prints one page, sorted by name.")
@dataclass
class List(Connection):
    """List the objects of a kind."""

    kind: Annotated[str, Arg(choices=KINDS, help="Kind of objects.")]
    after: Annotated[str, Arg(long=True, help="Start after this name.")] = ""
    limit: Annotated[int, Arg(long=True, help="Objects per page, at most 1000.")] = 100

    def __call__(self) -> None:
        """Print a page of objects."""
        path = f"objects/{self.kind}"
        response = self.run_task(
            lambda client: client.call("GET", path, after=self.after, limit=self.limit)
        )
        rows = [
            {"version": item["version"], **item["body"]} for item in response["objects"]
        ]
        self.print_response(response, rows)
