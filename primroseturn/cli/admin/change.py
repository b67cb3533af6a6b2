"""Options of commands that change a named object."""

from dataclasses import dataclass
from typing import Annotated, Any

from cappa import Arg

from primroseturn.admin.client import AdminClient
from primroseturn.cli.admin.connection import ChangeOptions


@dataclass(kw_only=True)
class ObjectChange(ChangeOptions):
    """Options of commands that change a named object."""

    expected_version: Annotated[
        int | None,
        Arg(
            long=True,
            help="Version of the object that you have read; the current one by "
            "default. If the object has another version, the exit code is 3.",
        ),
    ] = None

    async def submit(
        self, client: AdminClient, kind: str, name: str, fields: dict | None
    ) -> dict[str, Any]:
        """Send the object with changed fields, or delete it if `fields` is None."""
        version, body = await client.find_object(kind, name)
        if self.expected_version is not None:
            version = self.expected_version
        if fields is not None:
            fields = (body or {}) | fields
        return await client.change(
            kind, name, fields, version, self.operation_id, self.dry_run
        )

    def submit_and_show(self, kind: str, name: str, fields: dict | None) -> None:
        """Run the change and print the response."""
        response = self.run_change(
            lambda client: self.submit(client, kind, name, fields)
        )
        self.print_response(response, [response])
