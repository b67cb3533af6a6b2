"""Relays changes of the VM lists between daemons, and fetches missed lists."""

from zlib import compress, decompressobj, error as zlib_error

from anyio import current_time
from msgspec import MsgspecError
from msgspec.msgpack import decode, encode

from primroseturn.configuration.messages import (
    ListingChange,
    ListingDelta,
    ListingFetch,
)
from primroseturn.configuration.relay import OTHER_REGION_DELAY_S, Relay
from primroseturn.control.bus import Bus, Sender
from primroseturn.control.messages import MessageInvalid
from primroseturn.kernel.background import Background
from primroseturn.membership.listing import ENTRY_LIST, Listing
from primroseturn.membership.messages import Heartbeat

FETCH_TIMEOUT_S = 2.0
# Time in which a change of a list usually arrives through the relay tree. A VM waits
# for it before it fetches differing lists from a peer.
LIST_RELAY_DELAY_S = 0.5
MAX_DECOMPRESSED_BYTES = 8_000_000
NO_NEWER_LIST = ListingChange("", 0, 0, b"")


class ListingRelay:
    """Relays changes of the VM lists down the relay tree and fetches missed lists.

    Attributes
    ----------
    changed_at
        Monotonic time in seconds when a list last changed here.
    fetching_peers
        Names of the VMs from which lists are being fetched.
    """

    def __init__(
        self, bus: Bus, listing: Listing, relay: Relay, background: Background
    ) -> None:
        self.bus = bus
        self.listing = listing
        self.relay = relay
        self.background = background
        self.changed_at = float("-inf")
        self.fetching_peers: set[str] = set()
        bus.register_handler(ListingChange, self.accept)
        bus.register_handler(ListingFetch, self.reply_to_fetch)
        listing.subscribe(self.record_change_time)

    def record_change_time(self, name: str) -> None:
        """Record the time of a change of a list."""
        self.changed_at = current_time()

    async def install(self, name: str, version: int, content: bytes) -> None:
        """Install a list that this VM read from the store, and relay the change."""
        base_version = self.listing.versions_by_list.get(name, 0)
        before = dict(self.listing.items_by_name(name))
        if not self.listing.install(name, version, content):
            return
        after = self.listing.items_by_name(name)
        change = create_change(name, base_version, version, before, after)
        await self.publish(change)

    async def publish(self, change: ListingChange) -> None:
        """Start the relay of a change in this region."""
        receivers = dict.fromkeys(
            [*self.relay.relay_roots(), *self.relay.relay_children()]
        )
        receivers.pop(self.bus.vm, None)
        await self.relay_to(change, list(receivers))

    async def accept(self, sender: Sender, change: ListingChange) -> None:
        """Apply and relay a change, or fetch lists if an earlier change is missing."""
        if self.apply(change):
            await self.relay_to(change, self.relay.relay_children())
        elif change.version > self.listing.versions_by_list.get(change.name, 0):
            self.start_fetch(sender.vm)

    def apply(self, change: ListingChange) -> bool:
        """Apply a change, and return whether it was applied.

        A change is applied if it is new and starts from the known version or from the
        empty list.
        """
        version = self.listing.versions_by_list.get(change.name, 0)
        if change.version <= version or change.base_version not in (0, version):
            return False
        try:
            content = decompressobj().decompress(change.content, MAX_DECOMPRESSED_BYTES)
            delta = decode(content, type=ListingDelta)
        except (MsgspecError, zlib_error, RecursionError):
            return False
        members = {}
        if change.base_version:
            members = dict(self.listing.items_by_name(change.name))
        for name in delta.removed:
            members.pop(name, None)
        members.update({item.vm: item for item in delta.vms})
        members.update({item.name: item for item in delta.targets})
        items = list(members.values())
        return self.listing.replace(change.name, change.version, items)

    async def relay_to(self, change: ListingChange, peers: list[str]) -> None:
        """Send a change to the named peers."""
        for peer in peers:
            try:
                await self.bus.send(peer, change)
            except MessageInvalid:
                # The change is too large for a message; peers read such a list from
                # the store.
                return

    async def catch_up(self, peer: str, heartbeat: Heartbeat) -> bool:
        """Start to fetch a peer's lists if they differ from those of this VM.

        The fetch starts only if no list has changed here for `fetch_delay`, or if this
        VM has no lists.

        Returns
        -------
        bool
            Always True: a peer's heartbeat counts even while its lists differ.
        """
        if heartbeat.listing_hash != self.listing.versions_hash:
            is_due = current_time() - self.changed_at >= self.fetch_delay(peer)
            if is_due or not self.listing.versions_by_list:
                self.start_fetch(peer)
        return True

    def fetch_delay(self, peer: str) -> float:
        """Return how long to wait for the relay before a fetch, in seconds."""
        members = self.relay.members
        listed_peer = self.listing.daemons_by_vm.get(peer)
        in_other_region = (
            listed_peer is not None and listed_peer.region != members.this.region
        )
        if in_other_region and not members.is_watcher():
            return OTHER_REGION_DELAY_S
        return LIST_RELAY_DELAY_S

    def start_fetch(self, peer: str) -> None:
        """Fetch lists from a peer in the background, unless a fetch is running."""
        if peer not in self.fetching_peers:
            self.fetching_peers.add(peer)
            self.background.start_soon(self.fetch, peer)

    async def fetch(self, peer: str) -> None:
        """Fetch and apply all newer lists of a peer."""
        try:
            while True:
                request = ListingFetch(dict(self.listing.versions_by_list))
                result = await self.bus.request(peer, request, FETCH_TIMEOUT_S)
                if result.is_error() or not isinstance(result.ok, ListingChange):
                    return
                if not result.ok.version or not self.apply(result.ok):
                    return
                if self.relay.members.is_watcher():
                    # A watcher relays fetched lists to the other VMs of its region.
                    await self.publish(result.ok)
        finally:
            self.fetching_peers.discard(peer)

    async def reply_to_fetch(
        self, sender: Sender, request: ListingFetch
    ) -> ListingChange:
        """Reply with one list that is newer than the peer's, or `NO_NEWER_LIST`."""
        for name, version in self.listing.versions_by_list.items():
            if version > request.versions_by_list.get(name, 0):
                after = self.listing.items_by_name(name)
                return create_change(name, 0, version, {}, after)
        return NO_NEWER_LIST


def create_change(
    name: str, base_version: int, version: int, before: dict, after: dict
) -> ListingChange:
    """Return the message with the difference between two versions of a list."""
    changed = [entry for key, entry in after.items() if before.get(key) != entry]
    removed = [key for key in before if key not in after]
    is_entry_list = name == ENTRY_LIST
    delta = ListingDelta(
        changed if is_entry_list else [], [] if is_entry_list else changed, removed
    )
    return ListingChange(name, base_version, version, compress(encode(delta)))
