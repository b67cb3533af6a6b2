"""Options of commands that issue or withdraw a key."""

from dataclasses import dataclass
from typing import Any

from primroseturn.cli.admin.connection import ChangeOptions
from primroseturn.cli.admin.output import flatten


@dataclass(kw_only=True)
class KeyChange(ChangeOptions):
    """Options of commands that issue or withdraw a key."""

    def post_and_show(self, path: str) -> None:
        """Send the call and print the response."""
        body: dict[str, Any] = {
            "operation_id": self.operation_id,
            "dry_run": self.dry_run,
        }
        response = self.run_change(lambda client: client.call("POST", path, body))
        self.print_response(response, flatten(response))
