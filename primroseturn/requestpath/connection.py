"""One HTTP/1.1 connection to a target, as an httpx transport.

httpx's own transport hides whether bytes were sent, how old a connection is and
whether unread bytes are left after a response. The request path needs all three.
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

from primroseturn.serving.heads import HeadSize, MAX_HEADER_LINES

# Size of one read, and of the buffers of a connection: what a caller does not read
# stays in them, for each of its requests.
READ_BYTES = 16_384
MAX_RESPONSE_HEADER_BYTES = 65_536
BODILESS_STATUSES = (204, 304)
# Statuses that a final response may have, and the versions that targets speak. A target
# in trouble has sent other ones, and the parser accepts some of them.
FINAL_STATUSES = range(200, 600)
HTTP_VERSIONS = (b"1.0", b"1.1")
# Informational responses before a response. HTTP has three kinds, of which only 102 may
# repeat, about every 20 s.
MAX_INFORMATIONAL_RESPONSES = 16
# Start of every response that h11 accepts.
RESPONSE_START = b"HTTP/1."
# Longest time in seconds that one connection may occupy the event loop: 20 of them
# together stay within the 4.5 ms that a VM may add to other requests (DEVELOPERS.md).
MAX_LOOP_HOLD_S = 0.0002


class ExchangeTimeouts(NamedTuple):
    """Timeouts in seconds of an exchange.

    Attributes
    ----------
    head_s
        From the end of the request to the whole head of the response.
    progress_s
        To write a part of the request, and between parts of the response's body.
    """

    head_s: float
    progress_s: float


class CountingReader(asyncio.StreamReader):
    """Counts received bytes, so that unsolicited ones are detected."""

    def __init__(self) -> None:
        # The transport is paused while twice the limit is buffered.
        super().__init__(limit=READ_BYTES // 2, loop=asyncio.get_running_loop())
        self.received_bytes = 0

    def feed_data(self, data: bytes) -> None:
        """Receive bytes from the transport."""
        self.received_bytes += len(data)
        super().feed_data(data)


class ResponseStream(AsyncByteStream):
    """Body of the response that a connection receives."""

    def __init__(self, connection: "Connection", timeout_s: float) -> None:
        self.connection = connection
        self.timeout_s = timeout_s

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Yield the parts of the body and check that it is whole."""
        while True:
            event = await self.connection.next_event(self.timeout_s)
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return
            else:
                raise RemoteProtocolError("the response's body ended unexpectedly")


class Connection(AsyncBaseTransport):
    """Performs one exchange at a time over one TCP connection.

    Attributes
    ----------
    opened_at, last_clean_at
        Monotonic times in seconds when the connection was opened and when it last
        completed an exchange cleanly; before the first exchange, both are the same.
    sent
        Whether any byte of the current request may have left this process.
    consumed_bytes
        Number of received bytes that were passed to the parser.
    head_size
        Size of the head that was read last.
    resumed_at
        Monotonic time in seconds when the reading task began to read the head or last
        continued after a wait. Other tasks may not have run since then.
    """

    def __init__(self, reader: CountingReader, writer: asyncio.StreamWriter) -> None:
        self.reader = reader
        self.writer = writer
        self.protocol_state = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_RESPONSE_HEADER_BYTES
        )
        self.opened_at = self.last_clean_at = current_time()
        self.consumed_bytes = 0
        self.head_size = HeadSize()
        self.sent = False
        self.note_sent: Callable[[], None] = lambda: None
        self.first_byte_at: float | None = None
        self.clock = asyncio.get_running_loop().time
        self.resumed_at = self.opened_at

    def is_usable(self) -> bool:
        """Return whether an idle connection can carry another exchange.

        Bytes that arrived while it was idle belong to no request of this VM. Reading
        them would deliver one caller's response to another.
        """
        return (
            self.reader.received_bytes == self.consumed_bytes
            and not self.reader.at_eof()
            and not self.writer.is_closing()
        )

    async def handle_async_request(self, request: Request) -> Response:
        """Send a request and return the response, whose body is still to be read.

        The request's extensions hold ``target`` (bytes), ``limits``
        (`ExchangeTimeouts`) and ``note_sent``, which is called before the first byte is
        sent.
        """
        timeouts: ExchangeTimeouts = request.extensions["limits"]
        self.sent = False
        self.note_sent = request.extensions["note_sent"]
        self.first_byte_at = None
        await self.send_request(request, timeouts)
        event = await self.read_head(timeouts.head_s)
        stream = ResponseStream(self, timeouts.progress_s)
        headers = event.headers.raw_items()
        return Response(event.status_code, headers=headers, stream=stream)

    async def read_head(self, timeout_s: float) -> h11.Response:
        """Return the head of the next response.

        Parameters
        ----------
        timeout_s
            Time in seconds within which the whole head must arrive.
        """
        self.resumed_at = self.clock()
        deadline_at = self.resumed_at + timeout_s
        for _ in range(MAX_INFORMATIONAL_RESPONSES + 1):
            self.head_size = HeadSize()
            event = await self.next_event(timeout_s, deadline_at)
            if isinstance(event, h11.Response):
                check_status_line(event)
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise RemoteProtocolError("the target closed without a response")
        raise RemoteProtocolError("too many informational responses")

    async def skip_response(self, timeout_s: float) -> None:
        """Read a response to an earlier request to its end and expect the next one.

        Raises
        ------
        RemoteProtocolError
            If the connection ends with that response.
        """
        async for _ in ResponseStream(self, timeout_s):
            pass
        if self.protocol_state.our_state is not h11.DONE:
            raise RemoteProtocolError("a response arrived before the request was sent")
        if self.protocol_state.their_state is not h11.DONE:
            raise RemoteProtocolError("the connection ends with an earlier response")
        # The parser expects a further response only after a request. The caller's
        # request was sent already, so the parser gets a substitute that is not sent.
        self.protocol_state.start_next_cycle()
        self.protocol_state.send(
            h11.Request(method="GET", target="/", headers=[("host", "-")])
        )
        self.protocol_state.send(h11.EndOfMessage())

    async def send_request(self, request: Request, timeouts: ExchangeTimeouts) -> None:
        """Send the head and the body, the head together with the first body part."""
        head = h11.Request(
            method=request.method,
            target=request.extensions["target"],
            headers=request.headers.raw,
        )
        unsent = self.protocol_state.send(head) or b""
        try:
            async for part in request.stream:  # type: ignore[union-attr]
                unsent += self.protocol_state.send(h11.Data(data=part)) or b""
                await self.write(unsent, timeouts.progress_s)
                unsent = b""
            unsent += self.protocol_state.send(h11.EndOfMessage()) or b""
            await self.write(unsent, timeouts.progress_s)
        except WriteError:
            # A target may respond and close before it has read the whole body; the
            # response that it sent is then still read.
            if self.reader.received_bytes == self.consumed_bytes:
                raise

    async def write(self, data: bytes, timeout_s: float) -> None:
        """Write bytes, waiting while the target does not read them."""
        if not data:
            return
        if not self.sent:
            if self.reader.received_bytes != self.consumed_bytes:
                raise RemoteProtocolError("bytes arrived before the request was sent")
            self.sent = True
            self.note_sent()
        if self.writer.is_closing():
            # asyncio only logs what is written after the target has closed.
            raise WriteError("the target has closed the connection")
        try:
            self.writer.write(data)
            if self.writer.transport.get_write_buffer_size():
                with fail_after(timeout_s):
                    await self.writer.drain()
        except TimeoutError as error:
            raise WriteTimeout("the target reads no more bytes") from error
        except OSError as error:
            raise WriteError(type(error).__name__) from error

    async def next_event(self, timeout_s: float, deadline_at: float = inf) -> object:
        """Return the next part of the response.

        Parameters
        ----------
        timeout_s
            Longest time in seconds to wait for further bytes.
        deadline_at
            Monotonic time in seconds at which the read ends, whatever has arrived.
        """
        try:
            await self.yield_to_loop()
            while (event := self.protocol_state.next_event()) is h11.NEED_DATA:
                self.check_response_start()
                with fail_after(min(timeout_s, deadline_at - current_time())):
                    received_before = self.reader.received_bytes
                    data = await self.reader.read(READ_BYTES)
                if self.reader.received_bytes != received_before:
                    # The read waited, so other tasks ran in the meantime.
                    self.resumed_at = self.clock()
                self.consumed_bytes += len(data)
                self.measure_head(data)
                if self.first_byte_at is None and data:
                    self.first_byte_at = current_time()
                self.protocol_state.receive_data(data)
        except TimeoutError as error:
            raise ReadTimeout("no progress within the limit") from error
        except OSError as error:
            raise ReadError(type(error).__name__) from error
        except h11.RemoteProtocolError as error:
            raise RemoteProtocolError(str(error)) from error
        return event

    def measure_head(self, data: bytes) -> None:
        """Measure the next part of a response's head before it is parsed.

        Raises
        ------
        RemoteProtocolError
            If the head has too many fields.
        """
        if self.protocol_state.their_state is h11.SEND_RESPONSE:
            self.head_size.add(data)
            if self.head_size.has_too_many_lines():
                raise RemoteProtocolError(
                    f"the response has more than {MAX_HEADER_LINES} header fields"
                )

    async def yield_to_loop(self) -> None:
        """Let other tasks run if this one has read for long without waiting.

        Reads never wait while bytes arrive faster than they are read.
        """
        if self.clock() - self.resumed_at > MAX_LOOP_HOLD_S:
            await checkpoint()
            self.resumed_at = self.clock()

    def check_response_start(self) -> None:
        """Check the first bytes of a response whose head is incomplete.

        Raises
        ------
        RemoteProtocolError
            If no response can start with them.
        """
        if self.protocol_state.their_state is not h11.SEND_RESPONSE:
            return
        start = self.protocol_state.trailing_data[0][: len(RESPONSE_START)]
        if not RESPONSE_START.startswith(start):
            raise RemoteProtocolError(
                "the target sent bytes that are not an HTTP response"
            )

    def finish(self) -> bool:
        """End an exchange and return whether the connection can be reused."""
        is_complete = (
            self.protocol_state.our_state is h11.DONE
            and self.protocol_state.their_state is h11.DONE
            and not self.protocol_state.trailing_data[0]
        )
        if not is_complete or not self.is_usable():
            return False
        self.protocol_state.start_next_cycle()
        self.last_clean_at = current_time()
        return True

    def abort(self) -> None:
        """Close at once, without sending what is still buffered."""
        self.writer.transport.abort()

    async def aclose(self) -> None:
        """Close the connection."""
        self.abort()


def check_status_line(head: h11.Response) -> None:
    """Check what the parser accepts of a status line although HTTP/1.1 does not.

    Raises
    ------
    RemoteProtocolError
        If the status or the version is not one of HTTP/1.1.
    """
    if head.status_code not in FINAL_STATUSES:
        raise RemoteProtocolError(f"the response has status {head.status_code}")
    if head.http_version not in HTTP_VERSIONS:
        version = head.http_version.decode("latin-1")
        raise RemoteProtocolError(f"the response has version {version}")


async def open_connection(
    url: URL, ssl_context: SSLContext | None, timeout_s: float
) -> Connection:
    """Connect to a target.

    Raises
    ------
    ConnectError, ConnectTimeout
        If there is no connection after `timeout_s`. Nothing was sent.
    """
    loop = asyncio.get_running_loop()
    reader = CountingReader()
    protocol = asyncio.StreamReaderProtocol(reader, loop=loop)
    is_https = url.scheme == "https"
    port = url.port or (443 if is_https else 80)
    try:
        with fail_after(timeout_s):
            transport, _ = await loop.create_connection(
                lambda: protocol, url.host, port, ssl=ssl_context if is_https else None
            )
    except TimeoutError as error:
        raise ConnectTimeout("no connection within the limit") from error
    except OSError as error:
        raise ConnectError(type(error).__name__) from error
    bound_buffers(transport)
    return Connection(reader, asyncio.StreamWriter(transport, protocol, reader, loop))


def bound_buffers(transport: asyncio.Transport) -> None:
    """Bound the buffers of a connection: one read, and what is to be written."""
    transport.set_write_buffer_limits(high=READ_BYTES)
    # asyncio's selector transports read up to this many bytes at once.
    transport.max_size = READ_BYTES  # type: ignore[attr-defined]
