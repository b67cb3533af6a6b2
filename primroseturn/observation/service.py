"""Kernel service that emits events."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
import sys

from eliot import add_destinations, FileDestination, remove_destination

from primroseturn.kernel.kernel import Kernel
from primroseturn.kernel.registry import service
from primroseturn.observation.events import EventLog


@service("events", needs=("settings",))
@asynccontextmanager
async def provide_events(kernel: Kernel) -> AsyncIterator[EventLog]:
    """Write events as JSON lines to the file of the settings or standard error."""
    settings = kernel.find("settings")
    path = settings.logs.events_file
    stream = open(path, "ab", buffering=0) if path else sys.stderr.buffer
    destination = FileDestination(file=stream)
    add_destinations(destination)
    try:
        yield EventLog(settings.identity.vm)
    finally:
        remove_destination(destination)
        if path:
            stream.close()
