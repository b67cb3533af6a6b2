"""Runs the process of an entry VM until a signal asks it to stop."""

import gc
from signal import SIGHUP, SIGINT, SIGTERM

from anyio import open_signal_receiver

import primroseturn.entry.service
import primroseturn.observation.service  # noqa: F401
from primroseturn.kernel.kernel import run_kernel
from primroseturn.settings.entry import EntrySettings

# Services stop in reverse order, so that readiness answers until callers are served.
ENTRY_SERVICES = ("follower", "entry-readiness", "entry-metrics", "entry")


async def run_entry(settings: EntrySettings) -> None:
    """Serve callers until SIGTERM or SIGINT."""
    with open_signal_receiver(SIGTERM, SIGINT, SIGHUP) as signals:
        async with run_kernel(ENTRY_SERVICES, {"settings": settings}):
            # Modules and services live as long as the process.
            gc.collect()
            gc.freeze()
            async for number in signals:
                if number != SIGHUP:
                    return
