"""Clock interface of limits and claims, so that tests can drift or pause a clock."""

from time import CLOCK_BOOTTIME, clock_gettime
from typing import Protocol

from anyio import current_time, Event, move_on_after, sleep

# Factor on durations that covers two clocks which each run at most 0.9% fast or slow.
CLOCK_MARGIN = 1.02


class Clock(Protocol):
    """Monotonic time of one VM in seconds."""

    def now(self) -> float:
        """Return the monotonic time."""

    async def sleep(self, delay_s: float) -> None:
        """Wait for `delay_s` seconds."""

    async def wait(self, event: Event, limit_s: float) -> bool:
        """Wait for an event and return whether it was set within `limit_s` seconds."""


class MonotonicClock:
    """The clock of the event loop."""

    def now(self) -> float:
        """Return the monotonic time."""
        return current_time()

    async def sleep(self, delay_s: float) -> None:
        """Wait for `delay_s` seconds."""
        await sleep(delay_s)

    async def wait(self, event: Event, limit_s: float) -> bool:
        """Wait for an event and return whether it was set within `limit_s` seconds."""
        with move_on_after(max(0.0, limit_s)):
            await event.wait()
        return event.is_set()


def time_since_boot() -> float:
    """Return a monotonic time in seconds that advances while the VM is suspended."""
    return clock_gettime(CLOCK_BOOTTIME)
