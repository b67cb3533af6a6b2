"""HTTP client of the load generator, lean so that it adds little latency itself."""

from collections.abc import AsyncIterator
from time import perf_counter
from typing import NamedTuple

from httpx import AsyncByteStream, HTTPError, Request, URL

from primroseturn.requestpath.connection import (
    Connection,
    ExchangeTimeouts,
    open_connection,
)

TIMEOUTS = ExchangeTimeouts(10.0, 10.0)
CONNECT_TIMEOUT_S = 5.0


class Timing(NamedTuple):
    """Status and latency of one request; `status` is 0 without a complete response."""

    status: int
    latency_s: float


class NoBody(AsyncByteStream):
    """An empty request body."""

    async def __aiter__(self) -> AsyncIterator[bytes]:
        """Yield nothing."""
        return
        yield b""


class Client:
    """Sends GET requests to one address over persistent connections."""

    def __init__(self, url: str, path: str, headers: list[tuple[bytes, bytes]]) -> None:
        self.url = URL(url)
        self.headers = [(b"host", self.url.netloc), *headers]
        self.extensions = {
            "target": path.encode(),
            "limits": TIMEOUTS,
            "note_sent": lambda: None,
        }
        self.idle_connections: list[Connection] = []

    async def fetch(self, scheduled_at: float) -> Timing:
        """Send a request, and measure its latency from the scheduled time."""
        status = 0
        try:
            connection = self.idle_connections.pop() if self.idle_connections else None
            if connection is None or not connection.is_usable():
                connection = await open_connection(self.url, None, CONNECT_TIMEOUT_S)
            status = await self.exchange(connection)
        except HTTPError:
            pass
        return Timing(status, perf_counter() - scheduled_at)

    async def exchange(self, connection: Connection) -> int:
        """Send a request and read the response.

        The connection is kept for the next request if the exchange ended cleanly.
        """
        request = Request(
            "GET",
            self.url,
            headers=self.headers,
            stream=NoBody(),
            extensions=self.extensions,
        )
        response = await connection.handle_async_request(request)
        async for _ in response.stream:  # type: ignore[union-attr]
            pass
        if connection.finish():
            self.idle_connections.append(connection)
        else:
            connection.abort()
        return response.status_code

    def close(self) -> None:
        """Close the idle connections."""
        for connection in self.idle_connections:
            connection.abort()
        self.idle_connections.clear()
