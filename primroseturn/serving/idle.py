"""Closes idle connections of a listener after a timeout and at a stop.

hypercorn starts two tasks whenever a connection becomes idle. One sweep over all idle
connections costs far less at the request rate of a proxy.
"""

from asyncio import WriteTransport
from contextlib import suppress
from typing import Protocol

from anyio import create_task_group, current_time, move_on_after, sleep

SWEEP_INTERVAL_S = 1.0
# Longest time in seconds that a close waits for a caller that doesn't read, so that it
# does not delay the close of other connections.
FLUSH_TIMEOUT_S = 0.1
# Seconds for which an idle connection is kept although others need its memory.
MIN_IDLE_S = 1.0


class Closable(Protocol):
    """A connection that can be closed."""

    transport: WriteTransport | None

    async def close(self) -> None:
        """Close the connection."""

    def is_unused(self) -> bool:
        """Return whether no bytes are on their way in either direction."""

    def close_unused(self) -> None:
        """Close the connection, without waiting."""


class IdleConnections:
    """The connections of a listener that are waiting for a request."""

    def __init__(self) -> None:
        self.idle_since_by_connection: dict[Closable, float] = {}

    def mark_idle(self, connection: Closable) -> None:
        """Record that a connection is waiting for its next request."""
        self.idle_since_by_connection[connection] = current_time()

    def mark_busy(self, connection: Closable) -> None:
        """Record that a connection has a request or is closed."""
        self.idle_since_by_connection.pop(connection, None)

    async def close_since(self, time: float) -> None:
        """Close the connections that have been idle since `time` or longer."""
        async with create_task_group() as tasks:
            for connection, since in list(self.idle_since_by_connection.items()):
                if since <= time:
                    tasks.start_soon(self.close_idle, connection, since)

    def close_oldest(self) -> WriteTransport | None:
        """Close the unused connection that has been idle for the longest time.

        One that was opened or used within `MIN_IDLE_S` is kept, since its next request
        may be on its way.

        Returns
        -------
        WriteTransport | None
            Its transport, or None if there is none.
        """
        now = current_time()
        for connection, since in self.idle_since_by_connection.items():
            if now - since < MIN_IDLE_S:
                return None
            if connection.is_unused():
                self.mark_busy(connection)
                connection.close_unused()
                return connection.transport
        return None

    async def close_idle(self, connection: Closable, since: float) -> None:
        """Close a connection unless a request has arrived in the meantime."""
        if self.idle_since_by_connection.get(connection) != since:
            return
        self.mark_busy(connection)
        # Data that a slow caller has not read yet is still sent after the close. An
        # error shows that the caller has left.
        with move_on_after(FLUSH_TIMEOUT_S), suppress(OSError):
            await connection.close()

    async def sweep_forever(self, idle_timeout_s: float) -> None:
        """Close the connections that were idle for longer than `idle_timeout_s`."""
        while True:
            await sleep(SWEEP_INTERVAL_S)
            await self.close_since(current_time() - idle_timeout_s)
