"""Commits changes of claim slots by conditional updates, and splits full slots."""

from collections.abc import Callable
from math import ceil, log2
from typing import NamedTuple

from anyio import Lock
from msgspec.json import decode, encode

from primroseturn.claims.messages import ClaimReply, ClaimRequest
from primroseturn.claims.metrics import COMMITS
from primroseturn.claims.slots import (
    apply_change,
    bits_of,
    decode_slot,
    encode_slot,
    Layout,
    LAYOUT_KEY,
    Slot,
    SLOT_PREFIX,
)
from primroseturn.clock import Clock
from primroseturn.failures import StoreUnavailable, VersionConflict
from primroseturn.store.client import StoreClient

SPLIT_BYTES = 700_000
VALUE_LIMIT_BYTES = 1_000_000
COMMIT_ATTEMPTS = 12
RETRY_DELAY_S = 0.02
# Wall clocks of VMs may differ by this much before an entry is removed too early.
RETENTION_MARGIN_S = 3600.0


class SlotMoved(Exception):
    """The slot was split; its entries are in its children."""


class CachedSlot(NamedTuple):
    """A slot as last read or written."""

    version: int
    slot: Slot
    fresh: bool


class SlotCommitter:
    """Reads, changes and splits slots. Nothing here relies on being the only one."""

    def __init__(
        self,
        store: StoreClient,
        clock: Clock,
        unix_time: Callable[[], float],
        slots: int,
        retention_s: float,
        split_bytes: int = SPLIT_BYTES,
    ) -> None:
        self.store = store
        self.clock = clock
        self.unix_time = unix_time
        self.depth_wanted = max(0, ceil(log2(slots)))
        self.depth: int | None = None
        self.depth_lock = Lock()
        self.retention_s = retention_s
        self.split_bytes = split_bytes
        self.held_by_prefix: dict[str, CachedSlot] = {}
        self.split_prefixes: set[str] = set()

    async def locate(self, operation_id: str) -> str:
        """Return the prefix of the slot that holds an operation, as far as known."""
        if self.depth is None:
            async with self.depth_lock:
                # Whoever waited for the lock finds the depth set.
                if self.depth is None:
                    self.depth = await self.read_depth()
        bits, depth = bits_of(operation_id), self.depth
        while bits[:depth] in self.split_prefixes:
            depth += 1
        return bits[:depth]

    async def read_depth(self) -> int:
        """Return the depth of the first slots, recorded by whoever came first."""
        stored = await self.store.read(LAYOUT_KEY)
        if stored is None:
            try:
                await self.store.create(LAYOUT_KEY, encode(Layout(self.depth_wanted)))
            except VersionConflict:
                pass
            stored = await self.store.read(LAYOUT_KEY)
        if stored is None:
            raise StoreUnavailable(f"GET {LAYOUT_KEY}", "not there", False)
        return decode(stored.value, type=Layout).depth

    async def commit(
        self, prefix: str, changes: list[ClaimRequest]
    ) -> list[ClaimReply]:
        """Apply changes to a slot in one conditional update.

        Raises
        ------
        SlotMoved
            If the slot was split; locate the operations again.
        StoreUnavailable
            If the store did not answer; any part may have been applied.
        """
        for attempt in range(COMMIT_ATTEMPTS):
            if attempt:
                await self.clock.sleep(RETRY_DELAY_S * attempt)
            try:
                held = await self.hold(prefix)
                replies = await self.try_commit(prefix, held, changes)
            except (VersionConflict, StoreUnavailable) as failure:
                # Reading again tells whether a write without an answer applied.
                self.held_by_prefix.pop(prefix, None)
                lost = isinstance(failure, StoreUnavailable)
                if lost and not failure.maybe_applied:
                    raise
                continue
            if replies is not None:
                return replies
        raise StoreUnavailable(f"PUT {SLOT_PREFIX}{prefix}", "too many conflicts", True)

    async def hold(self, prefix: str) -> CachedSlot:
        """Return the slot, read from the store unless it is held."""
        held = self.held_by_prefix.get(prefix)
        if held is None:
            stored = await self.store.read(SLOT_PREFIX + prefix)
            version = stored.version if stored else 0
            slot = decode_slot(stored.value) if stored else Slot()
            held = self.held_by_prefix[prefix] = CachedSlot(version, slot, True)
        return held

    async def try_commit(
        self, prefix: str, held: CachedSlot, changes: list[ClaimRequest]
    ) -> list[ClaimReply] | None:
        """Commit against a held slot. None if the slot must be held again."""
        if held.slot.state == "split":
            del self.held_by_prefix[prefix]
            self.split_prefixes.add(prefix)
            raise SlotMoved
        if held.slot.state == "splitting":
            await self.finish_split(prefix, held)
            return None
        entries, replies = self.apply(held.slot, changes)
        if entries == held.slot.entries_by_id:
            if held.fresh or all(item.verdict == "recorded" for item in replies):
                self.held_by_prefix[prefix] = held._replace(fresh=False)
                return replies
            # An outcome may have been recorded since the slot was read.
            del self.held_by_prefix[prefix]
            return None
        slot = Slot("open", entries)
        value = encode_slot(slot)
        if len(value) > VALUE_LIMIT_BYTES:
            await self.begin_split(prefix, held)
            return None
        version = await self.put(prefix, value, held.version)
        COMMITS.labels("slot").inc()
        held = self.held_by_prefix[prefix] = CachedSlot(version, slot, False)
        if len(value) > self.split_bytes:
            await self.split_after_commit(prefix, held)
        return replies

    def apply(
        self, slot: Slot, changes: list[ClaimRequest]
    ) -> tuple[dict, list[ClaimReply]]:
        """Return the entries after the changes, without expired ones, and replies."""
        now = int(self.unix_time())
        oldest = now - self.retention_s - RETENTION_MARGIN_S
        entries = {
            key: entry
            for key, entry in slot.entries_by_id.items()
            if entry.at_unix_s >= oldest
        }
        replies: list[ClaimReply] = []
        for change in changes:
            key = change.operation_id
            entry, reply = apply_change(entries.get(key), change, now)
            if entry is not None:
                entries[key] = entry
            replies.append(reply)
        return entries, replies

    async def put(self, prefix: str, value: bytes, version: int) -> int:
        """Write a slot that is at `version`, or create it."""
        key = SLOT_PREFIX + prefix
        if version:
            return await self.store.update(key, value, version)
        return await self.store.create(key, value)

    async def split_after_commit(self, prefix: str, held: CachedSlot) -> None:
        """Split a slot that has grown, without failing what was committed."""
        try:
            await self.begin_split(prefix, held)
        except (VersionConflict, StoreUnavailable):
            # Whoever holds the slot next goes on from where this stopped.
            self.held_by_prefix.pop(prefix, None)

    async def begin_split(self, prefix: str, held: CachedSlot) -> None:
        """Freeze a slot and move its entries to its children."""
        slot = Slot("splitting", held.slot.entries_by_id)
        version = await self.put(prefix, encode_slot(slot), held.version)
        await self.finish_split(prefix, CachedSlot(version, slot, False))

    async def finish_split(self, prefix: str, held: CachedSlot) -> None:
        """Create the children from the frozen entries and mark the slot `split`.

        Every step may be repeated by any VM: a child that exists is left as it is, as
        it was created from the same entries and may have changed since. Slots are
        never deleted, so that a delayed creation cannot bring old entries back.
        """
        for bit in "01":
            child = prefix + bit
            entries = {
                key: entry
                for key, entry in held.slot.entries_by_id.items()
                if bits_of(key).startswith(child)
            }
            try:
                await self.put(child, encode_slot(Slot("open", entries)), 0)
            except VersionConflict:
                continue
        self.held_by_prefix.pop(prefix, None)
        await self.put(prefix, encode_slot(Slot("split")), held.version)
        COMMITS.labels("split").inc()
        self.split_prefixes.add(prefix)
