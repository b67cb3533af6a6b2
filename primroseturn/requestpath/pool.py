"""Pools of connections to targets, one pool per target."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from math import ceil
from ssl import create_default_context, SSLContext
from typing import Protocol, TypeVar

from anyio import current_time, Event, move_on_after, sleep
from httpx import URL

from primroseturn.configuration.models import Target
from primroseturn.configuration.replica import Replica
from primroseturn.failures import Failure
from primroseturn.kernel.background import run_background
from primroseturn.membership.listing import Listing
from primroseturn.observation.events import EventLog
from primroseturn.requestpath.connection import Connection, open_connection
from primroseturn.settings.models import UpstreamSettings

CONNECT_TIMEOUT_S = 1.0
PRUNE_INTERVAL_S = 1.0
DEFAULT_CONNECTIONS_PER_TARGET = 330


class ConnectionsExhausted(Failure):
    """All connections that this VM may have to a target are in use."""

    code = "connections-exhausted"

    def __init__(self, target: str) -> None:
        super().__init__(f"all connections to target {target!r} are in use")


class TargetPool:
    """Connections to one target.

    Attributes
    ----------
    idle
        Idle connections, the most recently used last.
    open_count
        Number of connections in use or idle.
    """

    def __init__(
        self, url: str, settings: UpstreamSettings, ssl_context: SSLContext | None
    ) -> None:
        self.url = URL(url)
        self.host = self.url.netloc
        self.settings = settings
        self.ssl_context = ssl_context
        self.idle: list[Connection] = []
        self.open_count = 0
        self.freed = Event()

    async def acquire(
        self, name: str, limit: int, must_be_recent: bool, must_be_new: bool
    ) -> Connection:
        """Return an idle connection or open one.

        Parameters
        ----------
        limit
            Maximum number of connections.
        must_be_recent
            Whether the connection must be new or have completed an exchange cleanly
            within the last `old_connection_s`.
        must_be_new
            Whether the connection must be new.

        Raises
        ------
        ConnectionsExhausted
            If all connections stay in use for `CONNECT_TIMEOUT_S`.
        """
        deadline_at = current_time() + CONNECT_TIMEOUT_S
        while True:
            connection = None if must_be_new else self.pop_idle(must_be_recent)
            if connection is not None:
                return connection
            if self.open_count < limit:
                return await self.open()
            if self.idle:
                self.discard(self.idle.pop(0))
            elif not await self.wait_until_freed(deadline_at):
                raise ConnectionsExhausted(name)

    def pop_idle(self, must_be_recent: bool) -> Connection | None:
        """Return a suitable idle connection, the most recently used first."""
        now = current_time()
        while self.idle:
            connection = self.idle.pop()
            if not connection.is_usable() or self.is_expired(connection, now):
                self.discard(connection)
            elif must_be_recent and self.is_old(connection, now):
                # The most recently used one is too old, so all are.
                self.idle.append(connection)
                return None
            else:
                return connection
        return None

    async def open(self) -> Connection:
        """Open a connection."""
        self.open_count += 1
        try:
            return await open_connection(self.url, self.ssl_context, CONNECT_TIMEOUT_S)
        except BaseException:
            self.open_count -= 1
            self.notify_waiters()
            raise

    async def wait_until_freed(self, deadline_at: float) -> bool:
        """Wait until a connection is returned or closed, and return whether one was."""
        with move_on_after(deadline_at - current_time()):
            await self.freed.wait()
            return True
        return False

    def notify_waiters(self) -> None:
        """Wake the requests that wait for a connection."""
        self.freed.set()
        self.freed = Event()

    def give_back(self, connection: Connection) -> None:
        """Return a connection to the pool, or close it after an unclean exchange."""
        if connection.finish():
            self.idle.append(connection)
            self.notify_waiters()
        else:
            self.discard(connection)

    def discard(self, connection: Connection) -> None:
        """Close a connection."""
        self.open_count -= 1
        connection.abort()
        self.notify_waiters()

    def is_old(self, connection: Connection, now: float) -> bool:
        """Return whether a connection's last clean exchange is too long ago."""
        return now - connection.last_clean_at > self.settings.old_connection_s

    def is_expired(self, connection: Connection, now: float) -> bool:
        """Return whether a connection was idle for too long."""
        return now - connection.last_clean_at > self.settings.idle_limit_s

    def close_old(self, now: float) -> int:
        """Close the old idle connections and return their number."""
        return self.close_idle(lambda item: self.is_old(item, now))

    def prune(self, now: float) -> None:
        """Close the idle connections that are expired or no longer usable."""
        self.close_idle(lambda item: self.is_expired(item, now) or not item.is_usable())

    def close_idle(self, is_unwanted) -> int:
        """Close the idle connections that a predicate selects."""
        unwanted = [item for item in self.idle if is_unwanted(item)]
        if unwanted:
            self.idle = [item for item in self.idle if item not in unwanted]
        for connection in unwanted:
            self.discard(connection)
        return len(unwanted)


class Pools:
    """The connection pools of this VM."""

    def __init__(
        self, settings: UpstreamSettings, listing: Listing, replica: Replica
    ) -> None:
        self.settings = settings
        self.listing = listing
        self.replica = replica
        self.ssl_context: SSLContext | None = None
        self.pools_by_url: dict[str, TargetPool] = {}

    def pool_of(self, target: Target) -> TargetPool:
        """Return the pool of a target."""
        pool = self.pools_by_url.get(target.url)
        if pool is None:
            pool = TargetPool(
                target.url, self.settings, self.ssl_context_for(target.url)
            )
            self.pools_by_url[target.url] = pool
        return pool

    def ssl_context_for(self, url: str) -> SSLContext | None:
        """Return the TLS context for a target, created on first use."""
        if url.startswith("https") and self.ssl_context is None:
            self.ssl_context = create_default_context(cafile=self.settings.ca_file)
        return self.ssl_context

    def limit_of(self, target: Target) -> int:
        """Return the number of connections that this VM may have to a target."""
        service = self.replica.state.services_by_name.get(target.service)
        target_limit = service.connections_per_target if service else None
        vm_count = max(1, len(self.listing.daemons_by_vm))
        return ceil((target_limit or DEFAULT_CONNECTIONS_PER_TARGET) / vm_count)

    async def acquire(
        self, target: Target, must_be_recent: bool = False, must_be_new: bool = False
    ) -> Connection:
        """Return a connection to a target; see `TargetPool.acquire`."""
        pool = self.pool_of(target)
        return await pool.acquire(
            target.name, self.limit_of(target), must_be_recent, must_be_new
        )

    async def prune_forever(self) -> None:
        """Close unneeded idle connections at intervals, until cancelled.

        These are the expired and unusable ones, and all of a target that is not live.
        The pool of such a target is removed once it has no open connections.
        """
        while True:
            await sleep(PRUNE_INTERVAL_S)
            listed_urls = {
                target.url
                for targets in self.listing.targets_by_service.values()
                for target in targets.values()
                if target.state == "live"
            }
            for url, pool in list(self.pools_by_url.items()):
                pool.prune(current_time())
                if url not in listed_urls:
                    pool.close_idle(lambda item: True)
                    if not pool.open_count:
                        del self.pools_by_url[url]

    def close(self) -> None:
        """Close all idle connections."""
        for pool in self.pools_by_url.values():
            pool.close_idle(lambda item: True)


class Prunable(Protocol):
    """Pools whose unneeded idle connections are closed at intervals."""

    async def prune_forever(self) -> None:
        """Close unneeded idle connections at intervals, until cancelled."""

    def close(self) -> None:
        """Close all idle connections."""


P = TypeVar("P", bound=Prunable)


@asynccontextmanager
async def run_pools(pools: P, events: EventLog) -> AsyncIterator[P]:
    """Prune the pools during the context, then close their idle connections."""
    async with run_background(events) as background:
        background.keep_running(pools.prune_forever)
        try:
            yield pools
        finally:
            pools.close()
