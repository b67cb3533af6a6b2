"""Relays accepted changes between daemons and fetches what was missed."""

from collections.abc import Sequence
from zlib import compress, decompressobj, error as zlib_error

from anyio import current_time, Lock, sleep, to_thread
from expression import Error, Ok, Result
from msgspec import MsgspecError
from msgspec.msgpack import decode, encode

from primroseturn.configuration.messages import (
    ConfigurationChange,
    ConfigurationFetch,
    ConfigurationPart,
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
FETCH_LIMIT_S = 2.0
BATCH_BYTES = 150_000
EARLY_CHANGES = 1_000
SNAPSHOTS_HELD = 2
# A gap that is fetched over a metered link first gets this time to be closed by a
# peer of the own region; watchers do not wait.
OTHER_REGION_DELAY_S = 1.0
# Changes on their way through the relay tree usually close a gap in this time.
RELAY_DELAY_S = 0.1
CONTENT_LIMIT_BYTES = 4_000_000


class Relay:
    """Sends changes down the relay tree and closes gaps from peers.

    Attributes
    ----------
    pending_by_version
        Changes that arrived before their predecessors.
    has_configuration
        Whether a configuration has been taken over since the start.
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
        self.fetching = Lock()
        self.held_by_version: dict[int, tuple[ConfigurationState, list]] = {}
        self.has_configuration = False
        self.fetches = 0
        bus.register_handler(ConfigurationChange, self.accept)
        bus.register_handler(ConfigurationFetch, self.reply_to_fetch)

    async def accept(self, sender: Sender, message: ConfigurationChange) -> None:
        """Apply relayed changes and pass on those that were new."""
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
        """Apply the held changes that follow the version in force."""
        applied = []
        while change := self.pending_by_version.pop(
            self.replica.state.version + 1, None
        ):
            self.replica.apply(change)
            applied.append(change)
        version = self.replica.state.version
        for held in sorted(self.pending_by_version)[EARLY_CHANGES:]:
            del self.pending_by_version[held]
        for held in [held for held in self.pending_by_version if held <= version]:
            del self.pending_by_version[held]
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
        """Return the VMs that this one passes changes on to."""
        order = self.relay_order(self.members.this.data_center)
        place = order.index(self.members.this.vm)
        return order[FAN_OUT * place + 1 : FAN_OUT * place + FAN_OUT + 1]

    def relay_heads(self) -> list[str]:
        """Return the first VM of each data centre of this region."""
        region = self.members.this.region
        live = self.members.live_daemons().values()
        centers = {item.data_center for item in live if item.region == region}
        return [self.relay_order(center)[0] for center in sorted(centers)]

    async def publish(self, changes: Sequence[Change]) -> None:
        """Start the relay of changes that this VM read from the store."""
        targets = dict.fromkeys([*self.relay_heads(), *self.relay_children()])
        targets.pop(self.members.this.vm, None)
        await self.relay_to(changes, list(targets))

    async def relay_to(self, changes: Sequence[Change], peers: list[str]) -> None:
        """Send changes to peers in messages of bounded size."""
        for batch in split_changes(changes):
            for peer in peers:
                try:
                    await self.bus.send(peer, ConfigurationChange(batch))
                except MessageInvalid:
                    # Too large for a message; such a change is read from the store.
                    continue

    async def catch_up(self, peer: str, heartbeat: Heartbeat) -> bool:
        """Return whether this VM has the version of a peer, fetching what it lacks."""
        now = current_time()
        if heartbeat.version <= self.replica.state.version:
            self.behind_since = None
            return True
        if self.behind_since is None:
            self.behind_since = now
        left_s = self.behind_since + self.fetch_delay(peer) - now
        if left_s > RELAY_DELAY_S:
            return False
        if left_s > 0:
            await sleep(left_s)
        await self.fetch(peer, heartbeat.version)
        return heartbeat.version <= self.replica.state.version

    def fetch_delay(self, peer: str) -> float:
        """Return how long a gap is left to the relay before a peer is asked."""
        known = self.members.listing.daemons_by_id.get(peer)
        other = known is not None and known.region != self.members.this.region
        if other and not self.members.is_watcher():
            return OTHER_REGION_DELAY_S
        return RELAY_DELAY_S if self.has_configuration else 0.0

    async def fetch(self, peer: str, wanted: int) -> Result[int, Failure]:
        """Take over what a peer has, unless the wanted version is in force.

        Returns
        -------
        Result
            The version in force afterwards.
        """
        async with self.fetching:
            if self.has_configuration and self.replica.state.version >= wanted:
                return Ok(self.replica.state.version)
            self.fetches += 1
            while True:
                before = self.replica.state.version
                asked = ConfigurationFetch(before)
                result = await self.bus.request(peer, asked, FETCH_LIMIT_S)
                if result.is_error():
                    return result
                part = result.ok
                if not isinstance(part, ConfigurationPart):
                    return Error(SnapshotInvalid("unexpected reply"))
                taken = await self.apply_part(peer, part)
                if taken.is_error():
                    return taken
                version = self.replica.state.version
                if version >= part.version or version == before:
                    return Ok(version)

    async def apply_part(
        self, peer: str, part: ConfigurationPart
    ) -> Result[None, Failure]:
        """Apply the changes of a reply, or fetch and install its snapshot."""
        if part.snapshot_version:
            return await self.fetch_snapshot(peer, part)
        if not part.version:
            return Ok(None)
        changes = decode_changes(part.content)
        if changes.is_error():
            return changes
        fetched = [
            change for change in changes.ok if self.replica.apply(change).is_ok()
        ]
        applied = fetched + self.apply_pending()
        self.has_configuration = True
        if applied and self.members.is_watcher():
            # The region's VMs get what its watcher fetched over a metered link.
            await self.publish(applied)
        return Ok(None)

    async def fetch_snapshot(
        self, peer: str, head: ConfigurationPart
    ) -> Result[None, Failure]:
        """Fetch all parts of a snapshot and install it."""
        contents = []
        for number in range(head.parts):
            asked = ConfigurationFetch(0, head.snapshot_version, number)
            result = await self.bus.request(peer, asked, FETCH_LIMIT_S)
            if result.is_error():
                return result
            if result.ok.snapshot_version != head.snapshot_version:
                return Error(SnapshotInvalid("the peer holds it no longer"))
            contents.append(result.ok.content)
        joined = await to_thread.run_sync(join_parts, contents)
        if joined.is_error():
            return joined
        self.replica.install(joined.ok)
        self.apply_pending()
        self.has_configuration = True
        return Ok(None)

    async def reply_to_fetch(
        self, sender: Sender, asked: ConfigurationFetch
    ) -> ConfigurationPart:
        """Answer with changes, with the offer of a snapshot, or with a part of it."""
        version = self.replica.state.version
        if asked.snapshot_version:
            return self.create_part_reply(asked)
        changes = self.replica.changes_after(asked.after_version)
        if changes is not None:
            batch = next(iter(split_changes(changes)), [])
            return ConfigurationPart(version, 0, 0, compress(encode(batch)))
        self.hold_snapshot(self.replica.state)
        return ConfigurationPart(
            version, version, len(self.held_by_version[version][1]), b""
        )

    def hold_snapshot(self, state: ConfigurationState) -> None:
        """Keep a state for the peers that fetch it; states share their buckets."""
        if state.version not in self.held_by_version:
            groups = group_buckets(state, MESSAGE_PART_BYTES)
            self.held_by_version[state.version] = (state, groups)
        while len(self.held_by_version) > SNAPSHOTS_HELD:
            del self.held_by_version[min(self.held_by_version)]

    def create_part_reply(self, asked: ConfigurationFetch) -> ConfigurationPart:
        """Return a part of a held snapshot, or an empty answer without its version."""
        version = self.replica.state.version
        held = self.held_by_version.get(asked.snapshot_version)
        if held is None or not 0 <= asked.part < len(held[1]):
            return ConfigurationPart(version, 0, 0, b"")
        state, groups = held
        content = encode_group(state, groups[asked.part])
        return ConfigurationPart(version, state.version, len(groups), content)


def split_changes(changes: Sequence[Change]) -> list[list[Change]]:
    """Return changes in batches that fit into a message."""
    batches: list[list[Change]] = []
    used = BATCH_BYTES
    for change in changes:
        size = len(encode(change))
        if used + size > BATCH_BYTES:
            batches.append([])
            used = 0
        batches[-1].append(change)
        used += size
    return batches


def decode_changes(content: bytes) -> Result[list[Change], Failure]:
    """Return the changes of compressed content of bounded size."""
    try:
        plain = decompressobj().decompress(content, CONTENT_LIMIT_BYTES)
        return Ok(decode(plain, type=list[Change]))
    except (MsgspecError, zlib_error, RecursionError) as error:
        return Error(SnapshotInvalid(str(error)))
