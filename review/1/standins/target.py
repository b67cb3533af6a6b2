"""Stand-in of a target, as PROTOCOL.md describes it."""

import asyncio
from time import monotonic, time
from typing import Any, NamedTuple

from standins.store import Store
from standins.wire import close_quietly, encode_message, Message, read_message


class Arrival(NamedTuple):
    """A request that reached a target, and whether the target began to run it."""

    at: float
    attempt: str
    target: str
    ran: bool
    start: str
    headers: dict[str, str]


class Target:
    """Runs requests for a fixed time each, in a number of slots.

    Attributes
    ----------
    arrivals
        The requests that reached it, in order.
    """

    def __init__(
        self,
        store: Store,
        target_id: str,
        arrivals: list[Arrival],
        work_s: float = 0.15,
        slots: int = 16,
        service: str = "core",
        zone: str = "zone-a",
    ) -> None:
        self.store = store
        self.id = target_id
        self.arrivals = arrivals
        self.work_s = work_s
        self.slots = slots
        self.service = service
        self.zone = zone
        self.seq = 0
        self.born = int(time() * 1000)
        self.running = 0
        self.server: asyncio.Server | None = None
        self.address = ""
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self, state: str = "ready") -> None:
        """Listen on a free port and register in the store."""
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"
        self.register(state)

    def entry(self, state: str) -> dict[str, Any]:
        """Return the target's entry for the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "cold_left_s": 0,
            "seq": self.seq,
            "born": self.born,
        }

    def register(self, state: str = "ready") -> None:
        """Write the entry."""
        self.store.write("servers", self.id, self.entry(state))

    def unregister(self) -> float:
        """Remove the entry and return the time at which the store accepted that."""
        self.store.remove("servers", self.id)
        return monotonic()

    def stop(self) -> None:
        """Exit: the listener and all connections end."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve the requests of one connection."""
        self.writers.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                writer.write(await self.answer(message))
                await writer.drain()
        except OSError:
            pass
        finally:
            self.writers.discard(writer)
            await close_quietly(writer)

    async def answer(self, message: Message) -> bytes:
        """Run a request and return the response."""
        attempt = message.headers.get("attempt-id", "")
        echo = {"Attempt-Id": attempt}
        expected = message.headers.get("expect-instance")
        refused = expected not in (None, self.id) or self.running >= 3 * self.slots
        self.arrivals.append(
            Arrival(
                monotonic(),
                attempt,
                self.id,
                not refused,
                message.start,
                message.headers,
            )
        )
        if expected not in (None, self.id):
            headers = {**echo, "Instance-Id": self.id}
            return encode_message("HTTP/1.1 421 Misdirected Request", headers)
        if refused:
            headers = {**echo, "Not-Executed": "1"}
            return encode_message("HTTP/1.1 503 Service Unavailable", headers)
        self.running += 1
        try:
            return await self.run(message, echo)
        finally:
            self.running -= 1

    async def run(self, message: Message, echo: dict[str, str]) -> bytes:
        """Run a request to its end and return the response."""
        await asyncio.sleep(self.work_s)
        body = f"{self.id} ran {echo['Attempt-Id']}".encode()
        headers = {
            **echo,
            "Response-Signature": f"s.{self.id}.{len(body)}",
            "Instance-Load": f"{self.running},0,{self.slots}",
        }
        return encode_message("HTTP/1.1 200 OK", headers, body)
