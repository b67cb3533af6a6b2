"""Options that all commands for operators share."""

import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated, Any

from anyio import run
from cappa import Arg, Default, Env
from msgspec.json import encode, format

from primroseturn.admin.client import (
    AdminClient,
    AdminRefused,
    AdminUnreachable,
    create_operation_id,
    open_client,
)
from primroseturn.cli.admin.output import print_table
from primroseturn.cli.exits import ExitCode, fail

Task = Callable[[AdminClient], Awaitable[dict[str, Any]]]

EXITS_BY_STATUS = {
    400: ExitCode.USAGE,
    422: ExitCode.USAGE,
    409: ExitCode.CONFLICT,
    503: ExitCode.UNREACHABLE,
    504: ExitCode.UNREACHABLE,
}


@dataclass(kw_only=True)
class Connection:
    """Options for the connection to the administration API and for the output."""

    url: Annotated[
        str,
        Arg(
            long=True,
            default=Default(Env("PRIMROSETURN_ADMIN_URL")),
            help="Base URL of a daemon's administration API "
            "(or PRIMROSETURN_ADMIN_URL).",
        ),
    ] = "http://127.0.0.1:9400"
    token_file: Annotated[
        str,
        Arg(
            long=True,
            default=Default(Env("PRIMROSETURN_ADMIN_TOKEN_FILE")),
            help="File with the bearer token (or PRIMROSETURN_ADMIN_TOKEN_FILE).",
        ),
    ] = ""
    ca_file: Annotated[
        str | None,
        Arg(long=True, help="Certificate of the authority that is trusted for https."),
    ] = None
    json: Annotated[bool, Arg(long=True, help="Print the response as JSON.")] = False

    def read_token(self) -> str:
        """Return the bearer token or exit with `ExitCode.USAGE`."""
        try:
            return Path(self.token_file).read_text().strip()
        except (OSError, UnicodeDecodeError):
            fail(ExitCode.USAGE, f"--token-file {self.token_file!r} is not readable")

    def run_task(self, task: Task) -> dict[str, Any]:
        """Run a task with an open client; exit with the code of its failure."""

        async def run_with_client() -> dict[str, Any]:
            async with open_client(self.url, self.read_token(), self.ca_file) as client:
                return await task(client)

        try:
            return run(run_with_client)
        except AdminUnreachable as failure:
            fail(ExitCode.UNREACHABLE, str(failure))
        except AdminRefused as failure:
            if self.json:
                print(encode(failure.error).decode())
            fail(EXITS_BY_STATUS.get(failure.status, ExitCode.FAILED), str(failure))
        except OSError as error:
            fail(ExitCode.USAGE, f"--ca-file {self.ca_file!r}: {error}")

    def print_response(
        self, response: dict[str, Any], rows: list[dict[str, Any]]
    ) -> None:
        """Print the whole response as JSON, or `rows` as a table."""
        if self.json:
            print(format(encode(response)).decode())
            return
        print_table(rows)
        if response.get("next_after") is not None:
            print(f"more: --after {response['next_after']}", file=sys.stderr)


@dataclass(kw_only=True)
class ChangeOptions(Connection):
    """Options of commands that change an object."""

    operation_id: Annotated[
        str,
        Arg(
            long=True,
            help="Id of the operation, random by default and always printed. A repeat "
            "of a command with the id of the earlier attempt has no further effect.",
            show_default=False,
        ),
    ] = field(default_factory=create_operation_id)
    dry_run: Annotated[bool, Arg(long=True, help="Check only, change nothing.")] = False

    def run_change(self, task: Task) -> dict[str, Any]:
        """Print the operation id, which a repeated attempt needs, and run a change."""
        print(f"operation id {self.operation_id}", file=sys.stderr)
        return self.run_task(task)
