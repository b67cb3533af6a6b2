"""Command that shows the status of a daemon."""

from dataclasses import dataclass

from cappa import command

from primroseturn.cli.admin.connection import Connection
from primroseturn.cli.admin.output import flatten


@command(
    description="Version in force, readiness, drain, store, and what the running "
    "services report (ejections with evidence, tokens and loans, versions per VM)."
)
@dataclass
class Status(Connection):
    """Show the status of the daemon."""

    def __call__(self) -> None:
        """Print the status."""
        answer = self.run_task(lambda client: client.call("GET", "status"))
        self.show(answer, flatten(answer))
