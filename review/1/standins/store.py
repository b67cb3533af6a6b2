"""Stand-in of the platform's store, as PROTOCOL.md describes it."""

import asyncio
import json
from time import monotonic
from typing import Any
from urllib.parse import parse_qsl, unquote, urlsplit

from standins.wire import close_quietly, encode_message, Message, read_message

PATH = "/primroseturn/objects/"
REASONS = {200: "OK", 201: "Created", 404: "Not Found", 409: "Conflict", 410: "Gone"}


class Store:
    """Holds objects by kind and name, with one revision counter.

    Attributes
    ----------
    is_silent
        Whether the store is down: calls get no response, and calls that were waiting
        when it began get none later either.
    calls
        Times of the calls with their method and path.
    """

    def __init__(self) -> None:
        self.objects: dict[tuple[str, str], dict[str, Any]] = {}
        self.history: list[tuple[int, str, dict[str, Any]]] = []
        self.revision = 100
        self.changed = asyncio.Event()
        self.is_silent = False
        self.server: asyncio.Server | None = None
        self.address = ""
        self.watches: set[asyncio.StreamWriter] = set()
        self.calls: list[tuple[float, str, str, str]] = []

    async def start(self, host: str = "127.0.0.1") -> None:
        """Listen on a free port."""
        self.server = await asyncio.start_server(self.serve, host, 0)
        self.address = f"{host}:{self.server.sockets[0].getsockname()[1]}"

    def write(self, kind: str, name: str, spec: Any) -> None:
        """Write an object as its owner (operator or target) does."""
        known = self.objects.get((kind, name))
        if known is not None and known["spec"] == spec:
            return
        self.revision += 1
        created = known["metadata"]["create_rev"] if known else self.revision
        found = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "create_rev": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        self.objects[kind, name] = found
        self.record(kind, {"deleted": False, "object": found})

    def remove(self, kind: str, name: str) -> bool:
        """Remove an object and return whether it was there."""
        known = self.objects.pop((kind, name), None)
        if known is None:
            return False
        self.revision += 1
        metadata = {**known["metadata"], "revision": self.revision}
        self.record(kind, {"deleted": True, "object": {**known, "metadata": metadata}})
        return True

    def record(self, kind: str, event: dict[str, Any]) -> None:
        """Add a change to the history and wake the watches."""
        self.history.append((self.revision, kind, event))
        self.changed.set()
        self.changed = asyncio.Event()

    def cut_watches(self) -> int:
        """Cut the watches that are waiting, and return their number."""
        cut = list(self.watches)
        for writer in cut:
            writer.transport.abort()
        return len(cut)

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the calls of one connection."""
        try:
            while (message := await read_message(reader)) is not None:
                answer = await self.handle(message, writer)
                if answer is None:
                    # A connection on which a response is lost returns nothing further.
                    await reader.read()
                    return
                status, value = answer
                body = json.dumps(value).encode()
                start = f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}"
                headers = {"Content-Type": "application/json"}
                writer.write(encode_message(start, headers, body))
                await writer.drain()
        except OSError:
            pass
        finally:
            await close_quietly(writer)

    async def handle(
        self, message: Message, writer: asyncio.StreamWriter
    ) -> tuple[int, Any] | None:
        """Return status and body of the response to a call; None if it gets none."""
        method, target, _ = message.start.split(" ")
        peer = writer.get_extra_info("peername")[0]
        self.calls.append((monotonic(), peer, method, target))
        if self.is_silent:
            return None
        await asyncio.sleep(0.004)
        url = urlsplit(target)
        query = dict(parse_qsl(url.query))
        kind, _, name = url.path.removeprefix(PATH).partition("/")
        name = unquote(name)
        if method == "GET" and "watch" in query:
            return await self.watch(kind, query, writer)
        if self.is_silent:
            return None
        if method == "GET" and not name:
            return 200, self.list_objects(kind, query.get("after", ""))
        known = self.objects.get((kind, name))
        if method == "GET":
            return (200, known) if known else (404, {})
        body = json.loads(message.body) if message.body else {}
        if method == "POST":
            name = body["metadata"]["name"]
            if (kind, name) in self.objects:
                return 409, self.objects[kind, name]
            self.write(kind, name, body["spec"])
            return 201, self.objects[kind, name]
        if known is None:
            return 404, {}
        expected = body.get("metadata", {}).get("revision") or query.get("revision")
        if expected and int(expected) != known["metadata"]["revision"]:
            return 409, known
        if method == "DELETE":
            self.remove(kind, name)
            return 200, known
        self.write(kind, name, body["spec"])
        return 200, self.objects[kind, name]

    def list_objects(self, kind: str, after: str) -> dict[str, Any]:
        """Return the objects of a kind on one page."""
        items = [
            value
            for (item_kind, name), value in sorted(self.objects.items())
            if item_kind == kind and name > after
        ]
        return {"items": items, "more": False, "store_revision": self.revision}

    async def watch(
        self, kind: str, query: dict[str, str], writer: asyncio.StreamWriter
    ) -> tuple[int, Any] | None:
        """Return the changes of a kind as soon as there are any."""
        since = int(query["watch"])
        ends_at = monotonic() + int(query.get("wait_ms", "30000")) / 1000
        self.watches.add(writer)
        try:
            while True:
                changed = self.changed
                if self.is_silent:
                    return None
                events = [
                    event
                    for revision, event_kind, event in self.history
                    if revision > since and event_kind == kind
                ]
                left_s = ends_at - monotonic()
                if events or left_s <= 0:
                    return 200, {"events": events, "store_revision": self.revision}
                try:
                    await asyncio.wait_for(changed.wait(), left_s)
                except TimeoutError:
                    continue
        finally:
            self.watches.discard(writer)

    def set_silent(self, is_silent: bool) -> None:
        """Begin or end a time in which the store is down."""
        self.is_silent = is_silent
        self.changed.set()
        self.changed = asyncio.Event()
