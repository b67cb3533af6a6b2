"""Snapshots of the configuration in the store."""

from anyio import to_thread
from msgspec import MsgspecError, Struct
from msgspec.json import decode, encode

from primroseturn.configuration.events import SNAPSHOT_WRITTEN
from primroseturn.configuration.snapshot import (
    encode_group,
    group_buckets,
    join_parts,
    STORE_PART_BYTES,
)
from primroseturn.configuration.state import ConfigurationState
from primroseturn.failures import VersionConflict
from primroseturn.observation.events import EventLog
from primroseturn.store.client import StoreClient

SNAPSHOT_PREFIX = "config/snapshot/"
NEWEST_KEY = f"{SNAPSHOT_PREFIX}newest"
SNAPSHOT_CHANGES = 500
# A watcher of the next rank writes only when the better ranked ones have not.
RANK_CHANGES = 100


class SnapshotPointer(Struct, frozen=True, forbid_unknown_fields=True):
    """Content of the object that names the newest complete snapshot.

    The writer is part of the key of its parts, so that the parts of two writers of
    the same version never mix.
    """

    version: int
    writer: str
    parts: int

    def key(self, part: int) -> str:
        """Return the key of a part."""
        return f"{SNAPSHOT_PREFIX}{self.version:012d}/{self.writer}-{part:06d}"


async def read_pointer(store: StoreClient) -> tuple[int, SnapshotPointer | None]:
    """Return the version of the naming object in the store, and its content."""
    found = await store.read(NEWEST_KEY)
    if found is None:
        return 0, None
    try:
        return found.version, decode(found.value, type=SnapshotPointer)
    except (MsgspecError, UnicodeDecodeError):
        return found.version, None


async def load_snapshot(store: StoreClient) -> ConfigurationState | None:
    """Return the newest snapshot, or None if there is none that is complete."""
    _, place = await read_pointer(store)
    if place is None:
        return None
    contents = []
    for number in range(place.parts):
        part = await store.read(place.key(number))
        if part is None:
            return None
        contents.append(part.value)
    joined = await to_thread.run_sync(join_parts, contents)
    return joined.ok if joined.is_ok() else None


class SnapshotWriter:
    """Writes a snapshot when enough changes were accepted since the last one."""

    def __init__(self, store: StoreClient, writer: str, events: EventLog) -> None:
        self.store = store
        self.writer = writer
        self.events = events
        self.known_version = 0

    async def write_if_due(self, state: ConfigurationState, rank: int) -> bool:
        """Write a snapshot unless a newer one is there or it is not yet due."""
        due = SNAPSHOT_CHANGES + rank * RANK_CHANGES
        if state.version - self.known_version < due:
            return False
        object_version, place = await read_pointer(self.store)
        self.known_version = place.version if place else 0
        if state.version - self.known_version < due:
            return False
        return await self.write(state, object_version, place)

    async def write(
        self,
        state: ConfigurationState,
        object_version: int,
        former: SnapshotPointer | None,
    ) -> bool:
        """Write the parts, then name the snapshot, then delete the former one."""
        groups = group_buckets(state, STORE_PART_BYTES)
        place = SnapshotPointer(state.version, self.writer, len(groups))
        for number, group in enumerate(groups):
            try:
                await self.store.create(place.key(number), encode_group(state, group))
            except VersionConflict:
                # Written by an earlier try of this process; the content is the same.
                continue
        try:
            if object_version:
                await self.store.update(NEWEST_KEY, encode(place), object_version)
            else:
                await self.store.create(NEWEST_KEY, encode(place))
        except VersionConflict:
            return False
        self.known_version = state.version
        self.events.emit(SNAPSHOT_WRITTEN, version=state.version, parts=place.parts)
        if former is not None:
            await self.delete(former)
        return True

    async def delete(self, place: SnapshotPointer) -> None:
        """Delete the parts of a snapshot that is named no longer."""
        for number in range(place.parts):
            key = place.key(number)
            found = await self.store.read(key)
            if found is not None:
                try:
                    await self.store.delete(key, found.version)
                except VersionConflict:
                    continue
