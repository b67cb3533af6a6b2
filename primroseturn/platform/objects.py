"""Client of the platform's object API."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import Any, NamedTuple

from anyio import fail_after
from httpx import AsyncClient, HTTPError, Limits, Response
from msgspec import DecodeError, Struct, ValidationError
from msgspec.json import decode

from primroseturn.failures import Failure, StoreUnavailable
from primroseturn.platform.wire import OBJECTS_PATH
from primroseturn.store.metrics import STORE_CALLS

GONE_STATUS = 410


class HistoryLost(Failure):
    """The store no longer has the changes after a revision."""

    code = "history-lost"

    def __init__(self, revision: int) -> None:
        super().__init__(f"the history after revision {revision} is gone")
        self.revision = revision


class MetadataWire(Struct, frozen=True):
    """What the store keeps about an object."""

    name: str
    revision: int = 0
    # The revision at which the object was created.
    create_rev: int = 0


class ObjectWire(Struct, frozen=True):
    """An object. Its value may be of any type, since others write it."""

    metadata: MetadataWire
    spec: Any = None


class EventWire(Struct, frozen=True):
    """A change of an object."""

    object: ObjectWire
    deleted: bool = False


class PageWire(Struct, frozen=True):
    """A page of a list."""

    items: list[ObjectWire]
    more: bool = False
    # The store's revision at the time of the answer.
    store_revision: int = 0


class EventsWire(Struct, frozen=True):
    """The answer to a watch."""

    events: list[EventWire]
    store_revision: int


class StoredValue(NamedTuple):
    """A value in the store under its name, with the revision of its last change."""

    name: str
    revision: int
    value: Any


class ValueChange(NamedTuple):
    """A change of a value. A deleted one may have no value."""

    stored: StoredValue
    deleted: bool


class ObjectClient:
    """Calls the object API over HTTP.

    Attributes
    ----------
    failure_listeners
        Called with each failed call.
    """

    def __init__(self, http: AsyncClient, call_limit_s: float) -> None:
        self.http = http
        self.call_limit_s = call_limit_s
        self.failure_listeners: list[Callable[[StoreUnavailable], None]] = []

    async def read(self, kind: str, name: str) -> StoredValue | None:
        """Return a value, or None if it does not exist."""
        response = await self.call("GET", f"{OBJECTS_PATH}/{kind}/{name}")
        if response.status_code == 404:
            return None
        return stored_of(self.parse(response, ObjectWire))

    async def list_values(
        self, kind: str, stale: bool = False
    ) -> tuple[int, list[StoredValue]]:
        """Return the revision to watch from and all values of a kind.

        The revision is that of the first page, so that a watch shows all that
        changed while later pages were read.

        Parameters
        ----------
        stale
            Whether values that are seconds old will do.
        """
        found: list[StoredValue] = []
        revision = None
        query: dict[str, Any] = {"serializable": 1} if stale else {}
        while True:
            path = f"{OBJECTS_PATH}/{kind}"
            response = await self.call("GET", path, params=query)
            page = self.parse(response, PageWire)
            revision = page.store_revision if revision is None else revision
            found.extend(stored_of(item) for item in page.items)
            if not page.more or not page.items:
                return revision, found
            query["after"] = found[-1].name

    async def watch(
        self, kind: str, revision: int, wait_s: float
    ) -> tuple[int, list[ValueChange]]:
        """Wait for changes of a kind after a revision.

        Returns
        -------
        tuple
            The revision to continue from and the changes, which may be none.

        Raises
        ------
        HistoryLost
            If a new list is needed.
        """
        query = {"watch": revision, "wait_ms": int(wait_s * 1000)}
        path = f"{OBJECTS_PATH}/{kind}"
        limit_s = wait_s + self.call_limit_s
        response = await self.call("GET", path, limit_s, params=query)
        if response.status_code == GONE_STATUS:
            raise HistoryLost(revision)
        page = self.parse(response, EventsWire)
        changes = [ValueChange(stored_of(e.object), e.deleted) for e in page.events]
        return page.store_revision, changes

    async def put(self, kind: str, name: str, value: Any) -> None:
        """Write a value whether it exists or not.

        Raises
        ------
        StoreUnavailable
            If the value may not be written.
        """
        body = {"metadata": {"name": name}, "spec": value}
        path = f"{OBJECTS_PATH}/{kind}"
        response = await self.call("PUT", f"{path}/{name}", json=body)
        if response.status_code == 404:
            response = await self.call("POST", path, json=body)
        if response.status_code not in (200, 201, 409):
            raise self.failed(response, f"status {response.status_code}")

    async def delete(self, kind: str, name: str) -> None:
        """Delete a value if it exists."""
        response = await self.call("DELETE", f"{OBJECTS_PATH}/{kind}/{name}")
        if response.status_code not in (200, 204, 404):
            raise self.failed(response, f"status {response.status_code}")

    def parse(self, response: Response, kind: type[Any]) -> Any:
        """Decode an answer, which may come from something else than the store."""
        if response.status_code != 200:
            raise self.failed(response, f"status {response.status_code}")
        try:
            return decode(response.content, type=kind)
        except (DecodeError, ValidationError, UnicodeDecodeError) as error:
            raise self.failed(response, f"answer not readable: {error}") from error

    def failed(self, response: Response, detail: str) -> StoreUnavailable:
        """Return the failure for an answer that cannot be used."""
        request = response.request
        failure = StoreUnavailable(f"{request.method} {request.url.path}", detail, True)
        self.announce(failure)
        return failure

    def announce(self, failure: StoreUnavailable) -> None:
        """Tell the listeners of a failed call."""
        for listener in self.failure_listeners:
            listener(failure)

    async def call(
        self, method: str, path: str, limit_s: float | None = None, **options: Any
    ) -> Response:
        """Send one call and return its answer if that is not a server error."""
        limit_s = limit_s or self.call_limit_s
        operation = f"{method} {path}"
        write = method != "GET"
        try:
            # httpx limits the time between bytes only, hence the limit on the whole.
            with fail_after(limit_s):
                response = await self.http.request(
                    method, path, timeout=limit_s, **options
                )
        except (HTTPError, TimeoutError) as error:
            STORE_CALLS.labels(method, "lost").inc()
            failure = StoreUnavailable(operation, type(error).__name__, write)
            self.announce(failure)
            raise failure from error
        refused = response.status_code == 429
        failed = refused or response.status_code >= 500
        STORE_CALLS.labels(method, "failed" if failed else "answered").inc()
        if failed:
            detail = f"status {response.status_code}"
            # The platform states that nothing was done after 429 and 503.
            unknown = write and response.status_code not in (429, 503)
            failure = StoreUnavailable(operation, detail, unknown)
            self.announce(failure)
            raise failure
        return response


def stored_of(wire: ObjectWire) -> StoredValue:
    """Return the value of a decoded object."""
    return StoredValue(wire.metadata.name, wire.metadata.revision, wire.spec)


@asynccontextmanager
async def open_objects(url: str, call_limit_s: float) -> AsyncIterator[ObjectClient]:
    """Provide a client for the life of the context."""
    limits = Limits(max_connections=8, max_keepalive_connections=4)
    async with AsyncClient(base_url=url, limits=limits) as http:
        yield ObjectClient(http, call_limit_s)
