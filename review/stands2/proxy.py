"""A TCP proxy that can fall silent in both directions."""

import asyncio
from contextlib import suppress

READ_BYTES = 65_536


class Proxy:
    """Forwards connections to a port of this machine.

    While `passing` is cleared, no byte goes on and new connections get no answer.
    """

    def __init__(self, target_port: int) -> None:
        self.target_port = target_port
        self.passing = asyncio.Event()
        self.passing.set()
        self.port = 0

    async def start(self) -> None:
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer) -> None:
        with suppress(OSError, asyncio.CancelledError):
            await self.passing.wait()
            ahead, behind = await asyncio.open_connection("127.0.0.1", self.target_port)
            await asyncio.gather(
                self.forward(reader, behind), self.forward(ahead, writer)
            )
        writer.close()

    async def forward(self, reader, writer) -> None:
        while data := await reader.read(READ_BYTES):
            await self.passing.wait()
            writer.write(data)
            await writer.drain()
        writer.close()
