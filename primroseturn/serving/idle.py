"""Closes idle connections of a listener after a timeout and at a stop.

hypercorn starts two tasks whenever a connection becomes idle. One sweep over all idle
connections costs far less at the request rate of a proxy.
"""

from contextlib import suppress
from typing import Protocol

from anyio import create_task_group, current_time, move_on_after, sleep

SWEEP_INTERVAL_S = 1.0
# Longest time in seconds that a close waits for a caller that doesn't read, so that it
# does not delay the close of other connections.
FLUSH_TIMEOUT_S = 0.1


class Closable(Protocol):
    """A connection that can be closed."""

    async def close(self) -> None:
        """Close the connection."""


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

    async def close_oldest(self) -> None:
        """Close the connection that has been idle for the longest time, if any."""
        for connection, since in self.idle_since_by_connection.items():
            await self.close_idle(connection, since)
            return

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
