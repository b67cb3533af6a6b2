"""The body of a caller's request, which is buffered for retries while it is small."""

from collections.abc import AsyncIterator
from math import inf
from typing import Any

from anyio import Event, fail_after
from httpx import AsyncByteStream

from primroseturn.failures import Failure, Refusal
from primroseturn.requestpath.refusals import RequestRefused

MAX_BUFFERED_BODY_BYTES = 65_536
CALLER_PROGRESS_TIMEOUT_S = 30.0
MAX_DISCARDED_BYTES = 1_048_576
DISCARD_TIMEOUT_S = 0.5


class BodyTooLarge(Failure):
    """A body exceeds the limit of the configuration."""

    code = "body-too-large"


def body_too_large(limit_bytes: float) -> RequestRefused:
    """Return the refusal of a request whose body exceeds a limit."""
    detail = f"the body exceeds {limit_bytes:.0f} bytes"
    return RequestRefused(Refusal(BodyTooLarge.code, 413, detail))


class CallerGone(Failure):
    """The caller closed its connection."""

    code = "caller-gone"

    def __init__(self) -> None:
        super().__init__("the caller closed its connection")


class RequestBody(AsyncByteStream):
    """Reads the body from the caller.

    Attributes
    ----------
    is_present
        Whether the request has a body.
    buffered
        Start of the body, which is kept for another attempt.
    complete
        Set when the caller has sent the whole body.
    is_resendable
        Whether the body can be sent in another attempt.
    limit_bytes
        Longest body that is read.
    received_bytes
        Bytes of the body that were read.
    """

    def __init__(self, receive: Any, is_present: bool) -> None:
        self.receive = receive
        self.is_present = is_present
        self.buffered = b""
        self.complete = Event()
        self.is_resendable = True
        self.limit_bytes = inf
        self.received_bytes = 0
        if not is_present:
            self.complete.set()

    def is_fully_buffered(self) -> bool:
        """Return whether the whole body is buffered for another attempt."""
        return self.is_resendable and self.complete.is_set()

    async def preload(self) -> None:
        """Buffer the start of the body, so that a slow caller occupies no slot."""
        parts = [self.buffered]
        length = len(self.buffered)
        while length < MAX_BUFFERED_BODY_BYTES and not self.complete.is_set():
            parts.append(await self.receive_part())
            length += len(parts[-1])
        self.buffered = b"".join(parts)

    async def receive_part(self) -> bytes:
        """Return the next part of the body from the caller.

        Raises
        ------
        RequestRefused
            If no part arrives within `CALLER_PROGRESS_TIMEOUT_S`, or the body exceeds
            `limit_bytes`.
        CallerGone
            If the caller closed its connection.
        """
        try:
            with fail_after(CALLER_PROGRESS_TIMEOUT_S):
                event = await self.receive()
        except TimeoutError as error:
            detail = "the request body made no progress"
            raise RequestRefused(Refusal("body-stalled", 408, detail)) from error
        if event["type"] == "http.disconnect":
            raise CallerGone
        if not event.get("more_body", False):
            self.complete.set()
        part = event.get("body", b"")
        self.received_bytes += len(part)
        if self.received_bytes > self.limit_bytes:
            raise body_too_large(self.limit_bytes)
        return part

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Yield the body from its start."""
        if self.buffered:
            yield self.buffered
        while not self.complete.is_set():
            self.is_resendable = False
            part = await self.receive_part()
            if part:
                yield part

    async def discard_remainder(self) -> None:
        """Read the remainder, so that a caller still sending receives the refusal."""
        self.is_resendable = False
        length = 0
        try:
            with fail_after(DISCARD_TIMEOUT_S):
                while not self.complete.is_set() and length < MAX_DISCARDED_BYTES:
                    length += len(await self.receive_part())
        except (TimeoutError, CallerGone, RequestRefused):
            return
