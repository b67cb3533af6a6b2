"""HTTP/1.1 connections of callers, for which hypercorn's own classes are replaced."""

from array import array
from asyncio import Queue, WriteTransport
from collections.abc import Callable
from contextvars import ContextVar
from fcntl import ioctl
from termios import TIOCOUTQ
from typing import Any, Protocol

import hypercorn.asyncio.run
import hypercorn.protocol
from anyio import current_time
from h11 import (
    Connection,
    Data,
    EndOfMessage,
    ERROR,
    IDLE,
    LocalProtocolError,
    Request,
    Response,
    SERVER,
)
from hypercorn.asyncio.tcp_server import TCPServer
from hypercorn.events import Closed, Event, RawData, Updated
from hypercorn.protocol.h11 import H11Protocol
from hypercorn.protocol.http_stream import HTTPStream
from msgspec.json import encode

from primroseturn.serving.gate import NextRequestGate, watch_end
from primroseturn.serving.heads import HeadSize
from primroseturn.serving.idle import IdleConnections

HEADERS_TOO_LARGE, SERVICE_UNAVAILABLE = 431, 503
KINDS_BY_STATUS = {
    400: "request-invalid",
    HEADERS_TOO_LARGE: "headers-too-large",
    501: "encoding-unsupported",
    SERVICE_UNAVAILABLE: "memory-exhausted",
}
# Seconds after which a caller may try again whose head did not fit into the memory:
# connections without progress are closed after that time.
RETRY_AFTER_S = 1
# Seconds without a byte after which a connection counts as unused although a part of a
# head has arrived.
HEAD_STALL_S = 1.0
# Key of the ASGI extension that gives an application access to its caller's connection.
CALLER_LINK = "primroseturn.caller"


# Buffers of a caller's connection: bytes of one receive call and of what is to be sent.
CALLER_BUFFER_BYTES = 16_384
# Bytes of one part of a request that is passed to the parser.
CALLER_READ_BYTES = 16_384
# The transport of the connection whose task is running.
current_transport: ContextVar[WriteTransport] = ContextVar("current_transport")


class ConnectionMeter(Protocol):
    """Decides which connections a listener keeps open, and which heads it reads."""

    def use_idle_connections(self, idle_connections: IdleConnections) -> None:
        """Set the connections that may be closed for others."""

    def try_open_connection(self, transport: WriteTransport) -> bool:
        """Count a connection and return True, unless it must be closed."""

    def close_connection(self, transport: WriteTransport) -> None:
        """Stop counting a connection and its head."""

    def try_hold_head(self, transport: WriteTransport, size: int) -> bool:
        """Set the bytes of a connection's head and return True, if they fit."""

    def end_head(self, transport: WriteTransport) -> None:
        """Record that the head has arrived whole."""

    def release_head(self, transport: WriteTransport) -> None:
        """Release the bytes of a head whose request has ended."""


class CallerLink:
    """Reports that a caller has closed its connection, and sets how heads are sent.

    Attributes
    ----------
    hold_head
        Whether the response's head is sent together with the start of the body, which
        saves a system call. Only for bodies that follow immediately.
    """

    def __init__(self, transport: WriteTransport | None = None) -> None:
        self.transport = transport
        self.hold_head = False
        self.has_closed = False
        self.callback: Callable[[], None] | None = None

    def unsent_bytes(self) -> int:
        """Return the bytes that the caller's side has not acknowledged."""
        if self.transport is None:
            return 0
        return self.transport.get_write_buffer_size() + queued_bytes(self.transport)

    def abort(self) -> None:
        """Close the connection at once, without sending what is still buffered."""
        if self.transport is not None:
            self.transport.abort()

    def set_close_callback(self, callback: Callable[[], None] | None) -> None:
        """Set the callback, and call it immediately if the caller has left already."""
        self.callback = callback
        if self.has_closed and callback is not None:
            callback()

    def report_closed(self) -> None:
        """Record that the caller has left, and call the callback."""
        self.has_closed = True
        if self.callback is not None:
            self.callback()


def queued_bytes(transport: WriteTransport) -> int:
    """Return the bytes of a connection that are in the kernel's send queue.

    Where the system does not tell, the result is 0.
    """
    buffer = array("i", [0])
    try:
        ioctl(transport.get_extra_info("socket").fileno(), TIOCOUTQ, buffer)
    except OSError:
        return 0
    return buffer[0]


def drop_unread_parts(stream: HTTPStream) -> None:
    """Empty the queue of the parts of a body that its application has not read."""
    # hypercorn keeps only the bound method that adds to the queue.
    queue = getattr(stream.app_put, "__self__", None)
    while isinstance(queue, Queue) and not queue.empty():
        queue.get_nowait()


class Http11Protocol(H11Protocol):
    """Tracks idle connections, combines writes and reports callers that leave.

    It never switches to HTTP/2, and refuses malformed requests with a JSON body that
    names the type of the refusal.
    """

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.can_read = NextRequestGate(self.handle_early_end)
        self.send_unfiltered = self.send
        self.send = self.filter_event
        self.transport = current_transport.get(None)
        self.link = CallerLink(self.transport)
        self.held_head = b""
        self.closing = False
        self.head_size = HeadSize()
        self.received_at = 0.0

    @property
    def meter(self) -> ConnectionMeter | None:
        """Return the meter of this listener."""
        return self.config.connection_meter  # type: ignore[attr-defined]

    @property
    def idle_connections(self) -> IdleConnections:
        """Return the idle connections of this listener."""
        return self.config.idle_connections  # type: ignore[attr-defined]

    async def initiate(self) -> None:
        """Treat a new connection as idle until its first request."""
        await super().initiate()
        self.idle_connections.mark_idle(self)

    async def handle(self, event: Event) -> None:
        """Process an event, and close the connection when the caller has closed it.

        hypercorn 0.18 keeps a connection that its caller closed until the keep-alive
        timeout, which exhausts the file descriptors when callers reconnect often.
        """
        if isinstance(event, Closed):
            self.link.report_closed()
            self.idle_connections.mark_busy(self)
        elif self.closing:
            # A request that arrives during the close must not run: it gets no response.
            return
        elif isinstance(event, RawData) and self.connection.their_state is IDLE:
            status = self.measure_head(event.data)
            if status is not None:
                await self._send_error_response(status)
                await self.close()
                return
        await super().handle(event)
        if isinstance(event, Closed):
            await self.close()

    async def handle_early_end(self) -> None:
        """Close the connection of a caller that left with further requests sent."""
        await self.handle(Closed())
        await self.can_read.set()

    def measure_head(self, data: bytes) -> int | None:
        """Measure a part of a head before it is parsed.

        Returns
        -------
        int | None
            The status with which the request is refused, None if it is not.
        """
        self.received_at = current_time()
        self.head_size.add(data)
        if self.head_size.has_too_many_lines():
            return HEADERS_TOO_LARGE
        size = self.head_size.unusual_bytes()
        if not size or self.meter is None or self.transport is None:
            return None
        fits = self.meter.try_hold_head(self.transport, size)
        return None if fits else SERVICE_UNAVAILABLE

    async def _maybe_recycle(self) -> None:
        """End a request, and drop the parts of its body that were not read.

        hypercorn 0.18 waits for room in the queue of parts when a request ends. Once
        the application has responded, nothing empties that queue, and the connection
        would stay open even after its caller has left.
        """
        if isinstance(self.stream, HTTPStream):
            drop_unread_parts(self.stream)
        await super()._maybe_recycle()

    async def close(self) -> None:
        """Close the connection."""
        self.closing = True
        await self.send_unfiltered(Closed())
        if self.stream is None:
            # The objects of a connection refer to each other, so that the parser's
            # buffer would stay until the next collection of garbage.
            self.connection = Connection(SERVER)

    def is_unused(self) -> bool:
        """Return whether no head arrives and no response is still being sent."""
        if self.transport is None or self.transport.get_write_buffer_size():
            return False
        if not self.head_size.received_bytes:
            return True
        return current_time() - self.received_at >= HEAD_STALL_S

    def close_unused(self) -> None:
        """Close the connection, without waiting."""
        self.closing = True
        if self.transport is not None:
            self.transport.close()

    async def filter_event(self, event: Event) -> None:
        """Forward an event, but only record idling, and drop empty data."""
        if isinstance(event, Updated) and event.idle:
            self.idle_connections.mark_idle(self)
            if self.meter is not None and self.transport is not None:
                self.meter.release_head(self.transport)
        elif not isinstance(event, RawData) or event.data:
            await self.send_unfiltered(event)

    async def _send_h11_event(self, event: Any) -> None:
        """Send a part of a response, and a held head together with the next part."""
        try:
            data = self.connection.send(event)
        except LocalProtocolError:
            if self.connection.their_state != ERROR:
                raise
            return
        if isinstance(event, Response) and self.link.hold_head:
            self.held_head = data or b""
            return
        head, self.held_head = self.held_head, b""
        await self.send(RawData(data=head + (data or b"")))

    async def _create_stream(self, request: Request) -> None:
        """Give the application the link that reports when its caller leaves."""
        self.idle_connections.mark_busy(self)
        self.head_size = HeadSize()
        if self.meter is not None and self.transport is not None:
            self.meter.end_head(self.transport)
        self.link = CallerLink(self.transport)
        await super()._create_stream(request)
        if isinstance(self.stream, HTTPStream):
            # The application's task starts only once this one waits.
            scope: dict = self.stream.scope  # type: ignore
            scope["extensions"][CALLER_LINK] = self.link
            # hypercorn converts it to capitals, but methods are case-sensitive.
            scope["method"] = request.method.decode("ascii")

    async def _check_protocol(self, event: Request) -> None:
        """Ignore offers of HTTP/2.

        With HTTP/2, hypercorn 0.18 cannot abort one response detectably.
        """

    async def _send_error_response(self, status_code: int) -> None:
        """Refuse a request that could not be parsed."""
        kind = KINDS_BY_STATUS.get(status_code, "request-invalid")
        # With a stream, the application may have forwarded a part of the request.
        ran = "no" if self.stream is None else "unknown"
        detail = "the request could not be parsed"
        body = encode({"type": kind, "detail": detail, "ran": ran})
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(body)).encode()),
            (b"connection", b"close"),
        ]
        if status_code == SERVICE_UNAVAILABLE:
            headers.append((b"retry-after", str(RETRY_AFTER_S).encode()))
        await self._send_h11_event(Response(status_code=status_code, headers=headers))
        await self._send_h11_event(Data(data=body))
        await self._send_h11_event(EndOfMessage())


class CallerConnection(TCPServer):
    """Bounds buffers, and leaves the closing of idle connections to `IdleConnections`.

    hypercorn 0.18 closes a connection without a request in a task that its reader
    cancels when a request arrives. At a stop, the two can deadlock.
    """

    async def run(self) -> None:
        """Serve the connection, unless the meter of the listener has no room for it."""
        meter: ConnectionMeter | None = self.config.connection_meter  # type: ignore
        transport = self.writer.transport
        if meter is not None and not meter.try_open_connection(transport):
            transport.abort()
            return
        try:
            transport.set_write_buffer_limits(high=CALLER_BUFFER_BYTES)
            # asyncio's selector transports read up to this many bytes at once.
            transport.max_size = CALLER_BUFFER_BYTES  # type: ignore[attr-defined]
            # hypercorn opens its readers with asyncio's default of 64 KiB.
            self.reader._limit = CALLER_BUFFER_BYTES
            current_transport.set(transport)
            watch_end(self.reader, self.report_end)
            await super().run()
        finally:
            if meter is not None:
                meter.close_connection(transport)

    def report_end(self) -> None:
        """Handle the end of the caller's stream if a request is held back."""
        wrapper = getattr(self, "protocol", None)
        if wrapper is None:
            return
        gate = wrapper.protocol.can_read
        gate.has_ended = True
        if gate.is_waiting:
            self._task_group.spawn(gate.leave)

    async def _read_data(self) -> None:
        """Read in small parts, since some of them are queued for the application."""
        while not self.reader.at_eof():
            try:
                data = await self.reader.read(CALLER_READ_BYTES)
            except OSError:
                break
            await self.protocol.handle(RawData(data))
        await self.protocol.handle(Closed())

    async def _idle_timeout(self) -> None:
        """Do not close the connection."""


def install_protocol() -> None:
    """Make hypercorn use the classes of this module; it has no setting for this."""
    hypercorn.protocol.H11Protocol = Http11Protocol  # type: ignore[misc]
    hypercorn.asyncio.run.TCPServer = CallerConnection  # type: ignore[misc]
