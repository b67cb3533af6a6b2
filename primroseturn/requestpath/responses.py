"""Forwards responses to callers, complete or detectably broken."""

import re
from collections.abc import AsyncIterator

from primroseturn.detection.observations import Outcome
from primroseturn.requestpath.context import RequestContext
from primroseturn.requestpath.exchange import AttemptFailed, Exchange
from primroseturn.requestpath.headers import (
    CONTENT_LENGTH,
    forwarded_response_headers,
    HeaderList,
    values_of,
)

# A response up to this size is read whole before its start is sent to the caller, so
# that a retry can still replace one that is cut off.
MAX_WHOLE_RESPONSE_BYTES = 65_536
CONTENT_RANGE = re.compile(rb"bytes (\d{1,18})-(\d{1,18})/(\d{1,18})")


class Extent:
    """The byte range of a download that the caller receives.

    Attributes
    ----------
    etag
        Strong entity tag of the representation.
    first, last, total
        Byte positions as in Content-Range.
    forwarded_bytes
        Number of bytes that were forwarded to the caller.
    """

    def __init__(self, etag: bytes, first: int, last: int, total: int) -> None:
        self.etag = etag
        self.first = first
        self.last = last
        self.total = total
        self.forwarded_bytes = 0

    def resume_headers(self) -> HeaderList:
        """Return the headers of a request for the bytes that are still missing."""
        first = self.first + self.forwarded_bytes
        byte_range = f"bytes={first}-{self.last}".encode()
        return [(b"range", byte_range), (b"if-range", self.etag)]

    def is_continued_by(self, exchange: Exchange) -> bool:
        """Return whether a response covers exactly the bytes still missing."""
        expected = (self.first + self.forwarded_bytes, self.last, self.total)
        return (
            exchange.status == 206
            and values_of(exchange.headers, b"etag") == [self.etag]
            and content_range(exchange) == expected
            and exchange.length in (None, expected[1] - expected[0] + 1)
        )


def content_range(exchange: Exchange) -> tuple[int, int, int] | None:
    """Return the first byte, last byte and total length of a partial response.

    Returns
    -------
    tuple
        None if the response has no single valid Content-Range.
    """
    values = values_of(exchange.headers, b"content-range")
    match = CONTENT_RANGE.fullmatch(values[0]) if len(values) == 1 else None
    if match is None:
        return None
    first, last, total = (int(group) for group in match.groups())
    return first, last, total


def extent_of(context: RequestContext, exchange: Exchange) -> Extent | None:
    """Return the bytes that a response covers, or None if it cannot be resumed."""
    etags = values_of(exchange.headers, b"etag")
    is_resumable = (
        context.route.download
        and context.route.repeatable
        and context.method == "GET"
        and len(etags) == 1
        and etags[0].startswith(b'"')
    )
    length = exchange.length
    if not is_resumable or not length:
        return None
    if exchange.status == 200:
        return Extent(etags[0], 0, length - 1, length)
    covered = content_range(exchange) if exchange.status == 206 else None
    if covered is None or covered[1] - covered[0] + 1 != length:
        return None
    return Extent(etags[0], *covered)


async def read_whole_body(exchange: Exchange) -> bytes:
    """Return the whole body of a short response."""
    body = b"".join([part async for part in exchange.body_parts()])
    exchange.record_completion()
    return body


async def forward_whole(
    context: RequestContext, exchange: Exchange, body: bytes
) -> None:
    """Send a response whose body was read whole, with its length."""
    headers = forwarded_response_headers(exchange.headers)
    if exchange.may_have_body() and exchange.length is None:
        headers.append((CONTENT_LENGTH, str(len(body)).encode()))
    await context.send_whole_response(exchange.status, headers, body)


async def deliver(context: RequestContext, exchange: Exchange) -> Extent | None:
    """Forward a response to the caller.

    Returns
    -------
    Extent
        The bytes to forward and those forwarded so far, if the response was cut off and
        can be resumed; None if the response is complete.

    Raises
    ------
    AttemptFailed
        If the response is cut off or stalls. Its start may have been sent by then.
    """
    length = exchange.length
    if length is not None and length <= MAX_WHOLE_RESPONSE_BYTES:
        await forward_whole(context, exchange, await read_whole_body(exchange))
        return None
    extent = extent_of(context, exchange)
    headers = forwarded_response_headers(exchange.headers)
    await context.start_response(exchange.status, headers)
    try:
        await forward_parts(context, exchange.body_parts(), extent)
    except AttemptFailed:
        if extent is None:
            raise
        return extent
    exchange.record_completion()
    await context.end_response()
    return None


async def forward_parts(
    context: RequestContext, parts: AsyncIterator[bytes], extent: Extent | None
) -> None:
    """Send the parts of a body to the caller and count their bytes."""
    async for part in parts:
        await context.send_part(part)
        if extent is not None:
            extent.forwarded_bytes += len(part)


async def deliver_remainder(
    context: RequestContext, exchange: Exchange, extent: Extent
) -> None:
    """Forward the remainder of a resumed response to the caller.

    Raises
    ------
    AttemptFailed
        If the response does not continue the first one or is cut off again.
    """
    if not extent.is_continued_by(exchange):
        exchange.outcome = Outcome.OK if exchange.status < 500 else Outcome.ERROR
        raise AttemptFailed(
            exchange.outcome,
            "the response does not continue the first one",
            True,
            False,
        )
    await forward_parts(context, exchange.body_parts(), extent)
    if extent.forwarded_bytes != extent.last - extent.first + 1:
        exchange.outcome = Outcome.CUT
        raise AttemptFailed(Outcome.CUT, "the remainder is too short", True, False)
    exchange.record_completion()
    await context.end_response()
