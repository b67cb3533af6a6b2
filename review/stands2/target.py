"""A target of an upstream service, which registers itself in the store."""

import asyncio
import time
from contextlib import suppress

from stands2.record import Record
from stands2.store import Store
from stands2.wire import read_message, response

HEARTBEAT_S = 1.5


class Target:
    """Runs requests for the time that their path names.

    A path such as ``/reserve/4500`` is worked on for 4,500 ms. The target drops a
    request when its connection closes.
    """

    def __init__(self, record: Record, store: Store, name: str, service: str) -> None:
        self.record = record
        self.store = store
        self.name = name
        self.service = service
        self.slots = 6
        self.running = 0
        self.runs_by_id: dict[str, int] = {}
        self.tenants_by_id: dict[str, str | None] = {}
        self.finished: set[str] = set()
        self.born = int(time.time() * 1000)
        self.seq = 0
        self.port = 0

    async def start(self) -> None:
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        self.beating = asyncio.create_task(self.beat())

    async def beat(self) -> None:
        while True:
            self.seq += 1
            entry = {
                "service": self.service,
                "address": f"127.0.0.1:{self.port}",
                "zone": "almaty-a",
                "version": "v1",
                "slots": self.slots,
                "state": "ready",
                "cold_left_s": 0,
                "born": self.born,
                "seq": self.seq,
            }
            self.store.put("servers", self.name, entry)
            await asyncio.sleep(HEARTBEAT_S)

    async def serve(self, reader, writer) -> None:
        with suppress(ConnectionError, asyncio.CancelledError):
            while (call := await read_message(reader)) is not None:
                if not await self.handle(call, reader, writer):
                    break
        writer.close()

    async def handle(self, call, reader, writer) -> bool:
        attempt = call.headers.get("attempt-id", "")
        echo = {"Attempt-Id": attempt}
        if call.headers.get("expect-instance") != self.name:
            writer.write(response(421, {**echo, "Instance-Id": self.name}))
            return True
        if self.running >= self.slots:
            writer.write(response(503, {**echo, "Not-Executed": "1"}))
            return True
        path = call.line.split(" ")[1]
        self.runs_by_id[attempt] = self.runs_by_id.get(attempt, 0) + 1
        tenant = self.tenants_by_id[attempt] = call.headers.get("tenant")
        self.running += 1
        self.record.add(
            "run", target=self.name, request=attempt, path=path, tenant=tenant
        )
        work = asyncio.create_task(asyncio.sleep(int(path.rsplit("/", 1)[1]) / 1000))
        closed = asyncio.create_task(reader.read(1))
        try:
            await asyncio.wait({work, closed}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            self.running -= 1
            is_closed = closed.done()
            closed.cancel()
            work.cancel()
            with suppress(asyncio.CancelledError, ConnectionError):
                await closed
        if is_closed:
            self.record.add("dropped", target=self.name, request=attempt)
            return False
        self.finished.add(attempt)
        self.record.add("ran", target=self.name, request=attempt)
        load = f"{self.running},0,{self.slots}"
        headers = {**echo, "Response-Signature": f"s.{attempt}", "Instance-Load": load}
        writer.write(response(200, headers, b"answer to " + attempt.encode()))
        await writer.drain()
        return True
