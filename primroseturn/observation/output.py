"""Writes log lines without blocking on a slow reader."""

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

# Lines buffered for a slow reader; above this number the oldest are dropped.
MAX_WAITING_LINES = 2_000
# Seconds before another attempt to write to a full pipe.
RETRY_INTERVAL_S = 0.05
# Size of one write in bytes; its last line may exceed it.
BATCH_BYTES = 65_536

LINES = Counter("primroseturn_log_lines_total", "Log lines written.")
DROPPED = Counter(
    "primroseturn_log_lines_dropped_total",
    "Log lines that a slow reader lost.",
)


class LogWriter:
    """Buffers log lines until the file descriptor accepts them.

    Attributes
    ----------
    lines
        Encoded lines that no write has started on, the oldest first.
    unwritten
        Bytes of the current batch that are still to be written.
    lines_added
        Set when a line is added to the buffer.
    """

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.lines: deque[bytes] = deque()
        self.unwritten = b""
        self.lines_added = Event()

    def __call__(self, message: dict[str, Any]) -> None:
        """Add a message of eliot to the buffer."""
        if len(self.lines) >= MAX_WAITING_LINES:
            self.lines.popleft()
            DROPPED.inc()
        self.lines.append(encode(message, enc_hook=str) + b"\n")
        self.lines_added.set()

    def write_pending(self) -> bool:
        """Write until the descriptor would block; return whether all was written."""
        while self.unwritten or self.lines:
            if not self.unwritten:
                self.unwritten = self.next_batch()
            try:
                written = os.write(self.descriptor, self.unwritten)
            except BlockingIOError:
                return False
            except OSError:
                # No line can be written, for example because the reader has closed its
                # end, so the error cannot be logged either.
                DROPPED.inc(self.unwritten.count(b"\n"))
                self.unwritten = b""
                continue
            self.unwritten = self.unwritten[written:]
        return True

    def next_batch(self) -> bytes:
        """Remove and return buffered lines for one write."""
        batch: list[bytes] = []
        size = 0
        while self.lines and size < BATCH_BYTES:
            batch.append(self.lines.popleft())
            size += len(batch[-1])
        LINES.inc(len(batch))
        return b"".join(batch)

    async def write_forever(self) -> None:
        """Write lines as they are added."""
        while True:
            # Writes before it waits, because lines may be left after an error.
            self.lines_added = Event()
            while not self.write_pending():
                await sleep(RETRY_INTERVAL_S)
            await self.lines_added.wait()


@asynccontextmanager
async def write_logs(descriptor: int, events: EventLog) -> AsyncIterator[LogWriter]:
    """Write eliot's messages to a descriptor during the context.

    Parameters
    ----------
    descriptor
        File descriptor; it is made non-blocking.
    events
        Event log of the process. An error of the writer is logged there too; its
        line stays in the buffer until the writer has been restarted.
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
