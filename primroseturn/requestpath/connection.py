"""One HTTP/1.1 connection to a target, as an httpx transport.

httpx's own transport hides whether bytes were sent, how old a connection is and
whether unread bytes are left after an answer. The request path needs all three.
"""

import asyncio
from collections.abc import AsyncIterator, Callable
from math import inf
from ssl import SSLContext
from typing import NamedTuple

import h11
from anyio import current_time, fail_after
from anyio.lowlevel import checkpoint
from httpx import (
    AsyncBaseTransport,
    AsyncByteStream,
    ConnectError,
    ConnectTimeout,
    ReadError,
    ReadTimeout,
    RemoteProtocolError,
    Request,
    Response,
    URL,
    WriteError,
    WriteTimeout,
)

READ_BYTES = 65_536
ANSWER_HEADER_LIMIT_BYTES = 65_536
BODILESS_STATUSES = (204, 304)
# Informational answers before an answer. HTTP has three kinds, of which only 102 may
# repeat, every 20 s or so.
INFORMATIONAL_LIMIT = 16
# Start of each answer that h11 reads.
ANSWER_START = b"HTTP/1."
# Longest time in seconds that one connection holds the event loop: 20 of them together
# stay within the 4.5 ms that a VM may add to other requests (DEVELOPERS.md).
HOLD_LIMIT_S = 0.0002


class ExchangeTimeouts(NamedTuple):
    """Longest times in seconds without progress."""

    first_byte_s: float
    progress_s: float


class CountingReader(asyncio.StreamReader):
    """Counts the bytes that arrived, so that unsolicited ones are noticed."""

    def __init__(self) -> None:
        super().__init__(limit=READ_BYTES, loop=asyncio.get_running_loop())
        self.received_bytes = 0

    def feed_data(self, data: bytes) -> None:
        """Take in bytes from the transport."""
        self.received_bytes += len(data)
        super().feed_data(data)


class ResponseStream(AsyncByteStream):
    """Body of the answer that a connection receives."""

    def __init__(self, connection: "Connection", limit_s: float) -> None:
        self.connection = connection
        self.limit_s = limit_s

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Yield the parts of the body and check that it is whole."""
        while True:
            event = await self.connection.next_event(self.limit_s)
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return
            else:
                raise RemoteProtocolError("the answer's body ended unexpectedly")


class Connection(AsyncBaseTransport):
    """Carries one exchange after the other over one TCP connection.

    Attributes
    ----------
    opened_at, proven_at
        Monotonic times in seconds of the connect and of the last clean exchange.
    sent
        Whether any byte of the current request may have left this process.
    resumed_at
        Monotonic time in seconds since which it may have kept other tasks waiting.
    """

    def __init__(self, reader: CountingReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.state = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=ANSWER_HEADER_LIMIT_BYTES
        )
        self.opened_at = self.proven_at = current_time()
        self.consumed_bytes = 0
        self.sent = False
        self.note_sent: Callable[[], None] = lambda: None
        self.first_byte_at: float | None = None
        self.clock = asyncio.get_running_loop().time
        self.resumed_at = self.opened_at

    def is_usable(self) -> bool:
        """Return whether an idle connection can carry another exchange.

        Bytes that arrived while it was idle belong to no request of ours; reading
        them would hand one caller the answer of another.
        """
        return (
            self.reader.received_bytes == self.consumed_bytes
            and not self.reader.at_eof()
            and not self.writer.is_closing()
        )

    async def handle_async_request(self, request: Request) -> Response:
        """Send a request and return its answer with the body still to be read.

        The request's extensions hold ``target`` (bytes), ``limits`` and
        ``note_sent``, which is called before the first byte is sent.
        """
        limits: ExchangeTimeouts = request.extensions["limits"]
        self.sent = False
        self.note_sent = request.extensions["note_sent"]
        self.first_byte_at = None
        await self.send_request(request, limits)
        event = await self.read_head(limits.first_byte_s)
        stream = ResponseStream(self, limits.progress_s)
        headers = event.headers.raw_items()
        return Response(event.status_code, headers=headers, stream=stream)

    async def read_head(self, limit_s: float) -> h11.Response:
        """Return the start of the next answer, which must be whole after `limit_s`."""
        self.resumed_at = self.clock()
        ends_at = self.resumed_at + limit_s
        for _ in range(INFORMATIONAL_LIMIT + 1):
            event = await self.next_event(limit_s, ends_at)
            if isinstance(event, h11.Response):
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise RemoteProtocolError("the target closed without an answer")
        raise RemoteProtocolError("informational answers without end")

    async def skip_response(self, limit_s: float) -> None:
        """Read an answer to an earlier request to its end and go on with the next.

        Raises
        ------
        RemoteProtocolError
            If the connection ends with that answer.
        """
        async for _ in ResponseStream(self, limit_s):
            pass
        if self.state.our_state is not h11.DONE:
            raise RemoteProtocolError("an answer came before the request was sent")
        if self.state.their_state is not h11.DONE:
            raise RemoteProtocolError("the connection ends with another answer")
        # The parser needs a request to expect a further answer; it was sent already.
        self.state.start_next_cycle()
        self.state.send(h11.Request(method="GET", target="/", headers=[("host", "-")]))
        self.state.send(h11.EndOfMessage())

    async def send_request(self, request: Request, limits: ExchangeTimeouts) -> None:
        """Send the head and the body, the head together with the first part."""
        head = h11.Request(
            method=request.method,
            target=request.extensions["target"],
            headers=request.headers.raw,
        )
        waiting = self.state.send(head) or b""
        try:
            async for part in request.stream:  # type: ignore[union-attr]
                waiting += self.state.send(h11.Data(data=part)) or b""
                await self.write(waiting, limits.progress_s)
                waiting = b""
            waiting += self.state.send(h11.EndOfMessage()) or b""
            await self.write(waiting, limits.progress_s)
        except WriteError:
            # A target may answer and close before it has read the whole body.
            if self.reader.received_bytes == self.consumed_bytes:
                raise

    async def write(self, data: bytes, limit_s: float) -> None:
        """Write bytes, waiting while the target does not take them."""
        if not data:
            return
        if not self.sent:
            self.sent = True
            self.note_sent()
        try:
            self.writer.write(data)
            if self.writer.transport.get_write_buffer_size():
                with fail_after(limit_s):
                    await self.writer.drain()
        except TimeoutError as error:
            raise WriteTimeout("the target takes no more bytes") from error
        except OSError as error:
            raise WriteError(type(error).__name__) from error

    async def next_event(self, limit_s: float, ends_at: float = inf) -> object:
        """Return the next part of the answer, at most `limit_s` after the last byte.

        Parameters
        ----------
        ends_at
            Monotonic time in seconds at which it is given up, whatever arrives.
        """
        try:
            await self.yield_loop()
            while (event := self.state.next_event()) is h11.NEED_DATA:
                self.check_start()
                with fail_after(min(limit_s, ends_at - current_time())):
                    arrived = self.reader.received_bytes
                    data = await self.reader.read(READ_BYTES)
                if self.reader.received_bytes != arrived:
                    # The read has waited, so other tasks ran meanwhile.
                    self.resumed_at = self.clock()
                self.consumed_bytes += len(data)
                if self.first_byte_at is None and data:
                    self.first_byte_at = current_time()
                self.state.receive_data(data)
        except TimeoutError as error:
            raise ReadTimeout("no progress within the limit") from error
        except OSError as error:
            raise ReadError(type(error).__name__) from error
        except h11.RemoteProtocolError as error:
            raise RemoteProtocolError(str(error)) from error
        return event

    async def yield_loop(self) -> None:
        """Let other tasks run if this one has read for long without a wait.

        Bytes that arrive faster than they are read never make it wait.
        """
        if self.clock() - self.resumed_at > HOLD_LIMIT_S:
            await checkpoint()
            self.resumed_at = self.clock()

    def check_start(self) -> None:
        """Check the first bytes of an answer whose head is not complete.

        Raises
        ------
        RemoteProtocolError
            If no answer can start with them.
        """
        if self.state.their_state is not h11.SEND_RESPONSE:
            return
        start = self.state.trailing_data[0][: len(ANSWER_START)]
        if not ANSWER_START.startswith(start):
            raise RemoteProtocolError("bytes that are no HTTP answer")

    def finish(self) -> bool:
        """End an exchange and return whether the connection may carry another."""
        done = (
            self.state.our_state is h11.DONE
            and self.state.their_state is h11.DONE
            and not self.state.trailing_data[0]
        )
        if not done or not self.is_usable():
            return False
        self.state.start_next_cycle()
        self.proven_at = current_time()
        return True

    def abort(self) -> None:
        """Close at once, without sending what is still buffered."""
        self.writer.transport.abort()

    async def aclose(self) -> None:
        """Close the connection."""
        self.abort()


async def open_connection(
    url: URL, ssl_context: SSLContext | None, limit_s: float
) -> Connection:
    """Connect to a target.

    Raises
    ------
    ConnectError, ConnectTimeout
        If there is no connection after `limit_s`. Nothing was sent.
    """
    loop = asyncio.get_running_loop()
    reader = CountingReader()
    protocol = asyncio.StreamReaderProtocol(reader, loop=loop)
    secure = url.scheme == "https"
    port = url.port or (443 if secure else 80)
    try:
        with fail_after(limit_s):
            transport, _ = await loop.create_connection(
                lambda: protocol, url.host, port, ssl=ssl_context if secure else None
            )
    except TimeoutError as error:
        raise ConnectTimeout("no connection within the limit") from error
    except OSError as error:
        raise ConnectError(type(error).__name__) from error
    return Connection(reader, asyncio.StreamWriter(transport, protocol, reader, loop))
