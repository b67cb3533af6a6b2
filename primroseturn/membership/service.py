"""Kernel services for the VM lists, membership, freshness and isolation."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from primroseturn.configuration.models import EntryVm
from primroseturn.kernel.background import run_background
from primroseturn.kernel.kernel import Kernel
from primroseturn.kernel.registry import service
from primroseturn.membership.freshness import Freshness
from primroseturn.membership.heartbeats import Heartbeats
from primroseturn.membership.isolation import Isolation
from primroseturn.membership.listing import Listing
from primroseturn.membership.members import Members
from primroseturn.membership.messages import Heartbeat


@service("listing")
@asynccontextmanager
async def provide_listing(kernel: Kernel) -> AsyncIterator[Listing]:
    """Provide the VM lists, which the configuration service updates."""
    yield Listing()


@service("freshness")
@asynccontextmanager
async def provide_freshness(kernel: Kernel) -> AsyncIterator[Freshness]:
    """Provide the freshness stamps."""
    yield Freshness()


def describe_vm(kernel: Kernel) -> EntryVm:
    """Return the record of this VM in the list of entry VMs."""
    settings = kernel.find("settings")
    identity, control = settings.identity, settings.control
    return EntryVm(
        identity.vm,
        control.address.host,
        kernel.find("bus").port,
        identity.data_center,
        identity.region,
        public_key=control.curve_public_key,
    )


@service("membership", needs=("settings", "bus", "listing"))
@asynccontextmanager
async def provide_membership(kernel: Kernel) -> AsyncIterator[Members]:
    """Provide this VM's view of the fleet."""
    interval_s = kernel.find("settings").control.heartbeat_interval_s
    yield Members(describe_vm(kernel), kernel.find("listing"), interval_s)


@service(
    "heartbeats",
    needs=("settings", "events", "bus", "membership", "replica", "freshness"),
)
@asynccontextmanager
async def provide_heartbeats(kernel: Kernel) -> AsyncIterator[Heartbeats]:
    """Exchange heartbeats with peers."""
    heartbeats = Heartbeats(
        kernel.find("bus"),
        kernel.find("membership"),
        kernel.find("replica"),
        kernel.find("freshness"),
        kernel.find("events"),
        kernel.find("settings").control.heartbeat_interval_s,
    )
    kernel.find("bus").register_handler(Heartbeat, heartbeats.process_heartbeat)
    async with run_background(kernel.find("events")) as background:
        background.keep_running(heartbeats.run)
        yield heartbeats


@service("isolation", needs=("settings", "events", "membership", "freshness"))
@asynccontextmanager
async def provide_isolation(kernel: Kernel) -> AsyncIterator[Isolation]:
    """Provide the decision whether requests with a caller key may be served."""
    yield Isolation(
        kernel.find("membership"),
        kernel.find("freshness"),
        kernel.find("settings").keys,
        kernel.find("events"),
    )
