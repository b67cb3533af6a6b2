"""Client of the platform's object API.

Every call has a deadline. Writes are conditional. A write whose answer was lost
raises `StoreUnavailable` with ``maybe_applied``; the caller resolves it by reading.
"""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from time import perf_counter
from typing import Any, NamedTuple

from anyio import fail_after
from httpx import AsyncClient, HTTPError, Limits, Response

from primroseturn.failures import StoreUnavailable, VersionConflict
from primroseturn.kernel.kernel import Kernel
from primroseturn.kernel.registry import service
from primroseturn.settings.models import StoreSettings
from primroseturn.store.budget import CallBudget
from primroseturn.store.metrics import STORE_CALLS, STORE_SECONDS

WATCH_LIMIT_S = 30.0
UNLIMITED_CALLS_PER_S = 1e9


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
    """Calls the object API over HTTP."""

    def __init__(
        self,
        http: AsyncClient,
        call_limit_s: float,
        reads: CallBudget | None = None,
        writes: CallBudget | None = None,
    ) -> None:
        self.http = http
        self.call_limit_s = call_limit_s
        self.failure_listeners: list[Callable[[StoreUnavailable], None]] = []
        self.reads = reads or CallBudget(UNLIMITED_CALLS_PER_S)
        self.writes = writes or CallBudget(UNLIMITED_CALLS_PER_S)

    def set_fleet_size(self, daemons: int) -> None:
        """Share the fleet's budget of calls among so many daemons."""
        self.reads.set_fleet_size(daemons)
        self.writes.set_fleet_size(daemons)

    async def read(self, key: str) -> StoredObject | None:
        """Return an object, or None if it does not exist."""
        response = await self.call("GET", f"/objects/{key}")
        if response.status_code == 404:
            return None
        version = int(response.headers["etag"].strip('"'))
        return StoredObject(key, version, response.content)

    async def create(self, key: str, value: bytes) -> int:
        """Create an object and return its version.

        Raises
        ------
        VersionConflict
            If it exists.
        """
        return await self.put(key, value, 0, {"if-none-match": "*"})

    async def update(self, key: str, value: bytes, version: int) -> int:
        """Replace the object that is at `version` and return its new version.

        Raises
        ------
        VersionConflict
            If it is at another version.
        """
        return await self.put(key, value, version, {"if-match": f'"{version}"'})

    async def delete(self, key: str, version: int) -> None:
        """Delete the object that is at `version`."""
        headers = {"if-match": f'"{version}"'}
        response = await self.call("DELETE", f"/objects/{key}", headers=headers)
        if response.status_code == 412:
            raise VersionConflict(key, version)

    async def list_objects(self, prefix: str, after: str = "") -> list[StoredObject]:
        """Return all objects below a prefix whose key sorts after `after`."""
        return (await self.list_at(prefix, after))[1]

    async def list_at(
        self, prefix: str, after: str = ""
    ) -> tuple[int, list[StoredObject]]:
        """Return the objects below a prefix and the revision to watch from.

        The revision is that of the first page, so that a watch shows all that
        changed while later pages were read.
        """
        found: list[StoredObject] = []
        revision = None
        while True:
            query = {"prefix": prefix, "after": after}
            response = await self.call("GET", "/list", params=query)
            page = response.json()
            revision = page["revision"] if revision is None else revision
            for item in page["objects"]:
                value = item["value"].encode("latin-1")
                found.append(StoredObject(item["key"], item["version"], value))
            if not page["more"]:
                return revision, found
            after = found[-1].key

    async def watch(
        self, prefix: str, revision: int, limit_s: float = WATCH_LIMIT_S
    ) -> tuple[int, list[WatchEvent]]:
        """Wait for changes below a prefix after `revision`.

        Returns
        -------
        tuple
            The new revision and the events, which may be none after `limit_s`.
        """
        query = {"prefix": prefix, "revision": revision, "wait_s": limit_s}
        limit_s = limit_s + self.call_limit_s
        response = await self.call("GET", "/watch", limit_s=limit_s, params=query)
        page = response.json()
        events = [
            WatchEvent(item["key"], item["version"], item["revision"], item["deleted"])
            for item in page["events"]
        ]
        return page["revision"], events

    async def put(
        self, key: str, value: bytes, expected: int, headers: dict[str, str]
    ) -> int:
        """Send a conditional write."""
        response = await self.call(
            "PUT", f"/objects/{key}", headers=headers, content=value
        )
        if response.status_code == 412:
            raise VersionConflict(key, expected)
        return int(response.headers["etag"].strip('"'))

    async def call(self, method: str, path: str, **options: Any) -> Response:
        """Send one call and tell the listeners if it fails."""
        try:
            return await self.send_call(method, path, **options)
        except StoreUnavailable as failure:
            for listener in self.failure_listeners:
                listener(failure)
            raise

    async def send_call(
        self, method: str, path: str, limit_s: float | None = None, **options: Any
    ) -> Response:
        """Send one call and return its answer if that is not a server error."""
        write = method in ("PUT", "DELETE")
        operation = f"{method} {path}"
        budget = self.writes if write else self.reads
        if not await budget.acquire(self.call_limit_s):
            STORE_CALLS.labels(method, "over-budget").inc()
            raise StoreUnavailable(operation, "over the budget of calls", False)
        timeout = limit_s or self.call_limit_s
        started = perf_counter()
        try:
            # httpx limits the time between bytes only, hence the limit on the whole.
            with fail_after(timeout):
                response = await self.http.request(
                    method, path, timeout=timeout, **options
                )
        except (HTTPError, TimeoutError) as error:
            STORE_CALLS.labels(method, "lost").inc()
            detail = type(error).__name__
            raise StoreUnavailable(operation, detail, write) from error
        if limit_s is None:
            STORE_SECONDS.observe(perf_counter() - started)
        refused = response.status_code == 429
        budget.note_answer(refused)
        failed = refused or response.status_code >= 500
        STORE_CALLS.labels(method, "failed" if failed else "answered").inc()
        if failed:
            detail = f"status {response.status_code}"
            raise StoreUnavailable(operation, detail, write and not refused)
        return response


def create_client(http: AsyncClient, settings: StoreSettings) -> StoreClient:
    """Return a client that calls the store through `http`."""
    return StoreClient(
        http,
        settings.call_limit_s,
        CallBudget(settings.fleet_reads_per_s),
        CallBudget(settings.fleet_writes_per_s),
    )


@service("store", needs=("settings",))
@asynccontextmanager
async def provide_store(kernel: Kernel) -> AsyncIterator[StoreClient]:
    """Provide a client for the store of the settings."""
    settings = kernel.find("settings").store
    limits = Limits(max_connections=64, max_keepalive_connections=16)
    async with AsyncClient(base_url=settings.url, limits=limits) as http:
        yield create_client(http, settings)
