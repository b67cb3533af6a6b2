"""Writes what was sent, answered and run, one JSON line each, with the time."""

import json
import time
from pathlib import Path


class Record:
    """Appends events to a file; times are seconds from the start of the record."""

    def __init__(self, path: Path) -> None:
        self.started_at = time.monotonic()
        self.file = path.open("w")

    def now(self) -> float:
        return time.monotonic() - self.started_at

    def add(self, event: str, **fields) -> None:
        line = {"t": round(self.now(), 3), "event": event, **fields}
        self.file.write(json.dumps(line) + "\n")
        self.file.flush()
