"""Passes answers on to callers, whole or visibly broken."""

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

# A short answer is read whole before the caller sees its start, so that a cut can
# still be hidden by a retry.
WHOLE_ANSWER_LIMIT_BYTES = 65_536
CONTENT_RANGE = re.compile(rb"bytes (\d{1,18})-(\d{1,18})/(\d{1,18})")


class Extent:
    """The part of a representation that the caller receives.

    Attributes
    ----------
    etag
        Strong entity tag of the representation.
    first, last, total
        Byte positions as in Content-Range.
    received
        Bytes that were passed on to the caller.
    """

    def __init__(self, etag: bytes, first: int, last: int, total: int) -> None:
        self.etag = etag
        self.first = first
        self.last = last
        self.total = total
        self.received = 0

    def resume_headers(self) -> HeaderList:
        """Return the headers that ask for the missing rest."""
        first = self.first + self.received
        wanted = f"bytes={first}-{self.last}".encode()
        return [(b"range", wanted), (b"if-range", self.etag)]

    def is_continued_by(self, exchange: Exchange) -> bool:
        """Return whether an answer starts exactly where the last one ended."""
        wanted = (self.first + self.received, self.last, self.total)
        return (
            exchange.status == 206
            and values_of(exchange.headers, b"etag") == [self.etag]
            and content_range(exchange) == wanted
            and exchange.length in (None, wanted[1] - wanted[0] + 1)
        )


def content_range(exchange: Exchange) -> tuple[int, int, int] | None:
    """Return first and last byte and total length of a partial answer."""
    values = values_of(exchange.headers, b"content-range")
    match = CONTENT_RANGE.fullmatch(values[0]) if len(values) == 1 else None
    if match is None:
        return None
    first, last, total = (int(item) for item in match.groups())
    return first, last, total


def extent_of(context: RequestContext, exchange: Exchange) -> Extent | None:
    """Return what the answer covers, or None if it cannot be resumed."""
    etags = values_of(exchange.headers, b"etag")
    resumable = (
        context.route.download
        and context.route.repeatable
        and context.method == "GET"
        and len(etags) == 1
        and etags[0].startswith(b'"')
    )
    length = exchange.length
    if not resumable or not length:
        return None
    if exchange.status == 200:
        return Extent(etags[0], 0, length - 1, length)
    covered = content_range(exchange) if exchange.status == 206 else None
    if covered is None or covered[1] - covered[0] + 1 != length:
        return None
    return Extent(etags[0], *covered)


async def read_whole(exchange: Exchange) -> bytes:
    """Return the whole body of a short answer."""
    body = b"".join([part async for part in exchange.parts()])
    exchange.conclude()
    return body


async def send_whole(context: RequestContext, exchange: Exchange, body: bytes) -> None:
    """Send a body that was read whole, with its length."""
    headers = forwarded_response_headers(exchange.headers)
    if exchange.may_have_body() and exchange.length is None:
        headers.append((CONTENT_LENGTH, str(len(body)).encode()))
    await context.send_whole(exchange.status, headers, body)


async def deliver(context: RequestContext, exchange: Exchange) -> Extent | None:
    """Pass an answer on to the caller.

    Returns
    -------
    Extent
        What was passed on, if the rest could be fetched later.

    Raises
    ------
    AttemptFailed
        If the answer is cut or stalls. The caller may have its start by then.
    """
    length = exchange.length
    if length is not None and length <= WHOLE_ANSWER_LIMIT_BYTES:
        await send_whole(context, exchange, await read_whole(exchange))
        return None
    extent = extent_of(context, exchange)
    headers = forwarded_response_headers(exchange.headers)
    await context.start_answer(exchange.status, headers)
    try:
        await pass_parts(context, exchange.parts(), extent)
    except AttemptFailed:
        if extent is None:
            raise
        return extent
    exchange.conclude()
    await context.end_answer()
    return None


async def pass_parts(
    context: RequestContext, parts: AsyncIterator[bytes], extent: Extent | None
) -> None:
    """Send the parts of a body to the caller and count them."""
    async for part in parts:
        await context.send_part(part)
        if extent is not None:
            extent.received += len(part)


async def deliver_rest(
    context: RequestContext, exchange: Exchange, extent: Extent
) -> None:
    """Pass the rest of a resumed answer on to the caller.

    Raises
    ------
    AttemptFailed
        If the answer does not continue the first one or is cut again.
    """
    if not extent.is_continued_by(exchange):
        exchange.outcome = Outcome.OK if exchange.status < 500 else Outcome.ERROR
        raise AttemptFailed(exchange.outcome, "the rest has changed", True, False)
    await pass_parts(context, exchange.parts(), extent)
    if extent.received != extent.last - extent.first + 1:
        exchange.outcome = Outcome.CUT
        raise AttemptFailed(Outcome.CUT, "the rest is too short", True, False)
    exchange.conclude()
    await context.end_answer()
