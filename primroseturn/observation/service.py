"""Kernel service that emits events."""

import os
import sys
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager

from primroseturn.kernel.kernel import Kernel
from primroseturn.kernel.registry import service
from primroseturn.observation.catalogue import PROCESS_CRASHED
from primroseturn.observation.errors import describe_error
from primroseturn.observation.events import EventLog
from primroseturn.observation.output import write_logs
from primroseturn.observation.volume import LogLimiter, MAX_SERVED_LINES_PER_S
from primroseturn.settings.models import LogSettings

EVENTS_FILE_MODE = 0o644
# Number of the event that an entry VM emits for each served request.
REQUEST_SERVED = 1110


@contextmanager
def open_descriptor(settings: LogSettings) -> Iterator[int]:
    """Yield the file descriptor of the events file or of a standard stream."""
    if settings.events_file is None:
        stream = sys.stdout if settings.standard_output else sys.stderr
        yield stream.fileno()
        return
    flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
    descriptor = os.open(settings.events_file, flags, EVENTS_FILE_MODE)
    try:
        yield descriptor
    finally:
        os.close(descriptor)


@contextmanager
def report_crash(events: EventLog) -> Iterator[None]:
    """Log each error that ends the process, with its innermost calls."""
    try:
        yield
    except Exception as error:
        for description in describe_error(error):
            events.emit(PROCESS_CRASHED, **description._asdict())
        raise


@service("events", needs=("settings",))
@asynccontextmanager
async def provide_events(kernel: Kernel) -> AsyncIterator[EventLog]:
    """Write events as JSON lines to the configured file or a standard stream."""
    settings = kernel.find("settings")
    log_limiter = LogLimiter({REQUEST_SERVED: MAX_SERVED_LINES_PER_S})
    with open_descriptor(settings.logs) as descriptor:
        events = EventLog(settings.identity.vm, log_limiter=log_limiter)
        async with write_logs(descriptor, events):
            with report_crash(events):
                yield events
