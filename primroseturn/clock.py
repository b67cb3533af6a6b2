"""The clock that protocols are given, so that tests can drift and pause it."""

from time import CLOCK_BOOTTIME, clock_gettime
from typing import Protocol

from anyio import current_time, Event, move_on_after, sleep

# Covers two clocks that each run at most 0.9% fast or slow.
CLOCK_MARGIN = 1.02


class Clock(Protocol):
    """Monotonic time of one VM in seconds."""

    def now(self) -> float:
        """Return the monotonic time."""

    async def sleep(self, delay_s: float) -> None:
        """Return after `delay_s`."""

    async def wait(self, event: Event, limit_s: float) -> bool:
        """Return whether an event came within `limit_s`."""


class MonotonicClock:
    """The clock of the event loop."""

    def now(self) -> float:
        """Return the monotonic time."""
        return current_time()

    async def sleep(self, delay_s: float) -> None:
        """Return after `delay_s`."""
        await sleep(delay_s)

    async def wait(self, event: Event, limit_s: float) -> bool:
        """Return whether an event came within `limit_s`."""
        with move_on_after(max(0.0, limit_s)):
            await event.wait()
        return event.is_set()


def time_since_boot() -> float:
    """Return a monotonic time in seconds that goes on while the VM is suspended."""
    return clock_gettime(CLOCK_BOOTTIME)
