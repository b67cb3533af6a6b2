"""Kernel service that emits events."""

import sys
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager
from typing import BinaryIO

from eliot import add_destinations, FileDestination, remove_destination

from primroseturn.kernel.kernel import Kernel
from primroseturn.kernel.registry import service
from primroseturn.observation.events import EventLog


@contextmanager
def open_stream(path: str | None) -> Iterator[BinaryIO]:
    """Yield the unbuffered events file, or standard error without a path."""
    if path is None:
        yield sys.stderr.buffer
        return
    with open(path, "ab", buffering=0) as stream:
        yield stream


@service("events", needs=("settings",))
@asynccontextmanager
async def provide_events(kernel: Kernel) -> AsyncIterator[EventLog]:
    """Write events as JSON lines to the file of the settings or standard error."""
    settings = kernel.find("settings")
    with open_stream(settings.logs.events_file) as stream:
        destination = FileDestination(file=stream)
        add_destinations(destination)
        try:
            yield EventLog(settings.identity.vm)
        finally:
            remove_destination(destination)
