"""Connections to the listed targets."""

from contextlib import AbstractAsyncContextManager

from anyio import current_time, sleep

from primroseturn.entry.models import Target
from primroseturn.entry.view import FleetView
from primroseturn.membership.fleet import Fleet
from primroseturn.observation.events import EventLog
from primroseturn.requestpath.pool import (
    DEFAULT_CONNECTIONS_PER_TARGET,
    run_pools,
    TargetPool,
)
from primroseturn.settings.models import UpstreamSettings

PRUNE_INTERVAL_S = 1.0
# Targets close connections that were idle for ten seconds or, some, sooner.
IDLE_LIMIT_S = 4.0
# Work that must not repeat goes out on connections that were in use this recently.
PROVEN_LIMIT_S = 2.5
# Connections of this VM to one target, whatever its part of them is.
LEAST_CONNECTIONS = 4
# VMs of other data centres seldom use theirs, so a VM may use a multiple of its part.
USED_FACTOR = 2

Place = tuple[str, str, int]


class TargetPools:
    """The pools of this VM by target and address."""

    def __init__(self, view: FleetView, fleet: Fleet) -> None:
        self.view = view
        self.fleet = fleet
        self.settings = UpstreamSettings(
            idle_limit_s=IDLE_LIMIT_S, old_connection_s=PROVEN_LIMIT_S
        )
        self.pools_by_place: dict[Place, TargetPool] = {}

    def pool_of(self, target: Target) -> TargetPool:
        """Return the pool of a target."""
        place = place_of(target)
        pool = self.pools_by_place.get(place)
        if pool is None:
            url = f"http://{target.host}:{target.port}"
            pool = self.pools_by_place[place] = TargetPool(url, self.settings, None)
        return pool

    def limit_of(self, target: Target) -> int:
        """Return this VM's part of the target's connections."""
        limit = DEFAULT_CONNECTIONS_PER_TARGET
        configuration = self.view.configuration
        if configuration is not None:
            limit = configuration.connections_by_service.get(target.service, limit)
        return max(
            LEAST_CONNECTIONS, USED_FACTOR * limit // self.fleet.registered_count
        )

    async def prune_forever(self) -> None:
        """Close idle connections in time and forget targets that left."""
        while True:
            await sleep(PRUNE_INTERVAL_S)
            listed = {
                place_of(target)
                for target in self.view.targets_by_id.values()
                if not target.leaving
            }
            for place, pool in list(self.pools_by_place.items()):
                pool.prune(current_time())
                if place not in listed:
                    pool.close_idle(lambda item: True)
                    if not pool.opened:
                        del self.pools_by_place[place]

    def close(self) -> None:
        """Close all idle connections."""
        for pool in self.pools_by_place.values():
            pool.close_idle(lambda item: True)


def place_of(target: Target) -> Place:
    """Return what tells a start of a target at an address from any other."""
    return (f"{target.id}/{target.born_ms}", target.host, target.port)


def run_target_pools(
    view: FleetView, fleet: Fleet, events: EventLog
) -> AbstractAsyncContextManager[TargetPools]:
    """Return the context in which the pools are pruned, and closed at its end."""
    return run_pools(TargetPools(view, fleet), events)
