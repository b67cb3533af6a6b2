"""Command that lists accepted changes."""

from dataclasses import dataclass
from typing import Annotated

from cappa import Arg, command

from primroseturn.cli.admin.connection import Connection


@command(description="Reads the change log in the store; bodies are left out.")
@dataclass
class Audit(Connection):
    """List accepted changes with author, operation id and time."""

    after: Annotated[int, Arg(long=True, help="Start after this version.")] = 0
    limit: Annotated[int, Arg(long=True, help="Entries per page, at most 50.")] = 50

    def __call__(self) -> None:
        """Print a page of audit entries."""
        response = self.run_task(
            lambda client: client.call(
                "GET", "audit", after=self.after, limit=self.limit
            )
        )
        self.print_response(response, response["entries"])
