"""Command that creates an object or changes its fields."""

from dataclasses import dataclass
from typing import Annotated, Any

from cappa import Arg, command
from msgspec import DecodeError
from msgspec.json import decode

from primroseturn.cli.admin.change import ObjectChange
from primroseturn.cli.admin.kinds import CHANGEABLE_KINDS
from primroseturn.cli.exits import ExitCode, fail


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


@command(
    name="set",
    description="Fields that are not given keep their values. Example: "
    "`set workspace shop rate=200 burst=50`.",
)
@dataclass
class Set(ObjectChange):
    """Create an object or change some of its fields."""

    kind: Annotated[str, Arg(choices=CHANGEABLE_KINDS, help="Kind of the object.")]
    name: Annotated[str, Arg(help="Name of the object.")]
    fields: Annotated[
        list[str], Arg(help="FIELD=VALUE; the value is JSON or plain text.")
    ]

    def __call__(self) -> None:
        """Change the object."""
        fields = {"name": self.name} | parse_fields(self.fields)
        self.submit_and_show(self.kind, self.name, fields)
