"""Stand-in of an upstream VM, with seeded faults and counters of executions."""

from collections import deque
from hashlib import sha256
from random import Random
from typing import Any, Literal

from anyio import (
    CancelScope,
    CapacityLimiter,
    create_task_group,
    current_time,
    move_on_after,
    sleep,
    sleep_forever,
)
from msgspec import Struct
from msgspec.json import decode, encode

from primroseturn.serving.http import (
    header_of,
    query_of,
    read_body,
    send_json,
    send_response,
)
from primroseturn.standins.documents import document_part, parse_range, PART_BYTES

MAX_RECEIVED_HEADERS = 10_000
JSON_HEADER = (b"content-type", b"application/json")


class UpstreamFaults(Struct):
    """Faults in force. A control call on ``/control/faults`` replaces them.

    Attributes
    ----------
    extra_delay_s, part_delay_s
        Delay in seconds of each response, and of each part of a document.
    error_share, silent_share, crossed_share
        Shares of requests that get status 500, that get no response, or that get
        the response to the previous request.
    cut_share, stall_share
        Shares of documents whose connection breaks, or that stall, in the middle of
        the body.
    strikes
        Number of faults after which the shares cause no more; -1 for no limit.
    heeds_if_range
        Whether a range is sent only if the entity tag is that of If-Range.
    draining
        Whether all requests are refused with 503 as not executed.
    queue_limit
        Number of requests that may wait for a slot before the target sheds requests.
    cold_s, cold_factor
        After a start, requests take up to `cold_factor` times as long; the factor
        falls to 1 within `cold_s` seconds.
    health, busy_reported
        Health and busy slots that the endpoints report instead of the real ones.
    heeds_deadline
        Whether a request is cancelled when the deadline of its caller passes.
    tag, shift
        Entity tag of the documents, and offset of the first byte of their content,
        so that two versions of a document can differ.
    seed
        Seed of the shares.
    """

    extra_delay_s: float = 0.0
    part_delay_s: float = 0.0
    error_share: float = 0.0
    silent_share: float = 0.0
    crossed_share: float = 0.0
    cut_share: float = 0.0
    stall_share: float = 0.0
    strikes: int = -1
    heeds_if_range: bool = True
    draining: bool = False
    queue_limit: int = 1_000
    cold_s: float = 0.0
    cold_factor: float = 10.0
    health: Literal["honest", "healthy", "unhealthy"] = "honest"
    busy_reported: int | None = None
    heeds_deadline: bool = True
    tag: str = '"v1"'
    shift: int = 0
    seed: int = 1


class Upstream:
    """ASGI application of one target.

    ``/doc?size=N`` sends a document of N bytes or a range of it, without a length if
    the query has ``chunked``. Every other path sends a small JSON value.

    Attributes
    ----------
    executions_by_key
        Number of executions by Idempotency-Key.
    received_headers
        Headers of the newest requests.
    received_methods
        Their methods.
    last_response
        Id and value of the last response with a JSON value.
    requests, cancelled, abandoned, shed
        Number of requests, of those whose caller closed the connection, of those
        whose deadline passed, and of those that were shed.
    """

    def __init__(self, name: str, slots: int = 6, service_time_s: float = 0.005):
        self.name = name
        self.slots = CapacityLimiter(slots)
        self.service_time_s = service_time_s
        self.faults = UpstreamFaults()
        self.random = Random(1)
        self.remaining_strikes = -1
        self.started_at: float | None = None
        self.executions_by_key: dict[str, int] = {}
        self.received_headers: deque[list[tuple[bytes, bytes]]] = deque(
            maxlen=MAX_RECEIVED_HEADERS
        )
        self.received_methods: deque[str] = deque(maxlen=MAX_RECEIVED_HEADERS)
        self.last_response: tuple[bytes, bytes] | None = None
        self.connections: set[Any] = set()
        self.stalled_connections: set[Any] = set()
        self.requests = 0
        self.cancelled = 0
        self.abandoned = 0
        self.shed = 0

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Handle one request."""
        if scope["type"] != "http":
            return
        path = scope["path"]
        if path == "/control/faults":
            self.set_faults(decode(await read_body(receive), type=UpstreamFaults))
            await send_response(send, 200)
        elif path == "/control/silence":
            self.stall_connections()
            await send_response(send, 200)
        elif path == "/control/counters":
            await send_json(send, 200, self.counters())
        elif path == "/load":
            await send_json(send, 200, self.load())
        elif path == "/health":
            await send_json(send, 200, {"healthy": self.reported_health()})
        else:
            await self.run_until_disconnect(scope, receive, send)

    def set_faults(self, faults: UpstreamFaults) -> None:
        """Replace the faults in force and restart their random sequence."""
        self.faults = faults
        self.random = Random(faults.seed)
        self.remaining_strikes = faults.strikes

    def stall_connections(self) -> None:
        """Send no further responses on the connections that had requests so far."""
        self.stalled_connections |= self.connections

    def load(self) -> dict[str, float]:
        """Return the load that this target reports."""
        busy, slots = self.slots.borrowed_tokens, self.slots.total_tokens
        if self.faults.busy_reported is not None:
            busy = self.faults.busy_reported
        return {"busy": busy, "slots": slots}

    def reported_health(self) -> bool:
        """Return whether the health endpoint reports this target as healthy."""
        if self.faults.health != "honest":
            return self.faults.health == "healthy"
        return not self.faults.draining

    def counters(self) -> dict[str, Any]:
        """Return the counters of this target."""
        return {
            "requests": self.requests,
            "cancelled": self.cancelled,
            "abandoned": self.abandoned,
            "shed": self.shed,
            "executions_by_key": self.executions_by_key,
        }

    async def run_until_disconnect(self, scope: Any, receive: Any, send: Any) -> None:
        """Run a request until its response is sent or its caller disconnects."""
        self.requests += 1
        self.connections.add(tuple(scope["client"]))
        self.received_headers.append(list(scope["headers"]))
        self.received_methods.append(scope["method"])
        body = await read_body(receive)
        async with create_task_group() as tasks:
            tasks.start_soon(self.watch_caller, receive, tasks.cancel_scope)
            await self.run(scope, body, send)
            tasks.cancel_scope.cancel()

    async def watch_caller(self, receive: Any, scope: CancelScope) -> None:
        """Cancel a request when its caller disconnects."""
        while (await receive())["type"] != "http.disconnect":
            pass
        self.cancelled += 1
        scope.cancel()

    async def run(self, scope: Any, body: bytes, send: Any) -> None:
        """Run a request in a slot, or shed it."""
        if tuple(scope["client"]) in self.stalled_connections:
            await sleep_forever()
        waiting = self.slots.statistics().tasks_waiting
        if self.faults.draining or waiting >= self.faults.queue_limit:
            self.shed += 1
            headers = [(b"retry-after", b"1"), (b"x-request-ran", b"no")]
            await send_response(send, 503, b"", headers)
            return
        deadline_ms = header_of(scope, b"x-request-deadline-ms")
        has_deadline = deadline_ms is not None and self.faults.heeds_deadline
        timeout_s = int(deadline_ms or 0) / 1000 if has_deadline else None
        with move_on_after(timeout_s) as timeout:
            async with self.slots:
                await self.run_in_slot(scope, body, send)
        if timeout.cancelled_caught:
            self.abandoned += 1

    async def run_in_slot(self, scope: Any, body: bytes, send: Any) -> None:
        """Execute a request and send the response, with the faults in force."""
        await sleep(self.duration_s())
        key = header_of(scope, b"idempotency-key")
        if key is not None:
            self.executions_by_key[key] = self.executions_by_key.get(key, 0) + 1
        if self.draw_fault(self.faults.silent_share):
            await sleep_forever()
        if self.draw_fault(self.faults.error_share):
            await send_response(send, 500, b"error")
        elif scope["path"].startswith("/doc"):
            await self.send_document(scope, send)
        else:
            await self.send_value(scope, body, send)

    def draw_fault(self, share: float) -> bool:
        """Return at random whether a fault with this share affects a request."""
        if self.remaining_strikes == 0 or self.random.random() >= share:
            return False
        self.remaining_strikes -= 1
        return True

    def duration_s(self) -> float:
        """Return how long a request that starts now takes, in seconds."""
        if self.started_at is None:
            self.started_at = current_time()
        factor = 1.0
        if self.faults.cold_s > 0:
            warm_share = (current_time() - self.started_at) / self.faults.cold_s
            factor = max(1.0, self.faults.cold_factor * (1 - min(1.0, warm_share)))
        return self.service_time_s * factor + self.faults.extra_delay_s

    async def send_value(self, scope: Any, body: bytes, send: Any) -> None:
        """Send a small JSON value that identifies the request."""
        request_id = header_of(scope, b"x-request-id") or ""
        digest = sha256(body).hexdigest()
        value = {
            "path": scope["path"],
            "query": scope["query_string"].decode("latin-1"),
            "target": self.name,
            "body_sha256": digest,
            "body_length": len(body),
        }
        current = (request_id.encode(), encode(value))
        previous = self.last_response
        is_crossed = previous is not None and self.draw_fault(self.faults.crossed_share)
        sent = previous if is_crossed and previous else current
        self.last_response = current
        await send_response(
            send, 200, sent[1], [JSON_HEADER, (b"x-request-id", sent[0])]
        )

    async def send_document(self, scope: Any, send: Any) -> None:
        """Send a document or a range of it in parts, with the faults in force."""
        query = query_of(scope)
        size = int(query.get("size", "1000000"))
        tag = self.faults.tag
        checked_tag = tag if self.faults.heeds_if_range else None
        first, last, status = parse_range(scope, size, checked_tag)
        length = last - first + 1
        headers = [(b"etag", tag.encode()), (b"accept-ranges", b"bytes")]
        if "chunked" not in query:
            headers.append((b"content-length", str(length).encode()))
        if status == 206:
            covered = f"bytes {first}-{last}/{size}"
            headers.append((b"content-range", covered.encode()))
        start = {"type": "http.response.start", "status": status, "headers": headers}
        await send(start)
        is_cut = self.draw_fault(self.faults.cut_share)
        is_stalled = self.draw_fault(self.faults.stall_share)
        end = first + length // 2 if is_cut or is_stalled else last + 1
        for offset in range(first, end, PART_BYTES):
            await sleep(self.faults.part_delay_s)
            stop = min(end, offset + PART_BYTES)
            part = document_part(offset + self.faults.shift, stop + self.faults.shift)
            event = {"type": "http.response.body", "body": part, "more_body": True}
            await send(event)
        if is_stalled:
            await sleep_forever()
        if is_cut:
            raise ConnectionError("document cut by the fault in force")
        await send({"type": "http.response.body", "body": b""})
