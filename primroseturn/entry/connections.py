"""Pools of connections to the listed targets."""

from contextlib import AbstractAsyncContextManager

from anyio import current_time, sleep

from primroseturn.entry.view import VmView
from primroseturn.membership.fleet import Fleet
from primroseturn.observation.events import EventLog
from primroseturn.requestpath.pool import (
    DEFAULT_CONNECTIONS_PER_TARGET,
    run_pools,
    TargetPool,
)
from primroseturn.routing.models import Target
from primroseturn.settings.models import UpstreamSettings

PRUNE_INTERVAL_S = 1.0
# Seconds after which an idle connection is closed. Targets close connections that were
# idle for 10 s, and some targets sooner.
IDLE_LIMIT_S = 4.0
# Seconds since the last use within which a connection may carry at-most-once requests.
OLD_CONNECTION_S = 2.5
# Connections that this VM may have to one target even if the target's connection limit
# divided by the number of VMs is smaller.
MIN_CONNECTIONS = 4
# Factor on a target's connection limit divided by the number of VMs, since VMs of other
# data centres seldom use their connections.
SHARE_FACTOR = 2

# Target id with start time, host and port.
Endpoint = tuple[str, str, int]


class TargetPools:
    """The connection pools of this VM, one for each start of a target at an address."""

    def __init__(self, view: VmView, fleet: Fleet) -> None:
        self.view = view
        self.fleet = fleet
        self.settings = UpstreamSettings(
            idle_limit_s=IDLE_LIMIT_S, old_connection_s=OLD_CONNECTION_S
        )
        self.pools_by_endpoint: dict[Endpoint, TargetPool] = {}

    def pool_of(self, target: Target) -> TargetPool:
        """Return the pool of a target."""
        endpoint = endpoint_of(target)
        pool = self.pools_by_endpoint.get(endpoint)
        if pool is None:
            url = f"http://{target.host}:{target.port}"
            pool = self.pools_by_endpoint[endpoint] = TargetPool(
                url, self.settings, None
            )
        return pool

    def limit_of(self, target: Target) -> int:
        """Return the number of connections that this VM may have to a target."""
        limit = DEFAULT_CONNECTIONS_PER_TARGET
        configuration = self.view.configuration
        if configuration is not None:
            limit = configuration.connections_by_service.get(target.service, limit)
        return max(MIN_CONNECTIONS, SHARE_FACTOR * limit // self.fleet.registered_count)

    async def prune_forever(self) -> None:
        """Close idle connections and drop the pools of unlisted or leaving targets."""
        while True:
            await sleep(PRUNE_INTERVAL_S)
            listed = {
                endpoint_of(target)
                for target in self.view.targets_by_id.values()
                if not target.leaving
            }
            for endpoint, pool in list(self.pools_by_endpoint.items()):
                pool.prune(current_time())
                if endpoint not in listed:
                    pool.close_idle(lambda item: True)
                    if not pool.open_count:
                        del self.pools_by_endpoint[endpoint]

    def close(self) -> None:
        """Close all idle connections."""
        for pool in self.pools_by_endpoint.values():
            pool.close_idle(lambda item: True)


def endpoint_of(target: Target) -> Endpoint:
    """Return the key of a pool, which is unique to a target's start and address."""
    return (f"{target.id}/{target.start_unix_ms}", target.host, target.port)


def run_target_pools(
    view: VmView, fleet: Fleet, events: EventLog
) -> AbstractAsyncContextManager[TargetPools]:
    """Return a context that prunes the pools, and closes them at its end."""
    return run_pools(TargetPools(view, fleet), events)
