"""Stand-in of the platform's object API, with seeded faults."""

from random import Random
from typing import Any

from anyio import current_time, Event, move_on_after, sleep, sleep_forever
from msgspec import Struct
from msgspec.json import decode

from primroseturn.serving.http import (
    answer,
    answer_json,
    header_of,
    query_of,
    read_body,
)

VALUE_LIMIT_BYTES = 1_048_576
PAGE_OBJECTS = 500
HISTORY_EVENTS = 10_000


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
    calls_per_s
        Cap on the rate of calls, above which they get 429; 0 is no cap. A waiting
        watch counts as one call.
    """

    outage: bool = False
    hang: bool = False
    delay_s: float = 0.0
    lost_answer_share: float = 0.0
    calls_per_s: float = 0.0
    seed: int = 1


class Entry(Struct):
    """A stored value and its version."""

    version: int
    value: bytes


class ObjectStore:
    """ASGI application that keeps objects in memory."""

    def __init__(self) -> None:
        self.entries_by_key: dict[str, Entry] = {}
        self.history: list[dict[str, Any]] = []
        self.revision = 0
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
        self.count_call(scope["method"], path)
        if self.faults.outage:
            await answer(send, 503)
            return
        if not self.take_token():
            self.count("refused")
            await answer(send, 429)
            return
        if path.startswith("/objects/"):
            await self.answer_object(scope, receive, send)
        elif path == "/list":
            await self.answer_list(scope, send)
        elif path == "/watch":
            await self.answer_watch(scope, send)
        else:
            await answer(send, 404)

    async def control(self, path: str, receive: Any, send: Any) -> None:
        """Change the faults or report the counters."""
        if path == "/control/faults":
            self.set_faults(decode(await read_body(receive), type=StoreFaults))
        await answer_json(send, 200, self.calls_by_kind)

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

    def count_call(self, method: str, path: str) -> None:
        """Count a call by its kind; a waiting watch is one call."""
        kind = path.split("/")[1]
        if kind == "objects":
            kind = "read" if method == "GET" else "write"
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

    async def answer_object(self, scope: Any, receive: Any, send: Any) -> None:
        """Read, write or delete one object."""
        key = scope["path"].removeprefix("/objects/")
        entry = self.entries_by_key.get(key)
        if scope["method"] == "GET":
            if entry is None:
                await answer(send, 404)
            else:
                await answer(send, 200, entry.value, [self.etag(entry)])
            return
        value = await read_body(receive)
        if len(value) > VALUE_LIMIT_BYTES:
            await answer(send, 413)
            return
        entry = self.entries_by_key.get(key)
        if not self.matches(scope, entry):
            await answer(send, 412)
            return
        entry = self.write(key, None if scope["method"] == "DELETE" else value)
        if self.random.random() < self.faults.lost_answer_share:
            raise ConnectionError("answer lost by the fault in force")
        await answer(send, 200, b"", [self.etag(entry)] if entry else [])

    def matches(self, scope: Any, entry: Entry | None) -> bool:
        """Return whether the condition of a write holds."""
        if header_of(scope, b"if-none-match") == "*":
            return entry is None
        expected = header_of(scope, b"if-match")
        if expected is None:
            return True
        return entry is not None and expected == f'"{entry.version}"'

    def write(self, key: str, value: bytes | None) -> Entry | None:
        """Store or delete a value and wake the watches."""
        self.revision += 1
        old = self.entries_by_key.pop(key, None)
        # Versions come from the store-wide revision, so that an object that is
        # deleted and created again never shows an earlier version.
        version = self.revision
        entry = None
        if value is not None:
            entry = Entry(version, value)
            self.entries_by_key[key] = entry
        elif old is None:
            return None
        self.history.append(
            {
                "key": key,
                "version": version,
                "revision": self.revision,
                "deleted": value is None,
            }
        )
        del self.history[:-HISTORY_EVENTS]
        self.wake_watches()
        return entry

    def wake_watches(self) -> None:
        """Let the waiting watches look again."""
        self.changed.set()
        self.changed = Event()

    @staticmethod
    def etag(entry: Entry) -> tuple[bytes, bytes]:
        """Return the ETag header of an entry."""
        return (b"etag", f'"{entry.version}"'.encode())

    async def answer_list(self, scope: Any, send: Any) -> None:
        """Answer one page of the objects below a prefix."""
        query = query_of(scope)
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = sorted(
            key for key in self.entries_by_key if key.startswith(prefix) and key > after
        )
        objects = [
            {
                "key": key,
                "version": self.entries_by_key[key].version,
                "value": self.entries_by_key[key].value.decode("latin-1"),
            }
            for key in keys[:PAGE_OBJECTS]
        ]
        more = len(keys) > PAGE_OBJECTS
        page = {"objects": objects, "more": more, "revision": self.revision}
        await answer_json(send, 200, page)

    async def answer_watch(self, scope: Any, send: Any) -> None:
        """Wait until something changes below a prefix."""
        query = query_of(scope)
        prefix, revision = query.get("prefix", ""), int(query.get("revision", "0"))
        events: list[dict[str, Any]] = []
        with move_on_after(float(query.get("wait_s", "30"))):
            while not events and not self.faults.outage:
                events = [
                    event
                    for event in self.history
                    if event["revision"] > revision and event["key"].startswith(prefix)
                ]
                if not events:
                    await self.changed.wait()
        if self.faults.outage:
            await answer(send, 503)
            return
        page = {"revision": self.revision, "events": events}
        await answer_json(send, 200, page)
