"""The platform's store: objects with revisions, lists and watches."""

import asyncio
import json
from urllib.parse import parse_qs, unquote, urlsplit

from stands2.wire import Message, read_message, response

PREFIX = "/primroseturn/objects/"
PAGE_OBJECTS = 500
MAX_WAIT_S = 30.0
ANSWER_S = 0.004


class Store:
    """Objects by kind and name.

    Attributes
    ----------
    delay_s
        Seconds that each answer takes.
    before_answer
        Called with each call before it is answered; it may wait.
    """

    def __init__(self) -> None:
        self.objects: dict[tuple[str, str], dict] = {}
        self.revision = 100
        self.history: list[tuple[int, str, dict]] = []
        self.changed = asyncio.Event()
        self.delay_s = ANSWER_S
        self.port = 0
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def put(self, kind: str, name: str, spec: object) -> dict:
        """Write an object, as the operator or a target does."""
        known = self.objects.get((kind, name))
        if known is not None and known["spec"] == spec:
            return known
        self.revision += 1
        made = known["metadata"]["create_rev"] if known else self.revision
        metadata = {
            "name": name,
            "revision": self.revision,
            "create_rev": made,
            "finalizers": [],
            "deleting": False,
        }
        item = {"metadata": metadata, "spec": spec, "status": {}}
        self.objects[kind, name] = item
        self.add_history(kind, {"object": item, "deleted": False})
        return item

    def remove(self, kind: str, name: str) -> None:
        item = self.objects.pop((kind, name), None)
        if item is not None:
            self.revision += 1
            metadata = {**item["metadata"], "revision": self.revision}
            event = {"object": {**item, "metadata": metadata}, "deleted": True}
            self.add_history(kind, event)

    def add_history(self, kind: str, event: dict) -> None:
        self.history.append((self.revision, kind, event))
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader, writer) -> None:
        try:
            while (call := await read_message(reader)) is not None:
                status, body = await self.answer(call)
                data = json.dumps(body).encode()
                writer.write(
                    response(status, {"Content-Type": "application/json"}, data)
                )
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def answer(self, call: Message) -> tuple[int, dict]:
        method, target, _ = call.line.split(" ")
        parts = urlsplit(target)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        kind, _, name = parts.path.removeprefix(PREFIX).partition("/")
        name = unquote(name)
        if "watch" in query:
            return await self.watch(kind, int(query["watch"]), query)
        await asyncio.sleep(self.delay_s)
        if method == "GET" and not name:
            return self.list(kind, query.get("after", ""))
        if method == "GET":
            found = self.objects.get((kind, name))
            return (200, found) if found else (404, {"error": "not found"})
        value = json.loads(call.body or b"{}")
        name = name or value["metadata"]["name"]
        known = self.objects.get((kind, name))
        stated = value.get("metadata", {}).get("revision") or query.get("revision")
        if known and stated and int(stated) != known["metadata"]["revision"]:
            return 409, known
        if method == "POST":
            return (409, known) if known else (201, self.put(kind, name, value["spec"]))
        if known is None:
            return 404, {"error": "not found"}
        if method == "PUT":
            return 200, self.put(kind, name, value["spec"])
        self.remove(kind, name)
        return 200, {}

    def list(self, kind: str, after: str) -> tuple[int, dict]:
        names = sorted(n for k, n in self.objects if k == kind and n > after)
        items = [self.objects[kind, n] for n in names[:PAGE_OBJECTS]]
        more = len(names) > PAGE_OBJECTS
        return 200, {"items": items, "more": more, "store_revision": self.revision}

    async def watch(self, kind: str, since: int, query: dict) -> tuple[int, dict]:
        wait_s = min(MAX_WAIT_S, int(query.get("wait_ms", 0)) / 1000)
        ends_at = asyncio.get_running_loop().time() + wait_s
        while True:
            events = [e for r, k, e in self.history if k == kind and r > since]
            left_s = ends_at - asyncio.get_running_loop().time()
            if events or left_s <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left_s)
            except TimeoutError:
                pass
