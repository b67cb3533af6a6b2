"""Client of the platform's object API.

Every call has a deadline. Writes are conditional. A write whose answer was lost
raises `StoreUnavailable` with ``maybe_applied``; the caller resolves it by reading.
"""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import NamedTuple

from httpx import AsyncClient, Limits

from primroseturn.failures import StoreUnavailable
from primroseturn.kernel.kernel import Kernel
from primroseturn.kernel.registry import service
from primroseturn.platform.objects import HistoryLost, ObjectClient, StoredValue
from primroseturn.settings.models import StoreSettings
from primroseturn.store.budget import CallBudget

WATCH_LIMIT_S = 30.0
# Values are bytes; the object API keeps text.
TEXT = "latin-1"


class StoredObject(NamedTuple):
    """A value in the store and its version."""

    key: str
    version: int
    value: bytes


class WatchEvent(NamedTuple):
    """A change seen by a watch. `revision` is the store-wide position."""

    key: str
    version: int
    revision: int
    deleted: bool


class StoreClient:
    """Objects by key, kept in the platform's object API.

    The first part of a key is the kind of its object, the rest is the name.
    """

    def __init__(self, objects: ObjectClient) -> None:
        self.objects = objects

    @property
    def failure_listeners(self) -> list[Callable[[StoreUnavailable], None]]:
        """Return what is called with each failed call."""
        return self.objects.failure_listeners

    def set_fleet_size(self, daemons: int) -> None:
        """Share the fleet's budget of calls among so many daemons."""
        self.objects.reads.set_fleet_size(daemons)
        self.objects.writes.set_fleet_size(daemons)

    async def read(self, key: str) -> StoredObject | None:
        """Return an object, or None if it does not exist."""
        found = await self.objects.read(*split_key(key))
        return None if found is None else stored_object(key, found)

    async def create(self, key: str, value: bytes) -> int:
        """Create an object and return its version.

        Raises
        ------
        VersionConflict
            If it exists.
        """
        return await self.objects.create(*split_key(key), value.decode(TEXT))

    async def update(self, key: str, value: bytes, version: int) -> int:
        """Replace the object that is at `version` and return its new version.

        Raises
        ------
        VersionConflict
            If it is at another version.
        """
        return await self.objects.replace(*split_key(key), value.decode(TEXT), version)

    async def delete(self, key: str, version: int) -> None:
        """Delete the object that is at `version`."""
        await self.objects.delete(*split_key(key), version)

    async def list_objects(self, prefix: str, after: str = "") -> list[StoredObject]:
        """Return all objects below a prefix whose key sorts after `after`."""
        return (await self.list_with_revision(prefix, after))[1]

    async def list_with_revision(
        self, prefix: str, after: str = ""
    ) -> tuple[int, list[StoredObject]]:
        """Return the objects below a prefix and the revision to watch from.

        The revision is that of the first page, so that a watch shows all that
        changed while later pages were read.
        """
        kind, start = split_key(prefix)
        first = split_key(after)[1] if after else ""
        revision, values = await self.objects.list_values(kind, after=first)
        found = [
            stored_object(f"{kind}/{value.name}", value)
            for value in values
            if value.name.startswith(start)
        ]
        return revision, found

    async def watch(
        self, prefix: str, revision: int, limit_s: float = WATCH_LIMIT_S
    ) -> tuple[int, list[WatchEvent]]:
        """Wait for changes below a prefix after `revision`.

        Returns
        -------
        tuple
            The new revision and the events, which may be none after `limit_s`.

        Raises
        ------
        StoreUnavailable
            Also if the store has dropped its history; the caller lists again.
        """
        kind, start = split_key(prefix)
        try:
            revision, changes = await self.objects.watch(kind, revision, limit_s)
        except HistoryLost as failure:
            raise StoreUnavailable(f"watch {prefix}", str(failure), False) from failure
        events = [
            WatchEvent(
                f"{kind}/{change.stored.name}",
                change.stored.revision,
                change.stored.revision,
                change.deleted,
            )
            for change in changes
            if change.stored.name.startswith(start)
        ]
        return revision, events


def split_key(key: str) -> tuple[str, str]:
    """Return the kind and the name of an object's key."""
    kind, _, name = key.partition("/")
    return kind, name


def stored_object(key: str, value: StoredValue) -> StoredObject:
    """Return an object for a value of the object API."""
    return StoredObject(key, value.revision, str(value.value).encode(TEXT))


def create_client(http: AsyncClient, settings: StoreSettings) -> StoreClient:
    """Return a client that calls the store through `http`."""
    return StoreClient(
        ObjectClient(
            http,
            settings.call_limit_s,
            CallBudget(settings.fleet_reads_per_s),
            CallBudget(settings.fleet_writes_per_s),
        )
    )


@service("store", needs=("settings",))
@asynccontextmanager
async def provide_store(kernel: Kernel) -> AsyncIterator[StoreClient]:
    """Provide a client for the store of the settings."""
    settings = kernel.find("settings").store
    limits = Limits(max_connections=64, max_keepalive_connections=16)
    async with AsyncClient(base_url=settings.url, limits=limits) as http:
        yield create_client(http, settings)
