"""Bounds the connections of a listener by the descriptors of the process.

Without descriptors, a process can neither accept connections nor open those to its
targets and its store.
"""

from asyncio import WriteTransport
from collections.abc import Callable
from resource import getrlimit, RLIM_INFINITY, RLIMIT_NOFILE

from anyio import current_time

from primroseturn.serving.idle import IdleConnections, MIN_IDLE_S
from primroseturn.serving.protocol import ConnectionMeter

# Descriptors of a process without connections of callers: listeners, buses, the store,
# the log.
OWN_DESCRIPTORS = 32


def usable_descriptors() -> float:
    """Return the descriptors that this process may use for connections."""
    limit = getrlimit(RLIMIT_NOFILE)[0]
    if limit == RLIM_INFINITY:
        return float("inf")
    return max(1, limit - OWN_DESCRIPTORS)


class ConnectionLimit:
    """A meter that closes unused connections, and refuses new ones, above a limit.

    Parameters
    ----------
    share
        Fraction of the usable descriptors that the listener's connections may take.
    most
        Number of connections that are kept whatever the descriptors allow.
    meter
        Decides about the connections within the limit.
    make_room
        Ends the use of a connection if none is unused. Another one is accepted once
        that connection has closed.
    """

    def __init__(
        self,
        share: float,
        most: float = float("inf"),
        meter: ConnectionMeter | None = None,
        make_room: Callable[[], None] | None = None,
    ) -> None:
        self.share = share
        self.most = most
        self.meter = meter
        self.make_room = make_room or self.abort_oldest
        self.idle_connections: IdleConnections | None = None
        self.opened_at_by_transport: dict[WriteTransport, float] = {}

    def use_idle_connections(self, idle_connections: IdleConnections) -> None:
        """Set the connections that may be closed for others."""
        self.idle_connections = idle_connections
        if self.meter is not None:
            self.meter.use_idle_connections(idle_connections)

    def try_open_connection(self, transport: WriteTransport) -> bool:
        """Count a connection and return True, unless it must be closed."""
        limit = max(1, min(self.most, self.share * usable_descriptors()))
        if len(self.opened_at_by_transport) >= limit and not self.close_unused():
            self.make_room()
            return False
        if self.meter is not None and not self.meter.try_open_connection(transport):
            return False
        self.opened_at_by_transport[transport] = current_time()
        return True

    def close_unused(self) -> bool:
        """Close the oldest unused connection and return whether there was one."""
        if self.idle_connections is None:
            return False
        transport = self.idle_connections.close_oldest()
        if transport is None:
            return False
        self.close_connection(transport)
        return True

    def abort_oldest(self) -> None:
        """Abort the connection that was opened first, unless that was recently."""
        for transport, opened_at in self.opened_at_by_transport.items():
            if current_time() - opened_at >= MIN_IDLE_S:
                transport.abort()
            return

    def close_connection(self, transport: WriteTransport) -> None:
        """Stop counting a connection and its head."""
        self.opened_at_by_transport.pop(transport, None)
        if self.meter is not None:
            self.meter.close_connection(transport)

    def try_hold_head(self, transport: WriteTransport, size: int) -> bool:
        """Set the bytes of a connection's head and return True, if they fit."""
        return self.meter is None or self.meter.try_hold_head(transport, size)

    def end_head(self, transport: WriteTransport) -> None:
        """Record that the head has arrived whole."""
        if self.meter is not None:
            self.meter.end_head(transport)

    def release_head(self, transport: WriteTransport) -> None:
        """Release the bytes of a head whose request has ended."""
        if self.meter is not None:
            self.meter.release_head(transport)
