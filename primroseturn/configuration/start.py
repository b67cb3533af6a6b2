"""Fetches the configuration from peers when a daemon starts."""

from anyio import create_task_group
from msgspec import MsgspecError

from primroseturn.configuration.events import CONFIGURATION_INSTALLED
from primroseturn.configuration.listings import ListingRelay
from primroseturn.configuration.messages import ConfigurationFetch, ConfigurationReply
from primroseturn.configuration.relay import Relay
from primroseturn.failures import StoreUnavailable
from primroseturn.membership.listing import ENTRY_LIST, LIST_PREFIX
from primroseturn.membership.rings import PEER_LIMIT
from primroseturn.observation.events import EventLog
from primroseturn.store.client import StoreClient

VERSION_TIMEOUT_S = 1.0


async def request_versions(relay: Relay, peers: list[str]) -> dict[str, int]:
    """Return the version in force at each peer that replies."""
    versions_by_vm: dict[str, int] = {}

    async def request_version(peer: str) -> None:
        request = ConfigurationFetch(relay.replica.state.version)
        result = await relay.bus.request(peer, request, VERSION_TIMEOUT_S)
        if result.is_ok() and isinstance(result.ok, ConfigurationReply):
            versions_by_vm[peer] = result.ok.version

    async with create_task_group() as tasks:
        for peer in peers:
            tasks.start_soon(request_version, peer)
    return versions_by_vm


async def read_entry_list(store: StoreClient, listing_relay: ListingRelay) -> None:
    """Install the list of entry VMs of the store, if it can be read."""
    try:
        stored = await store.read(LIST_PREFIX + ENTRY_LIST)
        if stored is not None:
            listing_relay.listing.install(ENTRY_LIST, stored.version, stored.value)
    except (StoreUnavailable, MsgspecError, UnicodeDecodeError):
        return


async def start_from_peers(
    relay: Relay,
    listing_relay: ListingRelay,
    store: StoreClient,
    seeds: list[str],
    events: EventLog,
) -> None:
    """Install the newest configuration that any of the requested peers has.

    The requested peers are the VMs that this VM sends heartbeats to and the seeds, at
    most `PEER_LIMIT`. The list of entry VMs, which determines who receives heartbeats,
    is fetched from a seed or, if none has it, read from the store.
    """
    members = relay.members
    for seed in seeds:
        if not members.listing.daemons_by_vm:
            await listing_relay.fetch(seed)
    if not members.listing.daemons_by_vm:
        await read_entry_list(store, listing_relay)
    for peer, address in members.addresses().items():
        relay.bus.set_address(peer, address)
    peers = list(dict.fromkeys([*members.peers(), *seeds]))[:PEER_LIMIT]
    versions_by_vm = await request_versions(relay, peers)
    for peer in sorted(versions_by_vm, key=versions_by_vm.__getitem__, reverse=True):
        if not versions_by_vm[peer]:
            return
        if (await relay.fetch(peer, versions_by_vm[peer])).is_ok():
            version = relay.replica.state.version
            events.emit(CONFIGURATION_INSTALLED, version=version, peer=peer)
            return
