"""Stand-in of the network path to a target: a TCP proxy with faults."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

from anyio import (
    BrokenResourceError,
    ClosedResourceError,
    connect_tcp,
    create_task_group,
    create_tcp_listener,
    EndOfStream,
    sleep,
)
from anyio.abc import SocketAttribute, SocketStream

READ_BYTES = 65_536


class Relay:
    """Relays connections between a daemon and a target.

    Attributes
    ----------
    connection_limit
        Number of open connections above which further ones are closed at once.
    accepted_count, peak_connections
        Number of connections so far, and the most that were open at one time.
    must_close_before_response
        Whether the connection is closed before the response, after the target has
        received the request.
    delay_s
        Delay in seconds in each direction.
    dropped_directions
        Directions ("requests", "responses") whose bytes are dropped, as when a network
        path is cut and no connection is closed.
    trailing_bytes, trailing_delay_s
        Bytes that are sent to the daemon after the next response, as by a
        desynchronised target, and the seconds between the two.
    stalled_connections
        Open connections whose bytes are dropped in both directions.
    """

    def __init__(self, port: int, connection_limit: int = 1_000) -> None:
        self.port = port
        self.connection_limit = connection_limit
        self.accepted_count = 0
        self.must_close_before_response = False
        self.delay_s = 0.0
        self.dropped_directions: frozenset[str] = frozenset()
        self.trailing_bytes = b""
        self.trailing_delay_s = 0.0
        self.open_connections: set[SocketStream] = set()
        self.stalled_connections: set[SocketStream] = set()
        self.peak_connections = 0

    def stall_connections(self) -> None:
        """Drop all further bytes of the connections that are open now."""
        self.stalled_connections |= self.open_connections

    async def reset(self) -> None:
        """Close all open connections at once."""
        for daemon in list(self.open_connections):
            await daemon.aclose()

    async def relay_connection(self, daemon: SocketStream) -> None:
        """Relay one connection until either side closes it."""
        self.accepted_count += 1
        if len(self.open_connections) >= self.connection_limit:
            await daemon.aclose()
            return
        self.open_connections.add(daemon)
        self.peak_connections = max(self.peak_connections, len(self.open_connections))
        try:
            async with (
                daemon,
                await connect_tcp("127.0.0.1", self.port) as target,
                create_task_group() as tasks,
            ):
                tasks.start_soon(self.relay_requests, daemon, target)
                await self.relay_responses(daemon, target)
                tasks.cancel_scope.cancel()
        except (BrokenResourceError, ClosedResourceError, OSError):
            pass
        finally:
            self.open_connections.discard(daemon)
            self.stalled_connections.discard(daemon)

    async def relay_requests(self, daemon: SocketStream, target: SocketStream) -> None:
        """Relay bytes from the daemon to the target."""
        with suppress(EndOfStream, BrokenResourceError, ClosedResourceError):
            while True:
                data = await daemon.receive(READ_BYTES)
                if self.delay_s:
                    await sleep(self.delay_s)
                if (
                    daemon not in self.stalled_connections
                    and "requests" not in self.dropped_directions
                ):
                    await target.send(data)
        with suppress(BrokenResourceError, ClosedResourceError, OSError):
            await target.send_eof()

    async def relay_responses(self, daemon: SocketStream, target: SocketStream) -> None:
        """Relay bytes from the target to the daemon."""
        with suppress(EndOfStream, BrokenResourceError, ClosedResourceError):
            while True:
                data = await target.receive(READ_BYTES)
                if self.must_close_before_response:
                    return
                if self.delay_s:
                    await sleep(self.delay_s)
                if (
                    daemon in self.stalled_connections
                    or "responses" in self.dropped_directions
                ):
                    continue
                trailing, self.trailing_bytes = self.trailing_bytes, b""
                if trailing and self.trailing_delay_s:
                    await daemon.send(data)
                    await sleep(self.trailing_delay_s)
                    data = b""
                await daemon.send(data + trailing)


@asynccontextmanager
async def run_relay(relay: Relay, port: int = 0) -> AsyncIterator[int]:
    """Run a relay until the context ends, and yield its port."""
    async with (
        await create_tcp_listener(local_host="127.0.0.1", local_port=port) as listener,
        create_task_group() as tasks,
    ):
        tasks.start_soon(listener.serve, relay.relay_connection)
        yield listener.extra(SocketAttribute.local_port)
        tasks.cancel_scope.cancel()
