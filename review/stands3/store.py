"""Stand-in of the platform's store, with one listener for each entry process."""

import asyncio
import json
from urllib.parse import parse_qs, unquote, urlsplit

from review.stands3.http import encode, Message, read_body, read_head

PREFIX = "/primroseturn/objects/"


class Store:
    """Objects by kind and name, with revisions, watches and conditional writes.

    Attributes
    ----------
    modes_by_port
        How the listener of a port behaves: ``""`` (sound), ``silent``, ``reset``,
        ``busy`` (503) or ``many`` (429).
    era
        Value of ``Store-Era``; None sends none.
    """

    def __init__(self) -> None:
        self.objects: dict[str, dict[str, dict]] = {}
        self.revision = 10
        self.history: list[tuple[int, str, dict, bool]] = []
        self.dropped = 10
        self.changed = asyncio.Event()
        self.modes_by_port: dict[int, str] = {}
        self.servers: list[asyncio.Server] = []
        self.writers_by_port: dict[int, set[asyncio.StreamWriter]] = {}
        self.delay_s = 0.0
        self.era: int | None = None

    async def listen(self, host: str) -> int:
        """Open a listener and return its port."""
        holder: list[int] = []
        server = await asyncio.start_server(
            lambda r, w: self.serve(r, w, holder[0]), host, 0
        )
        holder.append(server.sockets[0].getsockname()[1])
        self.servers.append(server)
        self.modes_by_port[holder[0]] = ""
        self.writers_by_port[holder[0]] = set()
        return holder[0]

    def set_mode(self, port: int, mode: str) -> None:
        """Set how a listener behaves; ``reset`` also ends its connections."""
        self.modes_by_port[port] = mode
        if mode == "reset":
            for writer in list(self.writers_by_port[port]):
                writer.transport.abort()

    def write(self, kind: str, name: str, spec) -> int:
        """Write an object as the operator or a target does."""
        objects = self.objects.setdefault(kind, {})
        self.revision += 1
        old = objects.get(name)
        created = old["metadata"]["create_rev"] if old else self.revision
        metadata = {
            "name": name,
            "revision": self.revision,
            "create_rev": created,
            "finalizers": [],
            "deleting": False,
        }
        objects[name] = {"metadata": metadata, "spec": spec, "status": {}}
        self.record(kind, objects[name], False)
        return self.revision

    def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        item = self.objects.get(kind, {}).pop(name, None)
        if item is not None:
            self.revision += 1
            item = json.loads(json.dumps(item))
            item["metadata"]["revision"] = self.revision
            self.record(kind, item, True)

    def record(self, kind: str, item: dict, deleted: bool) -> None:
        """Add a change to the history and wake the watches."""
        self.history.append((self.revision, kind, item, deleted))
        self.changed.set()
        self.changed = asyncio.Event()

    def save(self) -> tuple[str, int]:
        """Return a copy of the objects and the revision."""
        return json.dumps(self.objects), self.revision

    def roll_back(self, copy: tuple[str, int]) -> None:
        """Come back from an older copy, in the next era."""
        self.objects, self.revision = json.loads(copy[0]), copy[1]
        self.history, self.dropped = [], copy[1]
        self.era = (self.era or 0) + 1
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer, port: int) -> None:
        """Serve the connections of one listener."""
        self.writers_by_port[port].add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                request = await read_body(reader, head)
                if not request.complete:
                    return
                mode = self.modes_by_port[port]
                if mode == "silent":
                    await asyncio.sleep(3600)
                if mode == "reset":
                    writer.transport.abort()
                    return
                if mode in ("busy", "many"):
                    status, value = (503 if mode == "busy" else 429), {}
                else:
                    era = self.era
                    status, value = await self.answer(request)
                    if era != self.era:
                        writer.transport.abort()
                        return
                    mode = self.modes_by_port[port]
                    if mode == "silent":
                        await asyncio.sleep(3600)
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                body = json.dumps(value).encode()
                headers = [
                    ("content-type", "application/json"),
                    ("content-length", str(len(body))),
                ]
                if self.era is not None:
                    headers.append(("store-era", str(self.era)))
                writer.write(encode(f"HTTP/1.1 {status} X", headers, body))
                await writer.drain()
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers_by_port[port].discard(writer)
            writer.close()

    async def answer(self, request: Message) -> tuple[int, dict]:
        """Return the status and the value of the answer to a call."""
        url = urlsplit(request.start[1])
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        parts = [unquote(part) for part in url.path.removeprefix(PREFIX).split("/")]
        kind, method = parts[0], request.start[0]
        if method == "GET" and len(parts) == 1:
            if "watch" in query:
                return await self.watch(kind, query)
            objects = self.objects.get(kind, {})
            names = sorted(name for name in objects if name > query.get("after", ""))
            items = [objects[name] for name in names[:500]]
            more = len(names) > 500
            return 200, {
                "items": items,
                "more": more,
                "store_revision": self.revision,
            }
        if method == "GET":
            item = self.objects.get(kind, {}).get(parts[1])
            return (404, {}) if item is None else (200, item)
        body = json.loads(request.body or b"{}")
        if method == "POST":
            name = body["metadata"]["name"]
            if name in self.objects.get(kind, {}):
                return 409, self.objects[kind][name]
            self.write(kind, name, body.get("spec"))
            return 201, self.objects[kind][name]
        item = self.objects.get(kind, {}).get(parts[1])
        if item is None:
            return 404, {}
        condition = query.get("revision") or body.get("metadata", {}).get("revision")
        if condition and int(condition) != item["metadata"]["revision"]:
            return 409, item
        if method == "PUT":
            self.write(kind, parts[1], body.get("spec"))
            return 200, self.objects[kind][parts[1]]
        self.delete(kind, parts[1])
        return 200, {}

    async def watch(self, kind: str, query: dict[str, str]) -> tuple[int, dict]:
        """Wait for changes of a kind."""
        since = int(query["watch"])
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + int(query.get("wait_ms", "0")) / 1000
        while True:
            if since < self.dropped or since > self.revision:
                return 410, {}
            events = [
                {"object": item, "deleted": deleted}
                for revision, of_kind, item, deleted in self.history
                if of_kind == kind and revision > since
            ]
            left_s = ends_at - loop.time()
            if events or left_s <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except TimeoutError:
                pass
