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
    ClaimSlot,
    decode_slot,
    encode_slot,
    Layout,
    LAYOUT_KEY,
    SLOT_PREFIX,
)
from primroseturn.clock import Clock
from primroseturn.failures import StoreUnavailable, VersionConflict
from primroseturn.store.client import StoreClient

# A claim slot above this size is split after a commit.
MAX_SLOT_BYTES = 700_000
# A value above this size is not written; the claim slot is split first.
MAX_VALUE_BYTES = 1_000_000
MAX_COMMIT_ATTEMPTS = 12
RETRY_DELAY_S = 0.02
# Entries are kept for this much longer than their retention, because the wall clocks of
# VMs may differ by as much.
RETENTION_MARGIN_S = 3600.0


class SlotSplit(Exception):
    """The claim slot was split; its entries are in its children."""


class CachedSlot(NamedTuple):
    """A claim slot as last read or written.

    Attributes
    ----------
    fresh
        Whether the slot was read from the store and no reply was based on it since.
    """

    version: int
    slot: ClaimSlot
    fresh: bool


class SlotCommitter:
    """Reads, changes and splits claim slots. Several VMs may do so at the same time."""

    def __init__(
        self,
        store: StoreClient,
        clock: Clock,
        unix_time: Callable[[], float],
        slots: int,
        retention_s: float,
        split_bytes: int = MAX_SLOT_BYTES,
    ) -> None:
        self.store = store
        self.clock = clock
        self.unix_time = unix_time
        self.initial_depth = max(0, ceil(log2(slots)))
        self.depth: int | None = None
        self.depth_lock = Lock()
        self.retention_s = retention_s
        self.split_bytes = split_bytes
        self.cached_by_prefix: dict[str, CachedSlot] = {}
        self.split_prefixes: set[str] = set()

    async def locate(self, operation_id: str) -> str:
        """Return the prefix of the claim slot of an operation, as far as known."""
        if self.depth is None:
            async with self.depth_lock:
                # Another task may have set the depth during the wait for the lock.
                if self.depth is None:
                    self.depth = await self.read_depth()
        bits, depth = bits_of(operation_id), self.depth
        while bits[:depth] in self.split_prefixes:
            depth += 1
        return bits[:depth]

    async def read_depth(self) -> int:
        """Return the number of bits in the prefixes of the initial claim slots.

        The first VM that asks records it in the store.
        """
        stored = await self.store.read(LAYOUT_KEY)
        if stored is None:
            try:
                await self.store.create(LAYOUT_KEY, encode(Layout(self.initial_depth)))
            except VersionConflict:
                pass
            stored = await self.store.read(LAYOUT_KEY)
        if stored is None:
            raise StoreUnavailable(
                f"GET {LAYOUT_KEY}", "the object does not exist", False
            )
        return decode(stored.value, type=Layout).depth

    async def commit(
        self, prefix: str, changes: list[ClaimRequest]
    ) -> list[ClaimReply]:
        """Apply changes to a claim slot in one conditional update.

        Raises
        ------
        SlotSplit
            If the slot was split; locate the operations again.
        StoreUnavailable
            If the store gave no usable result, or the changes conflicted too often
            with those of other VMs. Any of the changes may have been applied:
            `maybe_applied` describes the last call only, not earlier attempts.
        """
        for attempt in range(MAX_COMMIT_ATTEMPTS):
            if attempt:
                await self.clock.sleep(RETRY_DELAY_S * attempt)
            try:
                cached = await self.load(prefix)
                replies = await self.try_commit(prefix, cached, changes)
            except (VersionConflict, StoreUnavailable) as failure:
                # Reading again shows whether a write without a response was applied.
                self.cached_by_prefix.pop(prefix, None)
                unanswered = isinstance(failure, StoreUnavailable)
                if unanswered and not failure.maybe_applied:
                    raise
                continue
            if replies is not None:
                return replies
        raise StoreUnavailable(f"PUT {SLOT_PREFIX}{prefix}", "too many conflicts", True)

    async def load(self, prefix: str) -> CachedSlot:
        """Return the slot, read from the store unless it is cached."""
        cached = self.cached_by_prefix.get(prefix)
        if cached is None:
            stored = await self.store.read(SLOT_PREFIX + prefix)
            version = stored.version if stored else 0
            slot = decode_slot(stored.value) if stored else ClaimSlot()
            cached = self.cached_by_prefix[prefix] = CachedSlot(version, slot, True)
        return cached

    async def try_commit(
        self, prefix: str, cached: CachedSlot, changes: list[ClaimRequest]
    ) -> list[ClaimReply] | None:
        """Commit to a cached slot. Returns None if the slot must be loaded again."""
        if cached.slot.state == "split":
            del self.cached_by_prefix[prefix]
            self.split_prefixes.add(prefix)
            raise SlotSplit
        if cached.slot.state == "splitting":
            await self.finish_split(prefix, cached)
            return None
        entries, replies = self.apply_changes(cached.slot, changes)
        if entries == cached.slot.entries_by_id:
            if cached.fresh or all(item.verdict == "recorded" for item in replies):
                self.cached_by_prefix[prefix] = cached._replace(fresh=False)
                return replies
            # An outcome may have been recorded since the slot was read.
            del self.cached_by_prefix[prefix]
            return None
        slot = ClaimSlot("open", entries)
        value = encode_slot(slot)
        if len(value) > MAX_VALUE_BYTES:
            await self.start_split(prefix, cached)
            return None
        version = await self.put(prefix, value, cached.version)
        COMMITS.labels("slot").inc()
        cached = self.cached_by_prefix[prefix] = CachedSlot(version, slot, False)
        if len(value) > self.split_bytes:
            await self.split_after_commit(prefix, cached)
        return replies

    def apply_changes(
        self, slot: ClaimSlot, changes: list[ClaimRequest]
    ) -> tuple[dict, list[ClaimReply]]:
        """Return the unexpired entries after the changes, and the replies."""
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

    async def split_after_commit(self, prefix: str, cached: CachedSlot) -> None:
        """Split a slot that has grown. An error does not affect what was committed."""
        try:
            await self.start_split(prefix, cached)
        except (VersionConflict, StoreUnavailable):
            # The next commit to the slot, by any VM, continues the split.
            self.cached_by_prefix.pop(prefix, None)

    async def start_split(self, prefix: str, cached: CachedSlot) -> None:
        """Freeze a slot and move its entries to its children."""
        slot = ClaimSlot("splitting", cached.slot.entries_by_id)
        version = await self.put(prefix, encode_slot(slot), cached.version)
        await self.finish_split(prefix, CachedSlot(version, slot, False))

    async def finish_split(self, prefix: str, cached: CachedSlot) -> None:
        """Create the children from the frozen entries and mark the slot `split`.

        Any VM may repeat each step: a child that exists is left unchanged, because it
        was created from the same entries and may have changed since. Slots are never
        deleted, so that a delayed creation cannot restore old entries.
        """
        for bit in "01":
            child = prefix + bit
            entries = {
                key: entry
                for key, entry in cached.slot.entries_by_id.items()
                if bits_of(key).startswith(child)
            }
            try:
                await self.put(child, encode_slot(ClaimSlot("open", entries)), 0)
            except VersionConflict:
                continue
        self.cached_by_prefix.pop(prefix, None)
        await self.put(prefix, encode_slot(ClaimSlot("split")), cached.version)
        COMMITS.labels("split").inc()
        self.split_prefixes.add(prefix)
