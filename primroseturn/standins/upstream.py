"""Stand-in of an upstream VM, with seeded faults and execution counters."""

from hashlib import sha256
from random import Random
from typing import Any

from anyio import CapacityLimiter, sleep, sleep_forever
from msgspec import Struct
from msgspec.json import decode

from primroseturn.serving.http import (
    answer,
    answer_json,
    header_of,
    query_of,
    read_body,
)

PART_BYTES = 65_536


class UpstreamFaults(Struct):
    """Faults in force. A control call on ``/control/faults`` replaces them.

    Attributes
    ----------
    extra_delay_s
        Added to each answer.
    error_share, silent_share, cut_share
        Shares of requests that are answered with 500, never answered, or cut
        in the middle of the body.
    """

    extra_delay_s: float = 0.0
    error_share: float = 0.0
    silent_share: float = 0.0
    cut_share: float = 0.0
    seed: int = 1


class Upstream:
    """ASGI application of one target.

    ``/doc?size=N`` answers a document of N bytes, every other path a small JSON
    answer. Executions are counted by Idempotency-Key.
    """

    def __init__(self, name: str, slots: int = 6, service_time_s: float = 0.005):
        self.name = name
        self.slots = CapacityLimiter(slots)
        self.service_time_s = service_time_s
        self.faults = UpstreamFaults()
        self.random = Random(1)
        self.executions_by_key: dict[str, int] = {}
        self.seen_headers: list[list[tuple[bytes, bytes]]] = []
        self.requests = 0

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Answer one request."""
        if scope["type"] != "http":
            return
        path = scope["path"]
        if path == "/control/faults":
            self.faults = decode(await read_body(receive), type=UpstreamFaults)
            self.random = Random(self.faults.seed)
            await answer(send, 200)
        elif path == "/control/counters":
            await answer_json(send, 200, self.counters())
        elif path == "/load":
            load = {
                "busy": self.slots.borrowed_tokens,
                "slots": self.slots.total_tokens,
            }
            await answer_json(send, 200, load)
        elif path == "/health":
            await answer_json(send, 200, {"healthy": True})
        else:
            await self.run(scope, receive, send)

    def load(self) -> dict[str, float]:
        """Return the load that this target reports."""
        busy, slots = self.slots.borrowed_tokens, self.slots.total_tokens
        return {"busy": busy, "slots": slots}

    def counters(self) -> dict[str, Any]:
        """Return what this target has seen."""
        return {
            "requests": self.requests,
            "executions_by_key": self.executions_by_key,
        }

    async def run(self, scope: Any, receive: Any, send: Any) -> None:
        """Run a request in a slot."""
        self.requests += 1
        self.seen_headers.append(list(scope["headers"]))
        body = await read_body(receive)
        async with self.slots:
            await sleep(self.service_time_s + self.faults.extra_delay_s)
            key = header_of(scope, b"idempotency-key")
            if key is not None:
                self.executions_by_key[key] = self.executions_by_key.get(key, 0) + 1
            if self.random.random() < self.faults.silent_share:
                await sleep_forever()
            if self.random.random() < self.faults.error_share:
                await answer(send, 500, b"error")
                return
            if scope["path"].startswith("/doc"):
                await self.send_document(scope, send)
                return
            digest = sha256(body).hexdigest()
            value = {"path": scope["path"], "target": self.name, "body_sha256": digest}
            await answer_json(send, 200, value)

    async def send_document(self, scope: Any, send: Any) -> None:
        """Send a document part by part, cut short if the faults say so."""
        size = int(query_of(scope).get("size", "1000000"))
        end = size // 2 if self.random.random() < self.faults.cut_share else size
        headers = [(b"content-length", str(size).encode())]
        start = {"type": "http.response.start", "status": 200, "headers": headers}
        await send(start)
        for offset in range(0, end, PART_BYTES):
            part = document_part(offset, min(end, offset + PART_BYTES))
            event = {"type": "http.response.body", "body": part, "more_body": True}
            await send(event)
        if end < size:
            raise ConnectionError("document cut by the fault in force")
        await send({"type": "http.response.body", "body": b""})


def document_part(start: int, end: int) -> bytes:
    """Return bytes ``start`` to ``end`` of the fixed test document."""
    pattern = bytes(range(251))
    first = start % len(pattern)
    repeats = (end - start) // len(pattern) + 2
    return (pattern * repeats)[first : first + end - start]
