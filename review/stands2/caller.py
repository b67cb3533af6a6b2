"""Callers, and the platform's check whether an entry process is ready."""

import asyncio
from typing import NamedTuple

from stands2.record import Record
from stands2.wire import read_message, request

HOST = "ficu95.example"
KEY = "i9n73hh2b9wu3fexd9dn"


class Outcome(NamedTuple):
    """What a caller saw: a status, or None where the connection ended without one."""

    request: str
    sent_at: float
    ended_at: float
    status: int | None
    headers: dict
    body: bytes


class Caller:
    """One client connection."""

    count = 0

    def __init__(self, record: Record, port: int, name: str) -> None:
        self.record, self.port, self.name = record, port, name
        self.reader = self.writer = None

    async def connect(self) -> None:
        self.reader, self.writer = await asyncio.wait_for(
            asyncio.open_connection("127.0.0.1", self.port), 1.0
        )

    async def call(
        self,
        method: str,
        path: str,
        deadline_ms: int,
        body: bytes = b"",
        key: str = KEY,
    ) -> Outcome:
        Caller.count += 1
        name = f"{self.name}-{Caller.count:05d}"
        headers = {"Host": HOST, "Attempt-Id": name, "Deadline-Ms": str(deadline_ms)}
        if key:
            headers["Authorization"] = f"Bearer {key}"
        sent_at = self.record.now()
        self.record.add("sent", request=name, path=path, port=self.port)
        message = None
        try:
            if self.writer is None:
                await self.connect()
            self.writer.write(request(method, path, headers, body))
            await self.writer.drain()
            message = await asyncio.wait_for(
                read_message(self.reader), deadline_ms / 1000 + 1.0
            )
        except (OSError, TimeoutError):
            pass
        status = message.status if message else None
        text = message.body[:120].decode("latin-1") if message else ""
        self.record.add("answered", request=name, status=status, body=text)
        closes = message is None or message.headers.get("connection") == "close"
        if closes:
            self.close()
        return Outcome(
            name,
            sent_at,
            self.record.now(),
            status,
            message.headers if message else {},
            message.body if message else b"",
        )

    def close(self) -> None:
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


async def is_ready(port: int) -> bool:
    """Return whether an entry process says that it is ready."""
    writer = None
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(request("GET", "/primroseturn/ready", {"Host": "ready"}))
        message = await asyncio.wait_for(read_message(reader), 1.0)
        return message is not None and message.status == 200
    except (OSError, TimeoutError):
        return False
    finally:
        if writer is not None:
            writer.close()


async def wait_ready(port: int, limit_s: float = 20.0) -> bool:
    """Wait until an entry process is ready, and return whether it is."""
    for _ in range(int(limit_s / 0.1)):
        if await is_ready(port):
            return True
        await asyncio.sleep(0.1)
    return False
