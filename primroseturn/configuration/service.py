"""Kernel services that update the replica, the VM lists and the withdrawals."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import NamedTuple

from primroseturn.configuration.follower import Follower
from primroseturn.configuration.listings import ListingRelay
from primroseturn.configuration.relay import Relay
from primroseturn.configuration.replica import Replica
from primroseturn.configuration.start import start_from_peers
from primroseturn.configuration.storage import SnapshotWriter
from primroseturn.configuration.withdrawals import Withdrawals
from primroseturn.kernel.background import run_background
from primroseturn.kernel.kernel import Kernel
from primroseturn.kernel.registry import service


class ConfigurationComponents(NamedTuple):
    """Components of the kernel service ``configuration``."""

    relay: Relay
    listing_relay: ListingRelay
    follower: Follower

    @property
    def has_configuration(self) -> bool:
        """Whether a configuration was installed since the start."""
        return self.relay.has_configuration


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
    """Provide the forwarding, comparison and recording of withdrawals."""
    async with run_background(kernel.find("events")) as background:
        withdrawals = Withdrawals(
            kernel.find("bus"),
            kernel.find("membership"),
            kernel.find("replica"),
            kernel.find("store"),
            kernel.find("events"),
            background,
        )
        heartbeats = kernel.find("heartbeats")
        heartbeats.catch_up_by_name["withdrawals"] = withdrawals.catch_up
        background.keep_running(withdrawals.record_pending)
        yield withdrawals


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
async def provide_configuration(
    kernel: Kernel,
) -> AsyncIterator[ConfigurationComponents]:
    """Update the configuration from the store on watchers, and from peers elsewhere."""
    settings = kernel.find("settings")
    bus, events = kernel.find("bus"), kernel.find("events")
    store, members = kernel.find("store"), kernel.find("membership")
    replica, listing = kernel.find("replica"), kernel.find("listing")
    async with run_background(events) as background:
        relay = Relay(bus, members, replica, background)
        listing_relay = ListingRelay(bus, listing, relay, background)
        writer = SnapshotWriter(store, f"{bus.vm}-{bus.incarnation}", events)
        follower = Follower(
            store,
            replica,
            members,
            kernel.find("freshness"),
            relay,
            listing_relay,
            writer,
            events,
            settings.keys.isolation_limit_s,
        )
        heartbeats = kernel.find("heartbeats")
        heartbeats.catch_up_by_name["configuration"] = relay.catch_up
        heartbeats.catch_up_by_name["listings"] = listing_relay.catch_up
        members.subscribe(
            lambda: store.set_fleet_size(len(members.listing.daemons_by_vm))
        )
        seeds = [seed.vm for seed in settings.control.seeds]

        async def run() -> None:
            # If no peer has a configuration, the follower installs that of the store.
            await background.run_task(
                start_from_peers, relay, listing_relay, store, seeds, events
            )
            # `follow_lists` reads only while the log can be read.
            background.keep_running(follower.follow_log)
            background.keep_running(follower.follow_lists)

        background.keep_running(replica.listeners.repeat_forever)
        background.keep_running(listing.listeners.repeat_forever)
        background.start_soon(run)
        yield ConfigurationComponents(relay, listing_relay, follower)
