"""Command that merges event files into a timeline."""

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
    """Print one line per record."""
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
    description="Merges event files of several processes. Clock offsets are corrected "
    "by clock probes (events 110 and 111); a process that no probes connect to the "
    "others keeps its clock and is named on standard error."
)
@dataclass
class Timeline:
    """Merge event files into one time line."""

    files: Annotated[list[Path], Arg(help="Event files (logs.events_file).")]
    workspace: Annotated[str | None, Arg(long=True, help="Only this workspace.")] = None
    target: Annotated[str | None, Arg(long=True, help="Only this target.")] = None
    request: Annotated[str | None, Arg(long=True, help="Only this request id.")] = None
    event: Annotated[int | None, Arg(long=True, help="Only this event number.")] = None
    svg: Annotated[Path | None, Arg(long=True, help="Write an SVG file.")] = None
    json: Annotated[bool, Arg(long=True, help="Print JSON lines.")] = False

    def __call__(self) -> None:
        """Print, and draw if `svg` is given, the selected events."""
        try:
            result = read_records(self.files)
        except EventFileInvalid as failure:
            fail(ExitCode.USAGE, str(failure))
        records, offsets = merge_records(result.records)
        self.warn(result.skipped, offsets)
        selection = Filter(self.workspace, self.target, self.request, self.event)
        records = selection.select(records)
        if self.json:
            for record in records:
                print(encode_line(record))
        else:
            print_records(records)
        if self.svg is not None:
            self.draw(records)

    def warn(self, skipped: int, offsets: dict[Process, Offset]) -> None:
        """Print the number of skipped lines and the clocks that were not corrected."""
        if skipped:
            print(f"{skipped} lines are not events", file=sys.stderr)
        for process, offset in offsets.items():
            if offset.error_s == float("inf"):
                print(f"{process.vm}: clock not corrected", file=sys.stderr)

    def draw(self, records: list[Record]) -> None:
        """Write the SVG file; exit if there is no event to draw or writing fails."""
        # Imported here because matplotlib takes longer to import than all the rest.
        from primroseturn.observation.timeline.picture import draw_timeline

        if not records:
            fail(ExitCode.FAILED, "no event to draw")
        try:
            draw_timeline(records, self.svg)
        except OSError as error:
            fail(ExitCode.FAILED, f"{self.svg}: {error.strerror}")
