"""Holds back requests that a caller sends before an earlier one has been answered."""

from asyncio import StreamReader
from collections.abc import Awaitable, Callable
from functools import partial
from typing import Any

from hypercorn.asyncio.worker_context import EventWrapper


class NextRequestGate(EventWrapper):
    """Lets the next request of a connection pass once the one before is answered.

    hypercorn 0.18 reads nothing from a connection while it waits for that, so that it
    would notice only afterwards that the caller has left.

    Parameters
    ----------
    leave
        Handles the end of the caller's stream.

    Attributes
    ----------
    is_waiting
        Whether a request is held back.
    has_ended
        Whether the caller's stream has ended.
    """

    def __init__(self, leave: Callable[[], Awaitable[None]]) -> None:
        super().__init__()
        self.leave = leave
        self.is_waiting = self.has_ended = False

    async def wait(self) -> None:
        """Wait until the next request may pass."""
        self.is_waiting = True
        try:
            if self.has_ended:
                await self.leave()
            await super().wait()
        finally:
            self.is_waiting = False


def watch_end(reader: StreamReader, report_end: Callable[[], None]) -> None:
    """Call a function when a stream ends or fails, whether or not it is read.

    asyncio tells only the task that reads a stream.
    """

    def end(record: Callable[..., None], *arguments: Any) -> None:
        record(*arguments)
        report_end()

    reader.feed_eof = partial(end, reader.feed_eof)  # type: ignore[method-assign]
    reader.set_exception = partial(  # type: ignore[method-assign]
        end, reader.set_exception
    )
