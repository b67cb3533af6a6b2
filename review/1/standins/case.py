"""Runs a case: a record, a folder for settings and logs, and a bounded time."""

import asyncio
import os
import sys
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from tempfile import TemporaryDirectory
from time import monotonic

from standins.entries import Entry, free_ports, Reply
from standins.store import Store
from standins.target import Arrival

LIMIT_S = 115.0
HELD, BROKEN, NOT_RUN = 0, 1, 2


class Case:
    """A running case.

    Attributes
    ----------
    has_trouble
        Whether the disruption takes place.
    """

    def __init__(self, folder: Path, temporary: Path) -> None:
        self.temporary = temporary
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.started_at = monotonic()
        self.record = (folder / "record.txt").open("w")
        self.store = Store()
        self.entries: list[Entry] = []

    def note(self, text: str, at: float | None = None) -> None:
        """Write a line to the record, with seconds since the start of the case."""
        seconds = (monotonic() if at is None else at) - self.started_at
        self.record.write(f"{seconds:9.3f} {text}\n")

    def add_entries(self, zones: dict[str, int]) -> None:
        """Prepare entry processes: a number of them for each zone."""
        total = sum(zones.values())
        # Cases that run at the same time use different addresses.
        process = os.getpid()
        net = f"127.{16 + process % 200}.{process // 200 % 250}"
        ips = [f"{net}.{number}" for number in range(1, total + 1)]
        ports = free_ports(ips, 4)
        numbered = iter(ips)
        for zone, number in zones.items():
            for index in range(1, number + 1):
                self.entries.append(
                    Entry(
                        f"edge-{zone}-{index}",
                        next(numbered),
                        zone,
                        list(zones),
                        ports,
                        self.store.address,
                        self.temporary,
                    )
                )

    async def start_entries(self) -> None:
        """Start all entry processes and wait until they are ready."""
        for entry in self.entries:
            await entry.start()
        ready = await asyncio.gather(*(entry.wait_ready() for entry in self.entries))
        if not all(ready):
            raise RuntimeError("an entry process did not get ready")
        self.note(f"{len(self.entries)} entry processes are ready")


def write_requests(case: Case, arrivals: list[Arrival], replies: list[Reply]) -> None:
    """Write to the record what was sent, answered and run, a line for each."""
    lines = []
    for reply in replies:
        sent = f"sent {reply.attempt} to {reply.entry}"
        lines.append((reply.sent_at, sent))
        lines.append((reply.answered_at, f"answered {reply.attempt} {reply.status}"))
    for item in arrivals:
        verb = "run" if item.ran else "not run"
        lines.append((item.at, f"{verb} {item.attempt} at {item.target}"))
    for at, text in sorted(lines):
        case.note(text, at)


async def run_case(
    body: Callable[[Case], Awaitable[bool]], folder: Path, temporary: Path
) -> int:
    """Run a case and return the exit code."""
    case = Case(folder, temporary)
    try:
        broken = await asyncio.wait_for(body(case), LIMIT_S)
        code = BROKEN if broken else HELD
    except Exception:
        case.note("the case could not run:\n" + traceback.format_exc())
        code = NOT_RUN
    finally:
        for entry in case.entries:
            await entry.end()
            if os.environ.get("KEEP_LOGS") and entry.log.exists():
                target = Path(os.environ["KEEP_LOGS"]) / entry.log.name
                target.write_bytes(entry.log.read_bytes())
    case.note(f"exit code {code}")
    case.record.close()
    return code


def main(body: Callable[[Case], Awaitable[bool]], file: str) -> None:
    """Run a case and exit with its code."""
    folder = Path(file).resolve().parent
    with TemporaryDirectory() as temporary:
        code = asyncio.run(run_case(body, folder, Path(temporary)))
    print((folder / "record.txt").read_text()[-2000:])
    sys.exit(code)
