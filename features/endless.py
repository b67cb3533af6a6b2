"""Endless responses, as a broken target sends them."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import NamedTuple

from anyio import (
    BrokenResourceError,
    ClosedResourceError,
    create_task_group,
    create_tcp_listener,
    sleep,
)
from anyio.abc import ByteSendStream, SocketAttribute, SocketStream

BLOCK_BYTES = 65_536
# Seconds between the parts of a slow response.
SLOW_GAP_S = 0.05

StartBuilder = Callable[[str], bytes]


class EndlessResponse(NamedTuple):
    """A response with a start and parts that are sent until the reader closes.

    Attributes
    ----------
    start
        Returns the first bytes for the id of an attempt.
    part
        Bytes that are sent again and again after the start.
    ran
        Whether the target ran the request.
    """

    start: StartBuilder
    part: bytes
    ran: bool = True

    def block(self) -> bytes:
        """Return the parts of one write of a fast response."""
        return self.part * max(1, BLOCK_BYTES // len(self.part))


def unfinished_head(status: int, *fields: str) -> StartBuilder:
    """Return a function that builds an unfinished head with id and signature."""

    def build_head(attempt: str) -> bytes:
        signed = (f"attempt-id: {attempt}", f"response-signature: s-{attempt}")
        return "\r\n".join((f"HTTP/1.1 {status} -", *signed, *fields, "")).encode()

    return build_head


def whole_head(status: int, *fields: str, body: bytes = b"") -> StartBuilder:
    """Return a function that builds a whole head and the start of a body."""
    build_head = unfinished_head(status, *fields)
    return lambda attempt: build_head(attempt) + b"\r\n" + body


def fixed_bytes(data: bytes) -> StartBuilder:
    """Return a function that builds the same bytes for each attempt."""
    return lambda attempt: data


CHUNKED = "transfer-encoding: chunked"
TINY_CHUNK = b"2\r\nzz\r\n"
CHUNK = b"400\r\n" + 1024 * b"z" + b"\r\n"
FOREIGN_HEAD_LINES = (
    b"HTTP/1.1 200 -\r\nattempt-id: another\r\nresponse-signature: s-x\r\n"
)
ENDLESS_RESPONSES = {
    "line": EndlessResponse(
        lambda attempt: unfinished_head(200)(attempt) + b"x: ", b"aa"
    ),
    "lines": EndlessResponse(unfinished_head(200), b"x: a\r\n"),
    "informational": EndlessResponse(
        fixed_bytes(b""), b"HTTP/1.1 102 Processing\r\n\r\n"
    ),
    "noise": EndlessResponse(fixed_bytes(b""), b"zz"),
    "noise-lines": EndlessResponse(fixed_bytes(b""), b"zz\r\n"),
    "empty-lines": EndlessResponse(fixed_bytes(b""), b"\r\n"),
    "digits": EndlessResponse(
        lambda attempt: unfinished_head(200)(attempt) + b"content-length: ", b"9"
    ),
    "chunks": EndlessResponse(whole_head(200, CHUNKED), CHUNK),
    "tiny-chunks": EndlessResponse(whole_head(200, CHUNKED), TINY_CHUNK),
    "extension": EndlessResponse(whole_head(200, CHUNKED, body=b"2;"), b"aa"),
    "trailers": EndlessResponse(
        whole_head(200, CHUNKED, body=TINY_CHUNK + b"0\r\n"), b"x: a\r\n"
    ),
    "unframed": EndlessResponse(whole_head(200), b"zz"),
    "terabytes": EndlessResponse(
        whole_head(200, "content-length: 5000000000000"), b"zz"
    ),
    "error": EndlessResponse(whole_head(500, CHUNKED), CHUNK),
    "foreign": EndlessResponse(
        fixed_bytes(FOREIGN_HEAD_LINES + CHUNKED.encode() + b"\r\n\r\n"), TINY_CHUNK
    ),
    "foreigners": EndlessResponse(
        fixed_bytes(b""), FOREIGN_HEAD_LINES + b"content-length: 2\r\n\r\nzz"
    ),
    "after": EndlessResponse(whole_head(200, "content-length: 2", body=b"ok"), b"zz"),
    "full": EndlessResponse(
        whole_head(503, "not-executed: 1", CHUNKED), TINY_CHUNK, ran=False
    ),
    "moved": EndlessResponse(
        whole_head(421, "not-executed: 1", CHUNKED), TINY_CHUNK, ran=False
    ),
}


class EndlessSender:
    """Sends endless responses.

    Attributes
    ----------
    open_count
        Number of responses that are being sent.
    sent_bytes
        Number of bytes that were sent after the starts.
    """

    def __init__(self) -> None:
        self.open_count = self.sent_bytes = 0

    async def send(self, stream: ByteSendStream, mode: str, attempt: str) -> None:
        """Send a response until the other side closes.

        Parameters
        ----------
        mode
            Name of the response and its pace: ``fast``, ``slow`` (part by part) or
            ``paced`` (block by block).
        """
        kind, _, pace = mode.partition(" ")
        response = ENDLESS_RESPONSES[kind]
        part = response.part if pace == "slow" else response.block()
        self.open_count += 1
        try:
            await stream.send(response.start(attempt))
            while True:
                await stream.send(part)
                self.sent_bytes += len(part)
                if pace != "fast":
                    await sleep(SLOW_GAP_S)
        finally:
            self.open_count -= 1


class EndlessServer(NamedTuple):
    """A server whose responses do not end."""

    port: int
    sender: EndlessSender


@asynccontextmanager
async def run_endless(mode: str) -> AsyncIterator[EndlessServer]:
    """Serve endless responses on loopback while the context is open."""
    sender = EndlessSender()

    async def handle(stream: SocketStream) -> None:
        async with stream:
            await stream.receive()
            try:
                await sender.send(stream, mode, "-")
            except (BrokenResourceError, ClosedResourceError):
                return

    listener = await create_tcp_listener(local_host="127.0.0.1")
    async with listener, create_task_group() as tasks:
        tasks.start_soon(listener.serve, handle)
        yield EndlessServer(listener.extra(SocketAttribute.local_port), sender)
        tasks.cancel_scope.cancel()
