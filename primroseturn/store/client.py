"""Client of the platform's object API.

An object's version is the revision of its last change. Every call has a timeout. Writes
are conditional. A write whose response was lost raises `StoreUnavailable` with
``maybe_applied``; the caller must read the object to learn whether it was written.
"""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import NamedTuple

from httpx import AsyncClient, Limits

from primroseturn.failures import StoreUnavailable
from primroseturn.kernel.kernel import Kernel
from primroseturn.kernel.registry import service
from primroseturn.platform.objects import HistoryLost, ObjectClient
from primroseturn.platform.pages import StoredValue, StoreRevision
from primroseturn.settings.models import StoreSettings
from primroseturn.store.budget import CallBudget

WATCH_TIMEOUT_S = 30.0
# The object API stores text; latin-1 maps each byte of a value to one character.
TEXT_ENCODING = "latin-1"


class StoredObject(NamedTuple):
    """An object in the store: its key, version and value."""

    key: str
    version: int
    value: bytes


class WatchEvent(NamedTuple):
    """A change of one object, as reported by a watch.

    Attributes
    ----------
    version
        Version of the object after the change, which equals `revision`.
    revision
        Store-wide revision of the change.
    deleted
        Whether the change deleted the object.
    """

    key: str
    version: int
    revision: int
    deleted: bool


class StoreClient:
    """Reads and writes the objects in the platform's object API by key.

    The part of a key before the first slash is the kind of the object, the rest is
    its name.
    """

    def __init__(self, objects: ObjectClient) -> None:
        self.objects = objects

    @property
    def failure_listeners(self) -> list[Callable[[StoreUnavailable], None]]:
        """Listeners that are called with the failure of each failed call."""
        return self.objects.failure_listeners

    def set_fleet_size(self, daemon_count: int) -> None:
        """Divide the fleet's budgets of reads and writes by the number of daemons."""
        self.objects.read_budget.set_fleet_size(daemon_count)
        self.objects.write_budget.set_fleet_size(daemon_count)

    async def read(self, key: str) -> StoredObject | None:
        """Return an object, or None if it does not exist."""
        found = await self.objects.read(*split_key(key))
        return None if found is None else to_stored_object(key, found)

    async def create(self, key: str, value: bytes) -> int:
        """Create an object and return its version.

        Raises
        ------
        VersionConflict
            If it exists.
        """
        text = value.decode(TEXT_ENCODING)
        return (await self.objects.create(*split_key(key), text)).number

    async def update(self, key: str, value: bytes, version: int) -> int:
        """Replace the object that is at `version` and return its new version.

        Raises
        ------
        VersionConflict
            If it is at another version.
        """
        text, expected = value.decode(TEXT_ENCODING), self.revision_of(version)
        return (await self.objects.replace(*split_key(key), text, expected)).number

    async def delete(self, key: str, version: int) -> None:
        """Delete the object that is at `version`."""
        await self.objects.delete(*split_key(key), self.revision_of(version))

    def revision_of(self, version: int) -> StoreRevision:
        """Return the revision that a version names; daemons know no eras."""
        return StoreRevision(self.objects.era, version)

    async def list_objects(self, prefix: str, after: str = "") -> list[StoredObject]:
        """Return all objects whose key has a prefix and sorts after `after`."""
        return (await self.list_with_revision(prefix, after))[1]

    async def list_with_revision(
        self, prefix: str, after: str = ""
    ) -> tuple[int, list[StoredObject]]:
        """Return the revision to watch from, and the objects whose key has a prefix.

        The revision is that of the first page, so that a watch reports all changes
        made while later pages were read.
        """
        kind, name_prefix = split_key(prefix)
        after_name = split_key(after)[1] if after else ""
        revision, values = await self.objects.list_values(kind, after=after_name)
        found = [
            to_stored_object(f"{kind}/{value.name}", value)
            for value in values
            if value.name.startswith(name_prefix)
        ]
        return revision.number, found

    async def watch(
        self, prefix: str, revision: int, timeout_s: float = WATCH_TIMEOUT_S
    ) -> tuple[int, list[WatchEvent]]:
        """Wait for changes after `revision` of objects whose key has a prefix.

        Returns
        -------
        tuple
            The new revision and the changes. There may be none: after `timeout_s`, or
            if only other objects of the kind changed.

        Raises
        ------
        StoreUnavailable
            If a call fails, or if the store no longer has the history since
            `revision`, so that the caller has to list the objects again.
        """
        kind, name_prefix = split_key(prefix)
        try:
            reached, changes = await self.objects.watch(
                kind, self.revision_of(revision), timeout_s
            )
        except HistoryLost as failure:
            raise StoreUnavailable(f"watch {prefix}", str(failure), False) from failure
        events = [
            WatchEvent(
                f"{kind}/{change.stored.name}",
                change.stored.revision.number,
                change.stored.revision.number,
                change.deleted,
            )
            for change in changes
            if change.stored.name.startswith(name_prefix)
        ]
        return reached.number, events


def split_key(key: str) -> tuple[str, str]:
    """Return the kind and the name of an object's key."""
    kind, _, name = key.partition("/")
    return kind, name


def to_stored_object(key: str, value: StoredValue) -> StoredObject:
    """Return the stored object for a value of the object API."""
    return StoredObject(
        key, value.revision.number, str(value.value).encode(TEXT_ENCODING)
    )


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
