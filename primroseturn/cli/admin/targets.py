"""Command that lists targets."""

from dataclasses import dataclass
from typing import Annotated

from cappa import Arg, command

from primroseturn.cli.admin.connection import Connection


@command(
    description="Targets come from the platform's lists of the VMs of each upstream "
    "service and are read-only here."
)
@dataclass
class Targets(Connection):
    """List the targets of the upstream services."""

    service: Annotated[str | None, Arg(long=True, help="Only this service.")] = None
    after: Annotated[str, Arg(long=True, help="Start after SERVICE/NAME.")] = ""
    limit: Annotated[int, Arg(long=True, help="Targets per page, at most 1000.")] = 100

    def __call__(self) -> None:
        """Print a page of targets."""
        response = self.run_task(
            lambda client: client.call(
                "GET",
                "targets",
                service=self.service,
                after=self.after,
                limit=self.limit,
            )
        )
        self.print_response(response, response["targets"])
