"""Command that shows the status of a daemon."""

from dataclasses import dataclass

from cappa import command

from primroseturn.cli.admin.connection import Connection
from primroseturn.cli.admin.output import flatten


@command(
    description="Prints the version in force, readiness, drain, the state of the store "
    "and the reports of the running services (ejections with evidence, queues, tokens "
    "and loans)."
)
@dataclass
class Status(Connection):
    """Show the status of one daemon."""

    def __call__(self) -> None:
        """Print the status."""
        response = self.run_task(lambda client: client.call("GET", "status"))
        self.print_response(response, flatten(response))
