"""Stand-in of the platform's object API, with seeded faults.

Objects are stored under the key ``KIND/NAME``. Tests write them directly with
`ObjectStore.write`.
"""

from random import Random
from typing import Any, NamedTuple

from anyio import current_time, Event, move_on_after, sleep, sleep_forever
from msgspec import Struct
from msgspec.json import decode

from primroseturn.platform.wire import OBJECTS_PATH, STORE_ERA
from primroseturn.serving.http import query_of, read_body, send_json, send_response

MAX_VALUE_BYTES = 1_048_576
MAX_PAGE_OBJECTS = 500
MAX_HISTORY_CHANGES = 10_000
# Number of slashes in the path of a list; the path of one object has one more.
LIST_SLASHES = OBJECTS_PATH.count("/") + 1


class StoreFaults(Struct):
    """Faults in force. A control call on ``/control/faults`` replaces them.

    Attributes
    ----------
    outage
        Whether every call is refused with 503.
    hang
        Whether no call gets a response.
    delay_s
        Delay of each call in seconds.
    lost_answer_share
        Share of writes that take effect but whose connection then breaks.
    late_share, late_s
        Share of writes that take effect `late_s` after they arrived, whose connection
        then breaks.
    silent_watches
        Whether watches receive no changes.
    calls_per_s
        Maximum rate of calls, above which they are refused with 429; 0 means no
        maximum. A waiting watch is one call.
    seed
        Seed of the shares.
    lost_reads
        Number of reads and lists to come that get no response.
    """

    outage: bool = False
    hang: bool = False
    delay_s: float = 0.0
    lost_answer_share: float = 0.0
    late_share: float = 0.0
    late_s: float = 1.0
    silent_watches: bool = False
    calls_per_s: float = 0.0
    seed: int = 1
    lost_reads: int = 0


class Entry(Struct):
    """A stored value, the revision of its last change and that of its creation.

    A value is text, stored as bytes, or any other JSON value.
    """

    version: int
    value: bytes
    created: int = 0

    @property
    def spec(self) -> Any:
        """Return the value as the object API shows it."""
        return (
            self.value.decode("latin-1")
            if isinstance(self.value, bytes)
            else (self.value)
        )


class Change(NamedTuple):
    """A change of an object at a revision of the store."""

    key: str
    revision: int
    entry: Entry
    deleted: bool


class StoreCopy(NamedTuple):
    """A copy of the objects and the revision at which it was made."""

    entries_by_key: dict[str, Entry]
    revision: int


class ObjectStore:
    """ASGI application that stores objects in memory.

    Attributes
    ----------
    history
        Newest changes, which watches receive.
    dropped_revision
        Revision of the newest change that is no longer in the history.
    stale_entries_by_key
        Objects that stale (`serializable`) lists show, or None if they show the newest
        ones.
    tokens, filled_at
        State of the token bucket for `StoreFaults.calls_per_s`.
    change_event
        Set when an object or the faults change.
    calls_by_kind
        Number of calls so far by operation: read, list, watch, write, or refused.
    cut_count
        How often the waiting watches were cut.
    era
        How often the store was rolled back, stated in all answers; None states none.
    """

    def __init__(self) -> None:
        self.entries_by_key: dict[str, Entry] = {}
        self.history: list[Change] = []
        self.dropped_revision = 0
        self.revision = 0
        self.stale_entries_by_key: dict[str, Entry] | None = None
        self.faults = StoreFaults()
        self.random = Random(1)
        self.tokens = 0.0
        self.filled_at: float | None = None
        self.change_event = Event()
        self.calls_by_kind: dict[str, int] = {}
        self.cut_count = 0
        self.era: int | None = None

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Handle one call."""
        if self.era is not None:
            send = with_header(send, STORE_ERA, str(self.era))
        if scope["type"] != "http":
            return
        path = scope["path"]
        if path.startswith("/control/"):
            await self.handle_control(path, receive, send)
            return
        await self.apply_delay()
        self.count_call(scope)
        if self.faults.outage:
            await send_response(send, 503)
            return
        if self.faults.lost_reads and is_read(scope):
            self.faults.lost_reads -= 1
            await sleep_forever()
        if not self.try_consume_token():
            self.count("refused")
            await send_response(send, 429)
            return
        if not path.startswith(f"{OBJECTS_PATH}/"):
            await send_response(send, 404)
            return
        kind, _, name = path.removeprefix(f"{OBJECTS_PATH}/").partition("/")
        if name:
            await self.handle_object(f"{kind}/{name}", scope, receive, send)
        elif scope["method"] == "POST":
            body = decode(await read_body(receive))
            await self.handle_create(f"{kind}/{body['metadata']['name']}", body, send)
        elif "watch" in query_of(scope):
            await self.handle_watch(kind, scope, send)
        else:
            await self.send_list(kind, scope, send)

    async def handle_control(self, path: str, receive: Any, send: Any) -> None:
        """Replace the faults on ``/control/faults``, and send the number of calls."""
        if path == "/control/faults":
            self.set_faults(decode(await read_body(receive), type=StoreFaults))
        await send_json(send, 200, self.calls_by_kind)

    def set_faults(self, faults: StoreFaults) -> None:
        """Replace the faults in force and restart their random sequence."""
        self.faults = faults
        self.tokens, self.filled_at = faults.calls_per_s, None
        self.random = Random(faults.seed)
        self.wake_watches()

    async def apply_delay(self) -> None:
        """Delay a call, or never return, as the faults in force say."""
        if self.faults.hang:
            await sleep_forever()
        if self.faults.delay_s:
            await sleep(self.faults.delay_s)

    def count_call(self, scope: dict[str, Any]) -> None:
        """Add a call to the counter of its operation; a waiting watch is one call."""
        query = query_of(scope)
        if scope["method"] != "GET":
            kind = "write"
        elif "watch" in query:
            kind = "watch"
        else:
            kind = "list" if scope["path"].count("/") == LIST_SLASHES else "read"
        self.count(kind)

    def count(self, kind: str) -> None:
        """Add one to a counter."""
        self.calls_by_kind[kind] = self.calls_by_kind.get(kind, 0) + 1

    def try_consume_token(self) -> bool:
        """Consume a token and return True if the maximum rate admits a call now."""
        rate = self.faults.calls_per_s
        if not rate:
            return True
        now = current_time()
        elapsed = 0.0 if self.filled_at is None else now - self.filled_at
        self.tokens = min(rate, self.tokens + elapsed * rate)
        self.filled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    async def handle_object(
        self, key: str, scope: Any, receive: Any, send: Any
    ) -> None:
        """Handle a call that reads, replaces or deletes one object."""
        entry = self.entries_by_key.get(key)
        if scope["method"] == "GET":
            if entry is None:
                await send_response(send, 404)
            else:
                await send_json(send, 200, describe(key, entry))
            return
        content = await read_body(receive)
        if len(content) > MAX_VALUE_BYTES:
            await send_response(send, 413)
        elif scope["method"] == "DELETE":
            revision = query_of(scope).get("revision")
            await self.apply(key, None, int(revision) if revision else None, send)
        elif self.entries_by_key.get(key) is None:
            await send_response(send, 404)
        else:
            body = decode(content)
            await self.apply(key, body["spec"], body["metadata"].get("revision"), send)

    async def handle_create(self, key: str, body: dict[str, Any], send: Any) -> None:
        """Handle a call that creates an object."""
        await self.apply(key, body["spec"], 0, send)

    async def apply(
        self, key: str, spec: Any, expected_revision: int | None, send: Any
    ) -> None:
        """Write or delete an object if it is at the expected revision.

        Parameters
        ----------
        spec
            New value, or None to delete the object.
        expected_revision
            Revision; 0 if the object must not exist, None for any revision.
        """
        is_late = self.random.random() < self.faults.late_share
        if is_late:
            await sleep(self.faults.late_s)
        entry = self.entries_by_key.get(key)
        version = entry.version if entry else 0
        if expected_revision is not None and expected_revision != version:
            body = describe(key, entry) if entry else {}
            await send_json(send, 409, body)
            return
        is_unchanged = entry is not None and spec == entry.spec
        if not is_unchanged:
            value = spec.encode("latin-1") if isinstance(spec, str) else spec
            written = self.write(key, value)
            entry = written or entry
        if is_late or self.random.random() < self.faults.lost_answer_share:
            raise ConnectionError("response lost by the fault in force")
        await send_json(send, 200, describe(key, entry) if entry else {})

    def write(self, key: str, value: Any) -> Entry | None:
        """Store a value, or delete the object if it is None, and wake the watches."""
        self.revision += 1
        old = self.entries_by_key.pop(key, None)
        # Versions come from the store-wide revision, so that an object that is
        # deleted and created again never shows an earlier version.
        entry = None
        if value is not None:
            created = old.created if old else self.revision
            entry = Entry(self.revision, value, created)
            self.entries_by_key[key] = entry
        elif old is None:
            return None
        changed_entry = entry or old
        assert changed_entry is not None
        self.history.append(Change(key, self.revision, changed_entry, value is None))
        if len(self.history) > MAX_HISTORY_CHANGES:
            self.dropped_revision = self.history[-MAX_HISTORY_CHANGES - 1].revision
            del self.history[:-MAX_HISTORY_CHANGES]
        self.wake_watches()
        return entry

    def save(self) -> StoreCopy:
        """Return a copy of the objects."""
        return StoreCopy(dict(self.entries_by_key), self.revision)

    def roll_back(self, copy: StoreCopy) -> None:
        """Return to a copy; revisions since are issued again, and an era begins."""
        self.entries_by_key = dict(copy.entries_by_key)
        self.revision = self.dropped_revision = copy.revision
        self.history.clear()
        self.era = (self.era or 0) + 1
        self.cut_watches()

    def drop_history(self) -> None:
        """Drop all changes from the history; watches from before now get 410."""
        self.history.clear()
        self.dropped_revision = self.revision
        self.wake_watches()

    def serve_stale_lists(self, stale: bool) -> None:
        """Make stale (`serializable`) lists show a copy of the objects, or the newest.

        Parameters
        ----------
        stale
            Whether these lists show the objects of this moment from now on.
        """
        self.stale_entries_by_key = dict(self.entries_by_key) if stale else None

    def wake_watches(self) -> None:
        """Make the waiting watches check the history again."""
        self.change_event.set()
        self.change_event = Event()

    def cut_watches(self) -> None:
        """Break the connections of the waiting watches."""
        self.cut_count += 1
        self.wake_watches()

    async def send_list(self, kind: str, scope: Any, send: Any) -> None:
        """Send one page of the objects of a kind."""
        query = query_of(scope)
        after = query.get("after", "")
        entries_by_key = self.entries_by_key
        if "serializable" in query and self.stale_entries_by_key is not None:
            entries_by_key = self.stale_entries_by_key
        names = sorted(
            name_of(key)
            for key in entries_by_key
            if key.startswith(f"{kind}/") and name_of(key) > after
        )
        items = [
            describe(key, entries_by_key[key])
            for key in (f"{kind}/{name}" for name in names[:MAX_PAGE_OBJECTS])
        ]
        has_more = len(names) > MAX_PAGE_OBJECTS
        page = {"items": items, "more": has_more, "store_revision": self.revision}
        await send_json(send, 200, page)

    def keys_of(self, kind: str) -> list[str]:
        """Return the keys of the objects of a kind."""
        return [key for key in self.entries_by_key if key.startswith(f"{kind}/")]

    async def handle_watch(self, kind: str, scope: Any, send: Any) -> None:
        """Send the changes of a kind after a revision once there are any.

        If there are none within the waiting time, the response has no changes.
        """
        query = query_of(scope)
        revision = int(query["watch"])
        changes: list[Change] = []
        cut_count = self.cut_count
        with move_on_after(int(query.get("wait_ms", "30000")) / 1000):
            while not changes and not self.faults.outage:
                if not self.dropped_revision <= revision <= self.revision:
                    await send_response(send, 410)
                    return
                changes = (
                    []
                    if self.faults.silent_watches
                    else [
                        change
                        for change in self.history
                        if change.revision > revision
                        and change.key.startswith(f"{kind}/")
                    ]
                )
                if not changes:
                    await self.change_event.wait()
                if self.cut_count != cut_count:
                    raise ConnectionError("watch cut")
        if self.faults.outage:
            await send_response(send, 503)
            return
        events = [
            {
                "object": describe(change.key, change.entry, change.revision),
                "deleted": change.deleted,
            }
            for change in changes
        ]
        page = {"events": events, "store_revision": self.revision}
        await send_json(send, 200, page)


def with_header(send: Any, name: str, value: str) -> Any:
    """Return a function that sends answers with a further header."""

    async def send_with_header(event: dict[str, Any]) -> None:
        if event["type"] == "http.response.start":
            header = (name.encode(), value.encode())
            event = {**event, "headers": [*event.get("headers", ()), header]}
        await send(event)

    return send_with_header


def is_read(scope: Any) -> bool:
    """Return whether a call reads an object or a list, without a watch."""
    return scope["method"] == "GET" and "watch" not in query_of(scope)


def name_of(key: str) -> str:
    """Return the name of the object with a key."""
    return key.partition("/")[2]


def describe(key: str, entry: Entry, revision: int | None = None) -> dict[str, Any]:
    """Return an object as the object API shows it."""
    return {
        "metadata": {
            "name": name_of(key),
            "revision": entry.version if revision is None else revision,
            "create_rev": entry.created,
            "finalizers": [],
            "deleting": False,
        },
        "spec": entry.spec,
        "status": None,
    }
