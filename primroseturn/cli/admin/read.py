"""Commands that read: list, show, targets, status and audit."""

from dataclasses import dataclass
from typing import Annotated, Any

from cappa import Arg, command

from primroseturn.cli.admin.connection import Connection

KINDS = ["workspace", "key", "route", "service", "preset", "preset-in-force"]


def flatten(values: dict[str, Any], prefix: str = "") -> list[dict[str, Any]]:
    """Return a row per leaf of nested dictionaries."""
    rows = []
    for name, value in values.items():
        if isinstance(value, dict) and value:
            rows += flatten(value, f"{prefix}{name}.")
        else:
            rows.append({"item": f"{prefix}{name}", "value": value})
    return rows


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
        answer = self.run_task(
            lambda client: client.call("GET", path, after=self.after, limit=self.limit)
        )
        rows = [
            {"version": item["version"], **item["body"]} for item in answer["objects"]
        ]
        self.show(answer, rows)


@command(description="Prints its fields and the version that changes must state.")
@dataclass
class Show(Connection):
    """Show one object."""

    kind: Annotated[str, Arg(choices=KINDS, help="Kind of the object.")]
    name: Annotated[str, Arg(help="Name of the object, or id of the key.")]

    def __call__(self) -> None:
        """Print an object."""
        path = f"objects/{self.kind}/{self.name}"
        answer = self.run_task(lambda client: client.call("GET", path))
        self.show(answer, flatten({"version": answer["version"], **answer["body"]}))


@command(description="The platform's lists decide; targets are read-only here.")
@dataclass
class Targets(Connection):
    """List the targets of the VM lists."""

    service: Annotated[str | None, Arg(long=True, help="Only this service.")] = None
    after: Annotated[str, Arg(long=True, help="Start after SERVICE/NAME.")] = ""
    limit: Annotated[int, Arg(long=True, help="Targets per page, at most 1000.")] = 100

    def __call__(self) -> None:
        """Print a page of targets."""
        answer = self.run_task(
            lambda client: client.call(
                "GET",
                "targets",
                service=self.service,
                after=self.after,
                limit=self.limit,
            )
        )
        self.show(answer, answer["targets"])


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


@command(description="Reads the change log in the store; bodies are left out.")
@dataclass
class Audit(Connection):
    """List accepted changes with author, operation id and time."""

    after: Annotated[int, Arg(long=True, help="Start after this version.")] = 0
    limit: Annotated[int, Arg(long=True, help="Entries per page, at most 50.")] = 50

    def __call__(self) -> None:
        """Print a page of audit entries."""
        answer = self.run_task(
            lambda client: client.call(
                "GET", "audit", after=self.after, limit=self.limit
            )
        )
        self.show(answer, answer["entries"])
