"""Writes log lines without ever waiting for their reader."""

import os
from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any

from anyio import Event, sleep
from eliot import add_destinations, remove_destination
from msgspec.json import encode
from prometheus_client import Counter

from primroseturn.kernel.background import run_background
from primroseturn.observation.events import EventLog

# Lines that wait for a slow reader; beyond that the oldest are dropped.
MAX_WAITING_LINES = 2_000
# Pause in seconds before a full pipe is tried again.
RETRY_S = 0.05
BATCH_BYTES = 65_536

LINES = Counter("primroseturn_log_lines_total", "Log lines written.")
DROPPED = Counter(
    "primroseturn_log_lines_dropped_total", "Log lines that a slow reader lost."
)


class LogWriter:
    """Keeps lines until the file descriptor takes them."""

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.lines: deque[bytes] = deque()
        self.unwritten = b""
        self.lines_added = Event()

    def __call__(self, message: dict[str, Any]) -> None:
        """Take in a message of eliot."""
        if len(self.lines) >= MAX_WAITING_LINES:
            self.lines.popleft()
            DROPPED.inc()
        self.lines.append(encode(message, enc_hook=str) + b"\n")
        self.lines_added.set()

    def write_pending(self) -> bool:
        """Write what the descriptor takes and return whether all was taken."""
        while self.unwritten or self.lines:
            if not self.unwritten:
                self.unwritten = self.next_batch()
            try:
                written = os.write(self.descriptor, self.unwritten)
            except BlockingIOError:
                return False
            except OSError:
                # The reader has gone, and no log line can tell.
                DROPPED.inc(self.unwritten.count(b"\n"))
                self.unwritten = b""
                continue
            self.unwritten = self.unwritten[written:]
        return True

    def next_batch(self) -> bytes:
        """Return waiting lines up to the limit of one write."""
        taken: list[bytes] = []
        size = 0
        while self.lines and size < BATCH_BYTES:
            taken.append(self.lines.popleft())
            size += len(taken[-1])
        LINES.inc(len(taken))
        return b"".join(taken)

    async def write_forever(self) -> None:
        """Write lines as they come."""
        while True:
            # Before any wait, because after an error lines are left.
            self.lines_added = Event()
            while not self.write_pending():
                await sleep(RETRY_S)
            await self.lines_added.wait()


@asynccontextmanager
async def write_logs(descriptor: int, events: EventLog) -> AsyncIterator[LogWriter]:
    """Send eliot's messages to a descriptor for the life of the context.

    Parameters
    ----------
    events
        The log of the process. A line about an error of the writer waits with the
        others until the writer has started again.
    """
    os.set_blocking(descriptor, False)
    writer = LogWriter(descriptor)
    add_destinations(writer)
    async with run_background(events) as background:
        background.keep_running(writer.write_forever)
        try:
            yield writer
        finally:
            remove_destination(writer)
            writer.write_pending()
