"""Stand-in of a target, which records what it was sent."""

import asyncio
from collections.abc import Awaitable, Callable

from review.stands3.http import encode, Message, read_body, read_head

Handler = Callable[["Target", Message, asyncio.StreamWriter], Awaitable[bool]]


class Target:
    """A target that answers each request with a signed body that names it.

    Attributes
    ----------
    runs
        Requests that it has begun to work on, with the time of the event loop.
    handle
        Answers a request in place of `answer` if it returns True.
    """

    def __init__(self, target_id: str, service: str, work_s: float = 0.02) -> None:
        self.id, self.service, self.work_s = target_id, service, work_s
        self.runs: list[tuple[float, Message]] = []
        self.handle: Handler | None = None
        self.address = ""
        self.server: asyncio.Server | None = None

    async def listen(self, host: str) -> None:
        """Begin to serve."""
        self.server = await asyncio.start_server(self.serve, host, 0)
        self.address = f"{host}:{self.server.sockets[0].getsockname()[1]}"

    async def serve(self, reader, writer) -> None:
        """Serve one connection."""
        try:
            while (head := await read_head(reader)) is not None:
                request = await read_body(reader, head)
                if not request.complete:
                    return
                expected = request.get("expect-instance")
                if expected and expected != self.id:
                    await self.send(writer, request, 421, b"", signed=False)
                    continue
                if self.handle is not None and await self.handle(self, request, writer):
                    continue
                self.record(request)
                await asyncio.sleep(self.work_s)
                await self.answer(request, writer)
        except (ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    def record(self, request: Message) -> None:
        """Record that a request has run."""
        self.runs.append((asyncio.get_running_loop().time(), request))

    def body_of(self, request: Message) -> bytes:
        """Return the body of the answer to a request."""
        return f"{self.id} {request.get('attempt-id')}".encode()

    async def answer(self, request: Message, writer) -> None:
        """Send a success."""
        await self.send(writer, request, 200, self.body_of(request))

    async def send(
        self, writer, request: Message, status: int, body: bytes, signed=True, extra=()
    ) -> None:
        """Send an answer."""
        headers = [
            ("Attempt-Id", request.get("attempt-id")),
            ("Content-Length", str(len(body))),
            *extra,
        ]
        if signed:
            headers.append(("Response-Signature", "3e1b.07.5a2.600.0.c9f2a4d1"))
        if status == 421:
            headers.append(("Not-Executed", "1"))
        writer.write(encode(f"HTTP/1.1 {status} X", headers, body))
        await writer.drain()
