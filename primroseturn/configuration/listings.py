"""Relays the VM lists between daemons."""

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

FETCH_LIMIT_S = 2.0
# Lists that differ for less time than this are on their way through the relay tree.
DIFFERENCE_DELAY_S = 0.5
CONTENT_LIMIT_BYTES = 8_000_000
NOTHING_NEWER = ListingChange("", 0, 0, b"")


class ListingRelay:
    """Sends differences of the VM lists down the relay tree and closes gaps."""

    def __init__(
        self, bus: Bus, listing: Listing, relay: Relay, background: Background
    ) -> None:
        self.bus = bus
        self.listing = listing
        self.relay = relay
        self.background = background
        self.changed_at = float("-inf")
        self.fetching: set[str] = set()
        bus.register_handler(ListingChange, self.accept)
        bus.register_handler(ListingFetch, self.reply_to_fetch)
        listing.subscribe(self.note_change)

    def note_change(self, name: str) -> None:
        """Remember when a list changed last."""
        self.changed_at = current_time()

    async def install(self, name: str, version: int, content: bytes) -> None:
        """Take over a list that this VM read from the store, and relay it."""
        base = self.listing.versions_by_list.get(name, 0)
        before = dict(self.listing.members_of(name))
        if not self.listing.install(name, version, content):
            return
        after = self.listing.members_of(name)
        change = create_change(name, base, version, before, after)
        await self.publish(change)

    async def publish(self, change: ListingChange) -> None:
        """Start the relay of a change in this region."""
        targets = dict.fromkeys(
            [*self.relay.relay_heads(), *self.relay.relay_children()]
        )
        targets.pop(self.bus.vm, None)
        await self.relay_to(change, list(targets))

    async def accept(self, sender: Sender, change: ListingChange) -> None:
        """Take over a relayed change and pass it on."""
        if self.take(change):
            await self.relay_to(change, self.relay.relay_children())
        elif change.version > self.listing.versions_by_list.get(change.name, 0):
            self.start_fetch(sender.vm)

    def take(self, change: ListingChange) -> bool:
        """Apply a change to the version that it starts from."""
        known = self.listing.versions_by_list.get(change.name, 0)
        if change.version <= known or change.base_version not in (0, known):
            return False
        try:
            plain = decompressobj().decompress(change.content, CONTENT_LIMIT_BYTES)
            delta = decode(plain, type=ListingDelta)
        except (MsgspecError, zlib_error, RecursionError):
            return False
        members = {}
        if change.base_version:
            members = dict(self.listing.members_of(change.name))
        for name in delta.removed:
            members.pop(name, None)
        members.update({item.vm: item for item in delta.vms})
        members.update({item.name: item for item in delta.targets})
        items = list(members.values())
        return self.listing.replace(change.name, change.version, items)

    async def relay_to(self, change: ListingChange, peers: list[str]) -> None:
        """Send a change to peers."""
        for peer in peers:
            try:
                await self.bus.send(peer, change)
            except MessageInvalid:
                # Too large for a message; such a list is read from the store.
                return

    async def catch_up(self, peer: str, heartbeat: Heartbeat) -> bool:
        """Fetch newer lists of a peer; the heartbeat counts in any case."""
        if heartbeat.listing_hash != self.listing.versions_hash:
            settled = current_time() - self.changed_at >= self.fetch_delay(peer)
            if settled or not self.listing.versions_by_list:
                self.start_fetch(peer)
        return True

    def fetch_delay(self, peer: str) -> float:
        """Return how long a difference is left to the relay."""
        members = self.relay.members
        known = self.listing.daemons_by_id.get(peer)
        other = known is not None and known.region != members.this.region
        if other and not members.is_watcher():
            return OTHER_REGION_DELAY_S
        return DIFFERENCE_DELAY_S

    def start_fetch(self, peer: str) -> None:
        """Fetch from a peer in the background, once at a time."""
        if peer not in self.fetching:
            self.fetching.add(peer)
            self.background.start_soon(self.fetch, peer)

    async def fetch(self, peer: str) -> None:
        """Take over all newer lists of a peer."""
        try:
            while True:
                asked = ListingFetch(dict(self.listing.versions_by_list))
                result = await self.bus.request(peer, asked, FETCH_LIMIT_S)
                if result.is_error() or not isinstance(result.ok, ListingChange):
                    return
                if not result.ok.version or not self.take(result.ok):
                    return
                if self.relay.members.is_watcher():
                    # The region's VMs get what its watcher fetched from another one.
                    await self.publish(result.ok)
        finally:
            self.fetching.discard(peer)

    async def reply_to_fetch(
        self, sender: Sender, asked: ListingFetch
    ) -> ListingChange:
        """Answer with one list that is newer than the peer's."""
        for name, version in self.listing.versions_by_list.items():
            if version > asked.versions_by_list.get(name, 0):
                after = self.listing.members_of(name)
                return create_change(name, 0, version, {}, after)
        return NOTHING_NEWER


def create_change(
    name: str, base: int, version: int, before: dict, after: dict
) -> ListingChange:
    """Return the difference between two versions of a list."""
    changed = [item for key, item in after.items() if before.get(key) != item]
    removed = [key for key in before if key not in after]
    entry = name == ENTRY_LIST
    delta = ListingDelta(changed if entry else [], [] if entry else changed, removed)
    return ListingChange(name, base, version, compress(encode(delta)))
