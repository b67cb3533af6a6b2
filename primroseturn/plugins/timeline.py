"""Command that merges event files into a time line."""

import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

from cappa import Arg, command
from msgspec.json import encode

from primroseturn.cli.exits import ExitCode, fail
from primroseturn.observation.timeline.offsets import merge_records, Offset
from primroseturn.observation.timeline.records import (
    EventFileInvalid,
    Filter,
    Process,
    read_records,
    Record,
)
from primroseturn.plugins.registry import plugin_command


def print_records(records: list[Record]) -> None:
    """Print a line per record."""
    start = records[0].at_s if records else 0.0
    for record in records:
        fields = " ".join(f"{name}={value}" for name, value in record.fields.items())
        print(
            f"{record.at_s - start:12.6f} {record.process.vm:10} "
            f"{record.number:5d} {record.name:24} {fields}".rstrip()
        )


def encode_line(record: Record) -> str:
    """Return a record as one JSON line."""
    value = record._asdict() | {"process": record.process._asdict()}
    return encode(value).decode()


@plugin_command
@command(
    description="Merges event files of several daemons. Clock offsets are repaired "
    "from pairs of clock probes (events 110 and 111); a process that no pair connects "
    "keeps its clock and is named on standard error."
)
@dataclass
class Timeline:
    """Merge event files into one time line."""

    files: Annotated[list[Path], Arg(help="Event files (logs.events_file).")]
    workspace: Annotated[str | None, Arg(long=True, help="Only this one.")] = None
    target: Annotated[str | None, Arg(long=True, help="Only this target.")] = None
    request: Annotated[str | None, Arg(long=True, help="Only this request id.")] = None
    event: Annotated[int | None, Arg(long=True, help="Only this number.")] = None
    svg: Annotated[Path | None, Arg(long=True, help="Write a picture here.")] = None
    json: Annotated[bool, Arg(long=True, help="Print JSON lines.")] = False

    def __call__(self) -> None:
        """Print and draw the wanted events."""
        try:
            found = read_records(self.files)
        except EventFileInvalid as failure:
            fail(ExitCode.USAGE, str(failure))
        records, offsets = merge_records(found.records)
        self.warn(found.skipped, offsets)
        wanted = Filter(self.workspace, self.target, self.request, self.event)
        records = wanted.select(records)
        if self.json:
            for record in records:
                print(encode_line(record))
        else:
            print_records(records)
        if self.svg is not None:
            self.draw(records)

    def warn(self, skipped: int, offsets: dict[Process, Offset]) -> None:
        """Say what the time line cannot show."""
        if skipped:
            print(f"{skipped} lines are no events", file=sys.stderr)
        for process, offset in offsets.items():
            if offset.error_s == float("inf"):
                print(f"{process.vm}: clock not repaired", file=sys.stderr)

    def draw(self, records: list[Record]) -> None:
        """Write the picture or exit if there is nothing to draw."""
        # Loaded here because matplotlib takes longer to load than all else.
        from primroseturn.observation.timeline.picture import draw_timeline

        if not records:
            fail(ExitCode.FAILED, "no event to draw")
        try:
            draw_timeline(records, self.svg)
        except OSError as error:
            fail(ExitCode.FAILED, f"{self.svg}: {error.strerror}")
