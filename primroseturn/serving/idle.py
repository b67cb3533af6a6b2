"""Closes idle connections of a listener, when they are old or at a stop.

hypercorn starts two tasks for each pause between requests. One sweep over all idle
connections costs far less at the rate of a daemon.
"""

from contextlib import suppress
from typing import Protocol

from anyio import create_task_group, current_time, move_on_after, sleep

SWEEP_INTERVAL_S = 1.0
# Longest time in seconds that closing waits for a caller that doesn't read, so that it
# does not hold up other connections.
FLUSH_LIMIT_S = 0.1


class Closable(Protocol):
    """A connection that can be closed."""

    async def close(self) -> None:
        """Close the connection."""


class IdleConnections:
    """The connections of a listener that wait for a request."""

    def __init__(self) -> None:
        self.since_by_connection: dict[Closable, float] = {}

    def mark_idle(self, connection: Closable) -> None:
        """Note that a connection waits for its next request."""
        self.since_by_connection[connection] = current_time()

    def mark_busy(self, connection: Closable) -> None:
        """Note that a connection carries a request or is closed."""
        self.since_by_connection.pop(connection, None)

    async def close_since(self, time: float) -> None:
        """Close the connections that have been idle since before `time`."""
        async with create_task_group() as tasks:
            for connection, since in list(self.since_by_connection.items()):
                if since <= time:
                    tasks.start_soon(self.close_idle, connection, since)

    async def close_idle(self, connection: Closable, since: float) -> None:
        """Close a connection unless a request has come meanwhile."""
        if self.since_by_connection.get(connection) != since:
            return
        self.mark_busy(connection)
        # What a slow caller has not read yet is sent after the close as well. An error
        # shows that the caller has gone.
        with move_on_after(FLUSH_LIMIT_S), suppress(OSError):
            await connection.close()

    async def sweep_forever(self, limit_s: float) -> None:
        """Close connections that were idle longer than `limit_s`."""
        while True:
            await sleep(SWEEP_INTERVAL_S)
            await self.close_since(current_time() - limit_s)
