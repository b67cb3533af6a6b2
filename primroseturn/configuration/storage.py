"""Reads and writes snapshots of the configuration in the store."""

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
# Number of changes after which a new snapshot is written.
SNAPSHOT_INTERVAL_CHANGES = 500
# Further changes that a watcher waits for per rank, so that it writes a snapshot only
# if the watchers before it in rank did not.
RANK_DELAY_CHANGES = 100


class SnapshotPointer(Struct, frozen=True, forbid_unknown_fields=True):
    """Content of the object that names the newest complete snapshot.

    The keys of the parts contain the writer, so that parts of the same version by
    two writers are never mixed.

    Attributes
    ----------
    version
        Version of the state.
    writer
        VM name and incarnation of the writer.
    parts
        Number of parts.
    """

    version: int
    writer: str
    parts: int

    def key(self, part: int) -> str:
        """Return the store key of a part."""
        return f"{SNAPSHOT_PREFIX}{self.version:012d}/{self.writer}-{part:06d}"


async def read_pointer(store: StoreClient) -> tuple[int, SnapshotPointer | None]:
    """Return the object version and the content of the pointer in the store.

    The object version is 0 if there is no pointer. The content is None if there is no
    pointer or it cannot be decoded.
    """
    found = await store.read(NEWEST_KEY)
    if found is None:
        return 0, None
    try:
        return found.version, decode(found.value, type=SnapshotPointer)
    except (MsgspecError, UnicodeDecodeError):
        return found.version, None


async def load_snapshot(store: StoreClient) -> ConfigurationState | None:
    """Return the newest snapshot, or None if there is no complete and valid one."""
    _, pointer = await read_pointer(store)
    if pointer is None:
        return None
    contents = []
    for number in range(pointer.parts):
        part = await store.read(pointer.key(number))
        if part is None:
            return None
        contents.append(part.value)
    joined = await to_thread.run_sync(join_parts, contents)
    return joined.ok if joined.is_ok() else None


class SnapshotWriter:
    """Writes a snapshot when enough changes were accepted since the last one.

    Attributes
    ----------
    known_version
        Version of the newest snapshot in the store, as far as known.
    """

    def __init__(self, store: StoreClient, writer: str, events: EventLog) -> None:
        self.store = store
        self.writer = writer
        self.events = events
        self.known_version = 0

    async def write_if_due(self, state: ConfigurationState, rank: int) -> bool:
        """Write a snapshot if it is due, and return whether it was written.

        Parameters
        ----------
        rank
            Rank of this VM among the watchers of all regions; 0 writes first.
        """
        due_changes = SNAPSHOT_INTERVAL_CHANGES + rank * RANK_DELAY_CHANGES
        if state.version - self.known_version < due_changes:
            return False
        object_version, pointer = await read_pointer(self.store)
        self.known_version = pointer.version if pointer else 0
        if state.version - self.known_version < due_changes:
            return False
        return await self.write(state, object_version, pointer)

    async def write(
        self,
        state: ConfigurationState,
        object_version: int,
        former: SnapshotPointer | None,
    ) -> bool:
        """Write the parts, then the pointer, then delete the former snapshot.

        Returns
        -------
        bool
            Whether the pointer was written; False if another VM wrote it first.
        """
        groups = group_buckets(state, STORE_PART_BYTES)
        pointer = SnapshotPointer(state.version, self.writer, len(groups))
        for number, group in enumerate(groups):
            try:
                await self.store.create(pointer.key(number), encode_group(state, group))
            except VersionConflict:
                # An earlier attempt of this process wrote the same content.
                continue
        try:
            if object_version:
                await self.store.update(NEWEST_KEY, encode(pointer), object_version)
            else:
                await self.store.create(NEWEST_KEY, encode(pointer))
        except VersionConflict:
            return False
        self.known_version = state.version
        self.events.emit(SNAPSHOT_WRITTEN, version=state.version, parts=pointer.parts)
        if former is not None:
            await self.delete(former)
        return True

    async def delete(self, pointer: SnapshotPointer) -> None:
        """Delete the parts of a snapshot that the stored pointer no longer names."""
        for number in range(pointer.parts):
            key = pointer.key(number)
            found = await self.store.read(key)
            if found is not None:
                try:
                    await self.store.delete(key, found.version)
                except VersionConflict:
                    continue
