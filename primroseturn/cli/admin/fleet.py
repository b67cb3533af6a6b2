"""Command that shows the status of all VMs."""

import sys
from dataclasses import dataclass
from typing import Annotated

from cappa import Arg, command

from primroseturn.cli.admin.connection import Connection


@command(
    description="Queries the listed VMs for version, preset, readiness and number of "
    "ejections. VMs that do not reply within 1 s are named on standard error."
)
@dataclass
class Fleet(Connection):
    """Show the version in force on each VM."""

    after: Annotated[str, Arg(long=True, help="Start after this VM.")] = ""
    limit: Annotated[int, Arg(long=True, help="VMs per page, at most 1000.")] = 100

    def __call__(self) -> None:
        """Print a page of VMs."""
        response = self.run_task(
            lambda client: client.call(
                "GET", "fleet", after=self.after, limit=self.limit
            )
        )
        self.print_response(response, response["vms"])
        if response["unheard"]:
            print(f"no reply: {' '.join(response['unheard'])}", file=sys.stderr)
