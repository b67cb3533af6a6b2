"""Options that all commands of operators share."""

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
    """Where the administration API is and how the answer is printed."""

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
        str | None, Arg(long=True, help="Authority that is trusted for https.")
    ] = None
    json: Annotated[bool, Arg(long=True, help="Print the answer as JSON.")] = False

    def read_token(self) -> str:
        """Return the token or exit with `ExitCode.USAGE`."""
        try:
            return Path(self.token_file).read_text().strip()
        except (OSError, UnicodeDecodeError):
            fail(ExitCode.USAGE, f"--token-file {self.token_file!r} is not readable")

    def run_task(self, task: Task) -> dict[str, Any]:
        """Run calls with an open client; exit with the code of their failure."""

        async def work() -> dict[str, Any]:
            async with open_client(self.url, self.read_token(), self.ca_file) as client:
                return await task(client)

        try:
            return run(work)
        except AdminUnreachable as failure:
            fail(ExitCode.UNREACHABLE, str(failure))
        except AdminRefused as failure:
            if self.json:
                print(encode(failure.error).decode())
            fail(EXITS_BY_STATUS.get(failure.status, ExitCode.FAILED), str(failure))
        except OSError as error:
            fail(ExitCode.USAGE, f"--ca-file {self.ca_file!r}: {error}")

    def show(self, answer: dict[str, Any], rows: list[dict[str, Any]]) -> None:
        """Print the whole answer as JSON, or rows as a table."""
        if self.json:
            print(format(encode(answer)).decode())
            return
        print_table(rows)
        if answer.get("next_after") is not None:
            print(f"more: --after {answer['next_after']}", file=sys.stderr)


@dataclass(kw_only=True)
class ChangeOptions(Connection):
    """Options of commands that change an object."""

    operation_id: Annotated[
        str,
        Arg(
            long=True,
            help="Repeat a command with the id of the earlier try, and it has no "
            "further effect. Printed with every answer; a random one by default.",
            show_default=False,
        ),
    ] = field(default_factory=create_operation_id)
    dry_run: Annotated[bool, Arg(long=True, help="Check only, change nothing.")] = False

    def run_change(self, task: Task) -> dict[str, Any]:
        """Run a change; its operation id is shown first, for a repeat."""
        print(f"operation id {self.operation_id}", file=sys.stderr)
        return self.run_task(task)
