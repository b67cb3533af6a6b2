"""Kernel services that keep the replica, the VM lists and withdrawals up to date."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import NamedTuple

from anyio import create_task_group

from primroseturn.configuration.follower import Follower
from primroseturn.configuration.listings import ListingRelay
from primroseturn.configuration.relay import Relay
from primroseturn.configuration.replica import Replica
from primroseturn.configuration.start import start_from_peers
from primroseturn.configuration.storage import SnapshotWriter
from primroseturn.configuration.withdrawals import Withdrawals
from primroseturn.kernel.kernel import Kernel
from primroseturn.kernel.registry import service


class Configuration(NamedTuple):
    """The running parts of configuration."""

    relay: Relay
    listings: ListingRelay
    follower: Follower

    @property
    def installed(self) -> bool:
        """Whether a configuration has been taken over since the start."""
        return self.relay.installed


@service("replica")
@asynccontextmanager
async def provide_replica(kernel: Kernel) -> AsyncIterator[Replica]:
    """Provide this daemon's copy of the configuration."""
    yield Replica()


@service(
    "withdrawals",
    needs=("events", "bus", "store", "replica", "membership", "heartbeats"),
)
@asynccontextmanager
async def provide_withdrawals(kernel: Kernel) -> AsyncIterator[Withdrawals]:
    """Spread, compare and record withdrawals."""
    async with create_task_group() as tasks:
        withdrawals = Withdrawals(
            kernel.find("bus"),
            kernel.find("membership"),
            kernel.find("replica"),
            kernel.find("store"),
            kernel.find("events"),
            tasks,
        )
        heartbeats = kernel.find("heartbeats")
        heartbeats.catch_up_by_name["withdrawals"] = withdrawals.catch_up
        tasks.start_soon(withdrawals.record_pending)
        yield withdrawals
        tasks.cancel_scope.cancel()


@service(
    "configuration",
    needs=(
        "settings",
        "events",
        "bus",
        "store",
        "replica",
        "listing",
        "membership",
        "freshness",
        "heartbeats",
        "withdrawals",
    ),
)
@asynccontextmanager
async def provide_configuration(kernel: Kernel) -> AsyncIterator[Configuration]:
    """Follow the store on watchers and the peers everywhere else."""
    settings = kernel.find("settings")
    bus, events = kernel.find("bus"), kernel.find("events")
    store, members = kernel.find("store"), kernel.find("membership")
    replica = kernel.find("replica")
    async with create_task_group() as tasks:
        relay = Relay(bus, members, replica, tasks)
        listings = ListingRelay(bus, kernel.find("listing"), relay, tasks)
        writer = SnapshotWriter(store, f"{bus.vm}-{bus.incarnation}", events)
        follower = Follower(
            store,
            replica,
            members,
            kernel.find("freshness"),
            relay,
            listings,
            writer,
            events,
            settings.keys.isolation_limit_s,
        )
        heartbeats = kernel.find("heartbeats")
        heartbeats.catch_up_by_name["configuration"] = relay.catch_up
        heartbeats.catch_up_by_name["listings"] = listings.catch_up
        members.subscribe(
            lambda: store.set_fleet_size(len(members.listing.daemons_by_id))
        )
        seeds = [seed.vm for seed in settings.control.seeds]

        async def run() -> None:
            await start_from_peers(relay, listings, store, seeds, events)
            tasks.start_soon(follower.follow_lists)
            await follower.follow_log()

        tasks.start_soon(run)
        yield Configuration(relay, listings, follower)
        tasks.cancel_scope.cancel()
