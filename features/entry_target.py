"""A target that speaks the platform's protocol and fails in the way of its mode."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import h11
from anyio import create_task_group, create_tcp_listener, current_time, sleep
from anyio.abc import SocketAttribute, SocketStream
from anyio.streams.stapled import MultiListener

from features.endless import ENDLESS_RESPONSES, EndlessSender

READ_BYTES = 65_536
# Longer than the deadline of any request in a scenario.
HANG_S = 30.0
# Longer than callers that send long bodies wait for a response.
LATE_READ_PAUSE_S = 2.0


class EntryTarget:
    """Responds to requests, or fails to, as its modes state.

    Attributes
    ----------
    modes
        How the next requests are treated, one mode each.
    usual_mode
        How requests are treated when `modes` is empty.
    work_s
        Time in seconds that the target takes to run a request.
    runs
        Ids of the attempts that it ran, in order.
    heads
        Method, path and headers of all requests.
    arrived_at
        Monotonic times in seconds at which the requests arrived.
    bodies
        Bodies of the requests, as far as they were read.
    cut_runs
        Ids of the attempts whose connection closed before the response.
    endless
        Sends responses that do not end.
    retry_after
        Value of the header Retry-After in refusals of a full target; empty for none.
    is_leaving
        Whether all responses state that the target is leaving.
    """

    def __init__(self, target_id: str) -> None:
        self.id = target_id
        self.modes: list[str] = []
        self.usual_mode = "ok"
        self.work_s = 0.01
        self.body = b"whole body of " + target_id.encode()
        self.runs: list[str] = []
        self.heads: list[tuple[str, str, dict[str, str]]] = []
        self.arrived_at: list[float] = []
        self.bodies: list[bytes] = []
        self.cut_runs: list[str] = []
        self.endless = EndlessSender()
        self.retry_after = ""
        self.is_leaving = False
        self.port = 0

    def body_of(self, attempt: str) -> bytes:
        """Return the whole body of the response to an attempt."""
        return self.body

    async def serve_connection(self, stream: SocketStream) -> None:
        """Serve the requests of one connection."""
        state = h11.Connection(h11.SERVER)
        async with stream:
            while True:
                request, body = await self.read_request(stream, state)
                if request is None:
                    return
                if state.our_state is h11.DONE:
                    # The response was sent before the body was read.
                    self.bodies.append(body)
                    keeps_open = True
                else:
                    keeps_open = await self.respond(stream, state, request, body)
                if not keeps_open or state.our_state is not h11.DONE:
                    return
                state.start_next_cycle()

    async def read_request(self, stream, state):
        """Return the next request and its body, or None if the connection has ended."""
        request, body = None, b""
        early = self.usual_mode.startswith("early")
        while True:
            event = state.next_event()
            if event is h11.NEED_DATA:
                try:
                    state.receive_data(await stream.receive(READ_BYTES))
                except Exception:
                    if early and request is not None:
                        self.bodies.append(body)
                    return None, b""
            elif isinstance(event, h11.Request):
                request = event
                if early:
                    await self.respond_early(stream, state, request)
                    if self.usual_mode == "early, then reads on late":
                        await sleep(LATE_READ_PAUSE_S)
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                return request, body
            else:
                return None, b""

    async def respond_early(self, stream, state, request) -> None:
        """Respond before the body is read, and keep the connection open."""
        headers = {k.decode(): v.decode() for k, v in request.headers}
        self.heads.append((request.method.decode(), request.target.decode(), headers))
        attempt = headers.get("attempt-id", "")
        signed_headers = [
            ("attempt-id", attempt),
            ("response-signature", f"s-{attempt}"),
        ]
        await self.send(stream, state, 413, signed_headers, b"too long")

    async def respond(self, stream, state, request, body) -> bool:
        """Respond to one request and return whether its connection stays open."""
        headers = {k.decode(): v.decode() for k, v in request.headers}
        path = request.target.decode()
        self.heads.append((request.method.decode(), path, headers))
        self.arrived_at.append(current_time())
        self.bodies.append(body)
        attempt = headers.get("attempt-id", "")
        mode = self.modes.pop(0) if self.modes else self.usual_mode
        echo = ("attempt-id", attempt)
        if headers.get("expect-instance") != self.id:
            await self.send(stream, state, 421, [("instance-id", self.id), echo], b"")
            return True
        if mode == "full":
            quiet = [("retry-after", self.retry_after)] if self.retry_after else []
            refusal = [("not-executed", "1"), echo, *quiet]
            await self.send(stream, state, 503, refusal, b"")
            return True
        kind, _, pace = mode.partition(" ")
        if pace and kind in ENDLESS_RESPONSES:
            response = ENDLESS_RESPONSES[kind]
            if response.ran:
                self.runs.append(attempt)
            await self.endless.send(stream, mode, attempt)
            return False
        self.runs.append(attempt)
        if not await self.work(stream, mode):
            self.cut_runs.append(attempt)
            return False
        return await self.finish(stream, state, mode, attempt)

    async def work(self, stream, mode: str) -> bool:
        """Wait while the request runs; return False if the connection closes first."""
        duration_s = HANG_S if mode == "hang" else self.work_s
        has_closed = []

        async with create_task_group() as tasks:

            async def watch() -> None:
                try:
                    await stream.receive(1)
                except Exception:
                    has_closed.append(True)
                tasks.cancel_scope.cancel()

            tasks.start_soon(watch)
            await sleep(duration_s)
            tasks.cancel_scope.cancel()
        return not has_closed

    async def finish(self, stream, state, mode: str, attempt: str) -> bool:
        """Send the response to a request that ran, as its mode states."""
        signed_headers = [
            ("attempt-id", attempt),
            ("response-signature", f"s-{attempt}"),
        ]
        load = ("instance-load", "1,0,6")
        body = self.body_of(attempt)
        if mode == "reset":
            return False
        if mode == "error":
            await self.send(stream, state, 500, [*signed_headers, load], b"failed")
        elif mode == "unsigned":
            await self.send(stream, state, 200, signed_headers[:1], body)
        elif mode == "encoded":
            extra = [("content-encoding", "gzip")]
            await self.send(stream, state, 200, [*signed_headers, *extra], body)
        elif mode == "garbage":
            await stream.send(b"\x00\x01 not http\r\n\r\n")
            return False
        elif mode == "cut":
            head = response_head_bytes(200, signed_headers, len(body) + 10)
            await stream.send(head + body)
            return False
        elif mode == "unframed":
            head = b"HTTP/1.1 200 OK\r\n" + header_bytes(signed_headers) + b"\r\n"
            await stream.send(head + body)
            return False
        elif mode == "foreign-first":
            foreign = [("attempt-id", "another"), ("response-signature", "s-x")]
            await stream.send(response_head_bytes(200, foreign, 5) + b"other")
            await self.send(stream, state, 200, [*signed_headers, load], body)
        elif mode.startswith("unattributed-"):
            # As a second copy of an earlier refusal whose id is missing.
            status = int(mode.removeprefix("unattributed-"))
            refusal = [("not-executed", "1")]
            await stream.send(response_head_bytes(status, refusal, 0))
            await self.send(stream, state, 200, [*signed_headers, load], body)
        elif mode.startswith("refuses-after-run-"):
            status = int(mode.removeprefix("refuses-after-run-"))
            await self.send(stream, state, status, signed_headers, b"busy")
        elif mode.startswith("status-line "):
            # A signed response to this request whose status line is not valid.
            line = mode.removeprefix("status-line ")
            lines = header_bytes([*signed_headers, ("content-length", str(len(body)))])
            await stream.send(f"{line}\r\n".encode() + lines + b"\r\n" + body)
        elif mode == "success-not-run":
            extra = [("not-executed", "1")]
            await self.send(stream, state, 200, [*signed_headers, *extra], body)
        elif mode == "extra-after":
            await self.send(stream, state, 200, [*signed_headers, load], body)
            foreign = [("attempt-id", attempt), ("response-signature", "s-x")]
            await stream.send(response_head_bytes(200, foreign, 5) + b"other")
        else:
            await self.send(stream, state, 200, [*signed_headers, load], body)
        return True

    async def send(self, stream, state, status, headers, body: bytes) -> None:
        """Send a whole response."""
        if self.is_leaving:
            headers = [*headers, ("server-leaving", "1")]
        headers = [*headers, ("content-length", str(len(body)))]
        data = state.send(h11.Response(status_code=status, headers=headers))
        data += state.send(h11.Data(data=body)) + state.send(h11.EndOfMessage())
        await stream.send(data)


def header_bytes(headers) -> bytes:
    """Return header lines."""
    return b"".join(f"{name}: {value}\r\n".encode() for name, value in headers)


def response_head_bytes(status: int, headers, length: int) -> bytes:
    """Return the head of a response."""
    lines = header_bytes([*headers, ("content-length", str(length))])
    return f"HTTP/1.1 {status} OK\r\n".encode() + lines + b"\r\n"


@asynccontextmanager
async def run_target(target_id: str) -> AsyncIterator[EntryTarget]:
    """Serve a target on loopback for the life of the context."""
    target = EntryTarget(target_id)
    listener: MultiListener = await create_tcp_listener(local_host="127.0.0.1")
    target.port = listener.extra(SocketAttribute.local_port)

    async def handle(stream: SocketStream) -> None:
        try:
            await target.serve_connection(stream)
        except (OSError, Exception):
            # The proxy may close a connection at any time. The scenarios check what it
            # must not do.
            return

    async with listener, create_task_group() as tasks:
        tasks.start_soon(listener.serve, handle)
        yield target
        tasks.cancel_scope.cancel()
