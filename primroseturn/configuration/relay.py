"""Relays accepted changes between daemons and fetches missed changes from peers."""

from collections.abc import Sequence
from zlib import compress, decompressobj, error as zlib_error

from anyio import current_time, Lock, sleep, to_thread
from expression import Error, Ok, Result
from msgspec import MsgspecError
from msgspec.msgpack import decode, encode

from primroseturn.configuration.messages import (
    ConfigurationChange,
    ConfigurationFetch,
    ConfigurationReply,
)
from primroseturn.configuration.models import Change
from primroseturn.configuration.replica import Replica
from primroseturn.configuration.snapshot import (
    encode_group,
    group_buckets,
    join_parts,
    MESSAGE_PART_BYTES,
    SnapshotInvalid,
)
from primroseturn.configuration.state import ConfigurationState
from primroseturn.control.bus import Bus, Sender
from primroseturn.control.messages import MessageInvalid
from primroseturn.failures import Failure
from primroseturn.kernel.background import Background
from primroseturn.membership.members import Members
from primroseturn.membership.messages import Heartbeat
from primroseturn.membership.rings import rank_names

FAN_OUT = 4
FETCH_TIMEOUT_S = 2.0
BATCH_LIMIT_BYTES = 150_000
MAX_PENDING_CHANGES = 1_000
MAX_RETAINED_SNAPSHOTS = 2
# Time before missed changes are fetched from another region over a metered link, so
# that a peer of the same region can deliver them first. Watchers do not wait.
OTHER_REGION_DELAY_S = 1.0
# Time in which changes usually arrive through the relay tree.
RELAY_DELAY_S = 0.1
MAX_DECOMPRESSED_BYTES = 4_000_000


class Relay:
    """Relays changes down the relay tree and fetches missed ones from peers.

    Attributes
    ----------
    pending_by_version
        Changes that arrived before their predecessors.
    behind_since
        Monotonic time in seconds when a peer first stated a newer version than this
        VM's, or None.
    snapshots_by_version
        Recent states that peers may still be fetching, each with its buckets grouped
        into parts.
    has_configuration
        Whether a configuration was installed since the start.
    """

    def __init__(
        self, bus: Bus, members: Members, replica: Replica, background: Background
    ) -> None:
        self.bus = bus
        self.members = members
        self.replica = replica
        self.background = background
        self.pending_by_version: dict[int, Change] = {}
        self.behind_since: float | None = None
        self.fetch_lock = Lock()
        self.snapshots_by_version: dict[int, tuple[ConfigurationState, list]] = {}
        self.has_configuration = False
        self.fetch_count = 0
        bus.register_handler(ConfigurationChange, self.accept)
        bus.register_handler(ConfigurationFetch, self.reply_to_fetch)

    async def accept(self, sender: Sender, message: ConfigurationChange) -> None:
        """Apply relayed changes and relay the new ones, or fetch missed ones."""
        for change in message.changes:
            if change.version > self.replica.state.version:
                self.pending_by_version[change.version] = change
        applied = self.apply_pending()
        if applied:
            await self.relay_to(applied, self.relay_children())
        elif self.pending_by_version:
            newest = max(self.pending_by_version)
            self.background.start_soon(self.fetch, sender.vm, newest)

    def apply_pending(self) -> list[Change]:
        """Apply the pending changes that follow the version in force.

        Pending changes that are in force already are dropped. If too many are pending,
        those with the highest versions are dropped.
        """
        applied = []
        while change := self.pending_by_version.pop(
            self.replica.state.version + 1, None
        ):
            self.replica.apply(change)
            applied.append(change)
        version = self.replica.state.version
        for pending in sorted(self.pending_by_version)[MAX_PENDING_CHANGES:]:
            del self.pending_by_version[pending]
        for pending in [old for old in self.pending_by_version if old <= version]:
            del self.pending_by_version[pending]
        return applied

    def relay_order(self, data_center: str) -> list[str]:
        """Return the live VMs of a data centre in the order of the relay tree."""
        names = [
            vm
            for vm, item in self.members.live_daemons().items()
            if item.data_center == data_center
        ]
        return rank_names(f"relay/{data_center}", names)

    def relay_children(self) -> list[str]:
        """Return the children of this VM in the relay tree of its data centre."""
        order = self.relay_order(self.members.this.data_center)
        position = order.index(self.members.this.vm)
        return order[FAN_OUT * position + 1 : FAN_OUT * position + FAN_OUT + 1]

    def relay_roots(self) -> list[str]:
        """Return the root of the relay tree of each data centre of this region."""
        region = self.members.this.region
        live = self.members.live_daemons().values()
        centers = {item.data_center for item in live if item.region == region}
        return [self.relay_order(center)[0] for center in sorted(centers)]

    async def publish(self, changes: Sequence[Change]) -> None:
        """Start the relay of changes that this VM read from the store or fetched."""
        receivers = dict.fromkeys([*self.relay_roots(), *self.relay_children()])
        receivers.pop(self.members.this.vm, None)
        await self.relay_to(changes, list(receivers))

    async def relay_to(self, changes: Sequence[Change], peers: list[str]) -> None:
        """Send changes to peers in messages of bounded size."""
        for batch in split_changes(changes):
            for peer in peers:
                try:
                    await self.bus.send(peer, ConfigurationChange(batch))
                except MessageInvalid:
                    # The change is too large for a message; peers read such a change
                    # from the store.
                    continue

    async def catch_up(self, peer: str, heartbeat: Heartbeat) -> bool:
        """Fetch the changes of a peer that this VM lacks.

        Returns
        -------
        bool
            Whether this VM then has at least the peer's version.
        """
        now = current_time()
        if heartbeat.version <= self.replica.state.version:
            self.behind_since = None
            return True
        if self.behind_since is None:
            self.behind_since = now
        remaining_s = self.behind_since + self.fetch_delay(peer) - now
        if remaining_s > RELAY_DELAY_S:
            return False
        if remaining_s > 0:
            await sleep(remaining_s)
        await self.fetch(peer, heartbeat.version)
        return heartbeat.version <= self.replica.state.version

    def fetch_delay(self, peer: str) -> float:
        """Return how long to wait for the relay before a fetch, in seconds."""
        listed_peer = self.members.listing.daemons_by_vm.get(peer)
        in_other_region = (
            listed_peer is not None and listed_peer.region != self.members.this.region
        )
        if in_other_region and not self.members.is_watcher():
            return OTHER_REGION_DELAY_S
        return RELAY_DELAY_S if self.has_configuration else 0.0

    async def fetch(self, peer: str, wanted_version: int) -> Result[int, Failure]:
        """Fetch the configuration of a peer, unless the wanted version is in force.

        Returns
        -------
        Result
            The version in force afterwards, or the failure.
        """
        async with self.fetch_lock:
            if self.has_configuration and self.replica.state.version >= wanted_version:
                return Ok(self.replica.state.version)
            self.fetch_count += 1
            while True:
                before = self.replica.state.version
                request = ConfigurationFetch(before)
                result = await self.bus.request(peer, request, FETCH_TIMEOUT_S)
                if result.is_error():
                    return result
                reply = result.ok
                if not isinstance(reply, ConfigurationReply):
                    return Error(SnapshotInvalid("unexpected reply"))
                applied = await self.apply_reply(peer, reply)
                if applied.is_error():
                    return applied
                version = self.replica.state.version
                if version >= reply.version or version == before:
                    return Ok(version)

    async def apply_reply(
        self, peer: str, reply: ConfigurationReply
    ) -> Result[None, Failure]:
        """Apply the changes in a reply, or fetch and install the offered snapshot."""
        if reply.snapshot_version:
            return await self.fetch_snapshot(peer, reply)
        if not reply.version:
            return Ok(None)
        changes = decode_changes(reply.content)
        if changes.is_error():
            return changes
        fetched = [
            change for change in changes.ok if self.replica.apply(change).is_ok()
        ]
        applied = fetched + self.apply_pending()
        self.has_configuration = True
        if applied and self.members.is_watcher():
            # The changes may have come over a metered link; the other VMs of the region
            # need not fetch them over it again.
            await self.publish(applied)
        return Ok(None)

    async def fetch_snapshot(
        self, peer: str, offer: ConfigurationReply
    ) -> Result[None, Failure]:
        """Fetch all parts of a snapshot and install it."""
        parts = []
        for number in range(offer.parts):
            request = ConfigurationFetch(0, offer.snapshot_version, number)
            result = await self.bus.request(peer, request, FETCH_TIMEOUT_S)
            if result.is_error():
                return result
            if result.ok.snapshot_version != offer.snapshot_version:
                return Error(SnapshotInvalid("the peer no longer has the snapshot"))
            parts.append(result.ok.content)
        joined = await to_thread.run_sync(join_parts, parts)
        if joined.is_error():
            return joined
        self.replica.install(joined.ok)
        self.apply_pending()
        self.has_configuration = True
        return Ok(None)

    async def reply_to_fetch(
        self, sender: Sender, request: ConfigurationFetch
    ) -> ConfigurationReply:
        """Reply with changes, with the offer of a snapshot, or with a snapshot part."""
        version = self.replica.state.version
        if request.snapshot_version:
            return self.create_part_reply(request)
        changes = self.replica.changes_after(request.after_version)
        if changes is not None:
            batch = next(iter(split_changes(changes)), [])
            return ConfigurationReply(version, 0, 0, compress(encode(batch)))
        self.retain_snapshot(self.replica.state)
        return ConfigurationReply(
            version, version, len(self.snapshots_by_version[version][1]), b""
        )

    def retain_snapshot(self, state: ConfigurationState) -> None:
        """Keep a state for peers that fetch it; states share unchanged buckets."""
        if state.version not in self.snapshots_by_version:
            groups = group_buckets(state, MESSAGE_PART_BYTES)
            self.snapshots_by_version[state.version] = (state, groups)
        while len(self.snapshots_by_version) > MAX_RETAINED_SNAPSHOTS:
            del self.snapshots_by_version[min(self.snapshots_by_version)]

    def create_part_reply(self, request: ConfigurationFetch) -> ConfigurationReply:
        """Return a part of a snapshot, or an empty reply if the snapshot is gone."""
        version = self.replica.state.version
        snapshot = self.snapshots_by_version.get(request.snapshot_version)
        if snapshot is None or not 0 <= request.part < len(snapshot[1]):
            return ConfigurationReply(version, 0, 0, b"")
        state, groups = snapshot
        content = encode_group(state, groups[request.part])
        return ConfigurationReply(version, state.version, len(groups), content)


def split_changes(changes: Sequence[Change]) -> list[list[Change]]:
    """Return the changes in batches that each fit into a message."""
    batches: list[list[Change]] = []
    batch_bytes = BATCH_LIMIT_BYTES
    for change in changes:
        size = len(encode(change))
        if batch_bytes + size > BATCH_LIMIT_BYTES:
            batches.append([])
            batch_bytes = 0
        batches[-1].append(change)
        batch_bytes += size
    return batches


def decode_changes(content: bytes) -> Result[list[Change], Failure]:
    """Decode compressed changes, up to a bounded size."""
    try:
        decompressed = decompressobj().decompress(content, MAX_DECOMPRESSED_BYTES)
        return Ok(decode(decompressed, type=list[Change]))
    except (MsgspecError, zlib_error, RecursionError) as error:
        return Error(SnapshotInvalid(str(error)))
