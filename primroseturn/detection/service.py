"""Kernel service that sends and receives evidence digests."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from primroseturn.detection.digest_exchange import DigestExchange, Peers
from primroseturn.kernel.background import run_background
from primroseturn.kernel.kernel import Kernel
from primroseturn.kernel.registry import service
from primroseturn.membership.listing import Listing
from primroseturn.settings.models import Identity


def listed_peers(listing: Listing, identity: Identity) -> Peers:
    """Return the live VMs of the list as peers."""
    live = [
        item
        for item in listing.daemons_by_vm.values()
        if item.state == "live" and item.vm != identity.vm
    ]
    near = [item.vm for item in live if item.data_center == identity.data_center]
    return Peers(near, [item.vm for item in live if item.vm not in near])


@service("digests", needs=("settings", "events", "dispatcher", "listing"))
@asynccontextmanager
async def provide_digests(kernel: Kernel) -> AsyncIterator[DigestExchange | None]:
    """Send and receive evidence digests over the bus if the process has one."""
    bus = kernel.services_by_name.get("bus")
    if bus is None:
        yield None
        return
    identity, listing = kernel.find("settings").identity, kernel.find("listing")
    membership = kernel.services_by_name.get("membership")

    def find_peers() -> Peers:
        listed = listed_peers(listing, identity)
        if membership is None:
            return listed
        near = membership.peers_of_data_center()
        far = set(membership.peers_of_other_regions())
        # VMs of the other data centres of the region get these digests, too.
        region = {
            item.vm
            for item in listing.daemons_by_vm.values()
            if item.region == identity.region
        }
        far |= set(listed.far) & region
        return Peers(near, sorted(far - set(near)))

    exchange = DigestExchange(bus, kernel.find("dispatcher").monitor, find_peers)
    async with run_background(kernel.find("events")) as background:
        background.keep_running(exchange.run)
        yield exchange
