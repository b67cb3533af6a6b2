"""The caller's request body: kept for a repeat while it is small."""

from collections.abc import AsyncIterator
from typing import Any

from anyio import Event, fail_after
from httpx import AsyncByteStream

from primroseturn.failures import Failure, Refusal
from primroseturn.requestpath.refusals import RequestRefused

KEPT_BODY_LIMIT_BYTES = 65_536
CALLER_PROGRESS_LIMIT_S = 30.0
DRAIN_LIMIT_BYTES = 1_048_576
DRAIN_LIMIT_S = 0.5


class CallerGone(Failure):
    """The caller closed its connection."""

    code = "caller-gone"

    def __init__(self) -> None:
        super().__init__("the caller closed its connection")


class RequestBody(AsyncByteStream):
    """Reads the body from the caller.

    Attributes
    ----------
    buffered
        Start of the body; the whole body while `repeatable`.
    complete
        Set when the caller has sent everything.
    repeatable
        Whether the body can be sent once more.
    """

    def __init__(self, receive: Any, present: bool) -> None:
        self.receive = receive
        self.present = present
        self.buffered = b""
        self.complete = Event()
        self.repeatable = True
        if not present:
            self.complete.set()

    def is_fully_buffered(self) -> bool:
        """Return whether the whole body is kept."""
        return self.repeatable and self.complete.is_set()

    async def preload(self) -> None:
        """Read the start of the body, so that a slow caller holds no slot."""
        parts = [self.buffered]
        length = len(self.buffered)
        while length < KEPT_BODY_LIMIT_BYTES and not self.complete.is_set():
            parts.append(await self.pull())
            length += len(parts[-1])
        self.buffered = b"".join(parts)

    async def pull(self) -> bytes:
        """Return the next part from the caller."""
        try:
            with fail_after(CALLER_PROGRESS_LIMIT_S):
                event = await self.receive()
        except TimeoutError as error:
            detail = "the request body made no progress"
            raise RequestRefused(Refusal("body-stalled", 408, detail)) from error
        if event["type"] == "http.disconnect":
            raise CallerGone
        if not event.get("more_body", False):
            self.complete.set()
        return event.get("body", b"")

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Yield the body from its start."""
        if self.buffered:
            yield self.buffered
        while not self.complete.is_set():
            self.repeatable = False
            part = await self.pull()
            if part:
                yield part

    async def drain(self) -> None:
        """Read what is left, so that a refusal reaches a caller that still sends."""
        self.repeatable = False
        length = 0
        try:
            with fail_after(DRAIN_LIMIT_S):
                while not self.complete.is_set() and length < DRAIN_LIMIT_BYTES:
                    length += len(await self.pull())
        except (TimeoutError, CallerGone, RequestRefused):
            return
