"""Answers without end, as a target in trouble sends them."""

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
# Time in seconds between the parts of a slow answer.
SLOW_GAP_S = 0.05

Head = Callable[[str], bytes]


class Endless(NamedTuple):
    """An answer that starts once and goes on until its reader closes.

    Attributes
    ----------
    start
        Returns the first bytes for the id of an attempt.
    ran
        Whether the request ran.
    """

    start: Head
    part: bytes
    ran: bool = True

    def block(self) -> bytes:
        """Return parts that fill a write of a fast answer."""
        return self.part * max(1, BLOCK_BYTES // len(self.part))


def lines(status: int, *fields: str) -> Head:
    """Return a function that writes a head with the id and the signature."""

    def write(attempt: str) -> bytes:
        good = (f"attempt-id: {attempt}", f"response-signature: s-{attempt}")
        return "\r\n".join((f"HTTP/1.1 {status} -", *good, *fields, "")).encode()

    return write


def head(status: int, *fields: str, body: bytes = b"") -> Head:
    """Return a function that writes a whole head and the start of a body."""
    write = lines(status, *fields)
    return lambda attempt: write(attempt) + b"\r\n" + body


def plain(data: bytes) -> Head:
    """Return a function that writes the same bytes for each attempt."""
    return lambda attempt: data


CHUNKED = "transfer-encoding: chunked"
TINY = b"2\r\nzz\r\n"
CHUNK = b"400\r\n" + 1024 * b"z" + b"\r\n"
FOREIGN = b"HTTP/1.1 200 -\r\nattempt-id: another\r\nresponse-signature: s-x\r\n"
ENDLESS_RESPONSES = {
    "line": Endless(lambda attempt: lines(200)(attempt) + b"x: ", b"aa"),
    "lines": Endless(lines(200), b"x: a\r\n"),
    "informational": Endless(plain(b""), b"HTTP/1.1 102 Processing\r\n\r\n"),
    "noise": Endless(plain(b""), b"zz"),
    "noise-lines": Endless(plain(b""), b"zz\r\n"),
    "empty-lines": Endless(plain(b""), b"\r\n"),
    "digits": Endless(lambda attempt: lines(200)(attempt) + b"content-length: ", b"9"),
    "chunks": Endless(head(200, CHUNKED), CHUNK),
    "tiny-chunks": Endless(head(200, CHUNKED), TINY),
    "extension": Endless(head(200, CHUNKED, body=b"2;"), b"aa"),
    "trailers": Endless(head(200, CHUNKED, body=TINY + b"0\r\n"), b"x: a\r\n"),
    "unframed": Endless(head(200), b"zz"),
    "terabytes": Endless(head(200, "content-length: 5000000000000"), b"zz"),
    "error": Endless(head(500, CHUNKED), CHUNK),
    "foreign": Endless(plain(FOREIGN + CHUNKED.encode() + b"\r\n\r\n"), TINY),
    "foreigners": Endless(plain(b""), FOREIGN + b"content-length: 2\r\n\r\nzz"),
    "after": Endless(head(200, "content-length: 2", body=b"ok"), b"zz"),
    "full": Endless(head(503, "not-executed: 1", CHUNKED), TINY, ran=False),
    "moved": Endless(head(421, "not-executed: 1", CHUNKED), TINY, ran=False),
}


class EndlessSender:
    """Sends answers without end.

    Attributes
    ----------
    open_count
        Number of answers that are being sent.
    sent_bytes
        Bytes that were sent after their starts.
    """

    def __init__(self) -> None:
        self.open_count = self.sent_bytes = 0

    async def send(self, stream: ByteSendStream, mode: str, attempt: str) -> None:
        """Send an answer, fast or slow, until the other side closes."""
        kind, _, pace = mode.partition(" ")
        answer = ENDLESS_RESPONSES[kind]
        part = answer.part if pace == "slow" else answer.block()
        self.open_count += 1
        try:
            await stream.send(answer.start(attempt))
            while True:
                await stream.send(part)
                self.sent_bytes += len(part)
                if pace == "slow":
                    await sleep(SLOW_GAP_S)
        finally:
            self.open_count -= 1


class EndlessServer(NamedTuple):
    """A server whose answers don't end."""

    port: int
    sender: EndlessSender


@asynccontextmanager
async def run_endless(mode: str) -> AsyncIterator[EndlessServer]:
    """Serve answers without end on loopback for the life of the context."""
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
