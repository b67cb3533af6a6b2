"""Reads event files and filters their records."""

from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

from msgspec import DecodeError
from msgspec.json import Decoder

from primroseturn.failures import Failure

FIXED_FIELDS = frozenset(
    (
        "event",
        "message_type",
        "vm",
        "incarnation",
        "sequence",
        "monotonic_s",
        "wall_s",
        "task_uuid",
        "task_level",
        "timestamp",
    )
)


class EventFileInvalid(Failure):
    """An event file cannot be read."""

    code = "event-file-invalid"

    def __init__(self, path: Path, reason: str) -> None:
        super().__init__(f"{path}: {reason}")


class Process(NamedTuple):
    """One start of a daemon, or of an entry VM's proxy, on a VM."""

    vm: str
    incarnation: str


class Record(NamedTuple):
    """One event of one process.

    Attributes
    ----------
    at_s
        Wall-clock time in seconds; corrected once clock offsets are applied.
    """

    process: Process
    number: int
    name: str
    at_s: float
    monotonic_s: float
    fields: dict[str, Any]


class Filter(NamedTuple):
    """Values that records must have; None accepts all."""

    workspace: str | None = None
    target: str | None = None
    request: str | None = None
    event: int | None = None

    def select(self, records: list[Record]) -> list[Record]:
        """Return the records that match.

        Not every event of a request names its workspace and target. If one event of
        a request has them, all events of the request match. The event number is
        compared for each record.
        """
        selected = [record for record in records if self.has_event_number(record)]
        for name in ("workspace", "target", "request"):
            value = getattr(self, name)
            if value is None:
                continue
            named = [item for item in records if item.fields.get(name) == value]
            requests = {item.fields.get("request") for item in named} - {None}
            selected = [
                record
                for record in selected
                if record.fields.get(name) == value
                or record.fields.get("request") in requests
            ]
        return selected

    def has_event_number(self, record: Record) -> bool:
        """Return whether a record has the event number of the filter."""
        return self.event is None or record.number == self.event


class ReadResult(NamedTuple):
    """Records of all files, and the number of skipped lines."""

    records: list[Record]
    skipped: int


def read_lines(path: Path) -> Iterator[bytes]:
    """Yield the lines of a file.

    Raises
    ------
    EventFileInvalid
        If it cannot be read.
    """
    try:
        with path.open("rb") as stream:
            yield from stream
    except OSError as error:
        raise EventFileInvalid(path, error.strerror or "not readable") from None


def parse_record(value: Any) -> Record | None:
    """Return the record of a decoded line, or None if it is not a numbered event."""
    try:
        process = Process(str(value["vm"]), str(value["incarnation"]))
        return Record(
            process,
            int(value["event"]),
            str(value["message_type"]),
            float(value["wall_s"]),
            float(value["monotonic_s"]),
            {key: item for key, item in value.items() if key not in FIXED_FIELDS},
        )
    except (KeyError, TypeError, ValueError):
        return None


def read_records(paths: Iterable[Path]) -> ReadResult:
    """Read event files, and count other lines, such as a truncated last line."""
    decoder = Decoder()
    records, skipped = [], 0
    for path in paths:
        for line in read_lines(path):
            try:
                # A log collector may have put a prefix before the event.
                record = parse_record(decoder.decode(line[line.find(b"{") :]))
            except (DecodeError, UnicodeDecodeError, RecursionError):
                record = None
            if record is None:
                skipped += 1
            else:
                records.append(record)
    return ReadResult(records, skipped)
