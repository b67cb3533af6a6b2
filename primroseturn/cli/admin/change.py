"""Commands that change objects: set, delete and use-preset."""

from dataclasses import dataclass
from typing import Annotated, Any

from cappa import Arg, command
from msgspec import DecodeError
from msgspec.json import decode

from primroseturn.admin.client import AdminClient
from primroseturn.cli.admin.connection import ChangeOptions
from primroseturn.cli.exits import ExitCode, fail

CHANGED_KINDS = ["workspace", "route", "service", "preset"]


def parse_fields(pairs: list[str]) -> dict[str, Any]:
    """Return the fields of ``FIELD=VALUE`` pairs; values are JSON or plain text."""
    fields = {}
    for pair in pairs:
        name, separator, text = pair.partition("=")
        if not separator or not name:
            fail(ExitCode.USAGE, f"{pair!r} is not FIELD=VALUE")
        try:
            fields[name] = decode(text)
        except DecodeError:
            fields[name] = text
    return fields


@dataclass(kw_only=True)
class ObjectChange(ChangeOptions):
    """Options of commands that change a named object."""

    expected_version: Annotated[
        int | None,
        Arg(
            long=True,
            help="Version of the object that you saw; the current one by default. "
            "Another version gives exit code 3.",
        ),
    ] = None

    async def submit(
        self, client: AdminClient, kind: str, name: str, fields: dict | None
    ) -> dict[str, Any]:
        """Send the object with changed fields, or its deletion."""
        version, body = await client.find_version(kind, name)
        if self.expected_version is not None:
            version = self.expected_version
        if fields is not None:
            fields = (body or {}) | fields
        return await client.change(
            kind, name, fields, version, self.operation_id, self.dry_run
        )

    def submit_and_show(self, kind: str, name: str, fields: dict | None) -> None:
        """Run the change and print the answer."""
        answer = self.run_change(lambda client: self.submit(client, kind, name, fields))
        self.show(answer, [answer])


@command(
    name="set",
    description="Fields that are not named keep their values. Example: "
    "`set workspace shop rate=200 burst=50`.",
)
@dataclass
class Set(ObjectChange):
    """Create an object or change some of its fields."""

    kind: Annotated[str, Arg(choices=CHANGED_KINDS, help="Kind of the object.")]
    name: Annotated[str, Arg(help="Name of the object.")]
    fields: Annotated[list[str], Arg(help="FIELD=VALUE, the value in JSON or plain.")]

    def __call__(self) -> None:
        """Change the object."""
        fields = {"name": self.name} | parse_fields(self.fields)
        self.submit_and_show(self.kind, self.name, fields)


@command(description="Refused while another object refers to it.")
@dataclass
class Delete(ObjectChange):
    """Delete an object."""

    kind: Annotated[str, Arg(choices=CHANGED_KINDS, help="Kind of the object.")]
    name: Annotated[str, Arg(help="Name of the object.")]

    def __call__(self) -> None:
        """Delete the object."""
        self.submit_and_show(self.kind, self.name, None)


@command(name="use-preset", description="Exactly one preset is in force at any time.")
@dataclass
class UsePreset(ObjectChange):
    """Put a preset in force."""

    preset: Annotated[str, Arg(help="Name of the preset.")]

    def __call__(self) -> None:
        """Put the preset in force."""
        self.submit_and_show("preset-in-force", "current", {"preset": self.preset})
