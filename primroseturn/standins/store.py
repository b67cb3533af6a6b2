"""Stand-in of the platform's object API, with seeded faults.

Objects are kept under the key ``KIND/NAME``. Tests write them directly by `write`.
"""

from random import Random
from typing import Any, NamedTuple

from anyio import current_time, Event, move_on_after, sleep, sleep_forever
from msgspec import Struct
from msgspec.json import decode

from primroseturn.platform.wire import OBJECTS_PATH
from primroseturn.serving.http import query_of, read_body, send_json, send_response

VALUE_LIMIT_BYTES = 1_048_576
PAGE_OBJECTS = 500
HISTORY_EVENTS = 10_000
# Slashes in the path of a list, as opposed to that of one object.
LIST_SLASHES = OBJECTS_PATH.count("/") + 1


class StoreFaults(Struct):
    """Faults in force. A control call on ``/control/faults`` replaces them.

    Attributes
    ----------
    outage
        Refuse every call with 503.
    hang
        Never answer.
    delay_s
        Added to each call.
    lost_answer_share
        Share of writes that take effect but whose connection then breaks.
    late_share, late_s
        Share of writes that take effect only `late_s` after their connection broke.
    silent_watches
        Let watches hear nothing.
    calls_per_s
        Cap on the rate of calls, above which they get 429; 0 is no cap. A waiting
        watch counts as one call.
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


class Entry(Struct):
    """A stored value, its version and the revision of its creation.

    A value is text, or any JSON value.
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


class ObjectStore:
    """ASGI application that keeps objects in memory."""

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
        self.changed = Event()
        self.calls_by_kind: dict[str, int] = {}

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Answer one call."""
        if scope["type"] != "http":
            return
        path = scope["path"]
        if path.startswith("/control/"):
            await self.control(path, receive, send)
            return
        await self.apply_delay()
        self.count_call(scope)
        if self.faults.outage:
            await send_response(send, 503)
            return
        if not self.take_token():
            self.count("refused")
            await send_response(send, 429)
            return
        if not path.startswith(f"{OBJECTS_PATH}/"):
            await send_response(send, 404)
            return
        kind, _, name = path.removeprefix(f"{OBJECTS_PATH}/").partition("/")
        if name:
            await self.answer_object(f"{kind}/{name}", scope, receive, send)
        elif scope["method"] == "POST":
            body = decode(await read_body(receive))
            await self.answer_write(f"{kind}/{body['metadata']['name']}", body, send)
        elif "watch" in query_of(scope):
            await self.answer_watch(kind, scope, send)
        else:
            await self.answer_list(kind, scope, send)

    async def control(self, path: str, receive: Any, send: Any) -> None:
        """Change the faults or report the counters."""
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
        """Wait as the faults in force demand."""
        if self.faults.hang:
            await sleep_forever()
        if self.faults.delay_s:
            await sleep(self.faults.delay_s)

    def count_call(self, scope: dict[str, Any]) -> None:
        """Count a call by its kind; a waiting watch is one call."""
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

    def take_token(self) -> bool:
        """Return whether the cap on the rate admits a call now."""
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

    async def answer_object(
        self, key: str, scope: Any, receive: Any, send: Any
    ) -> None:
        """Read, write or delete one object."""
        entry = self.entries_by_key.get(key)
        if scope["method"] == "GET":
            if entry is None:
                await send_response(send, 404)
            else:
                await send_json(send, 200, describe(key, entry))
            return
        content = await read_body(receive)
        if len(content) > VALUE_LIMIT_BYTES:
            await send_response(send, 413)
        elif scope["method"] == "DELETE":
            revision = query_of(scope).get("revision")
            await self.apply(key, None, int(revision) if revision else None, send)
        elif self.entries_by_key.get(key) is None:
            await send_response(send, 404)
        else:
            body = decode(content)
            await self.apply(key, body["spec"], body["metadata"].get("revision"), send)

    async def answer_write(self, key: str, body: dict[str, Any], send: Any) -> None:
        """Create an object."""
        await self.apply(key, body["spec"], 0, send)

    async def apply(self, key: str, spec: Any, expected: int | None, send: Any) -> None:
        """Write or delete an object if it is at the expected revision.

        A revision of 0 expects that there is none, None any.
        """
        late = self.random.random() < self.faults.late_share
        if late:
            await sleep(self.faults.late_s)
        entry = self.entries_by_key.get(key)
        at = entry.version if entry else 0
        if expected is not None and expected != at:
            body = describe(key, entry) if entry else {}
            await send_json(send, 409, body)
            return
        unchanged = entry is not None and spec == entry.spec
        if not unchanged:
            value = spec.encode("latin-1") if isinstance(spec, str) else spec
            written = self.write(key, value)
            entry = written or entry
        if late or self.random.random() < self.faults.lost_answer_share:
            raise ConnectionError("answer lost by the fault in force")
        await send_json(send, 200, describe(key, entry) if entry else {})

    def write(self, key: str, value: Any) -> Entry | None:
        """Store or delete a value and wake the watches."""
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
        changed = entry or old
        assert changed is not None
        self.history.append(Change(key, self.revision, changed, value is None))
        if len(self.history) > HISTORY_EVENTS:
            self.dropped_revision = self.history[-HISTORY_EVENTS - 1].revision
            del self.history[:-HISTORY_EVENTS]
        self.wake_watches()
        return entry

    def drop_history(self) -> None:
        """Forget all changes; watches from before now need a new list."""
        self.history.clear()
        self.dropped_revision = self.revision
        self.wake_watches()

    def serve_stale_lists(self, stale: bool) -> None:
        """Let serializable lists show the objects of now, or the newest again."""
        self.stale_entries_by_key = dict(self.entries_by_key) if stale else None

    def wake_watches(self) -> None:
        """Let the waiting watches look again."""
        self.changed.set()
        self.changed = Event()

    async def answer_list(self, kind: str, scope: Any, send: Any) -> None:
        """Answer one page of the objects of a kind."""
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
            for key in (f"{kind}/{name}" for name in names[:PAGE_OBJECTS])
        ]
        more = len(names) > PAGE_OBJECTS
        page = {"items": items, "more": more, "store_revision": self.revision}
        await send_json(send, 200, page)

    def keys_of(self, kind: str) -> list[str]:
        """Return the keys of the objects of a kind."""
        return [key for key in self.entries_by_key if key.startswith(f"{kind}/")]

    async def answer_watch(self, kind: str, scope: Any, send: Any) -> None:
        """Wait until something changes in a kind."""
        query = query_of(scope)
        revision = int(query["watch"])
        changes: list[Change] = []
        with move_on_after(int(query.get("wait_ms", "30000")) / 1000):
            while not changes and not self.faults.outage:
                if revision < self.dropped_revision:
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
                    await self.changed.wait()
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
