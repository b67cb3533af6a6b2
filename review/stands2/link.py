"""A proxy that paces bytes as the link of a machine does."""

import asyncio
from contextlib import suppress

READ_BYTES = 16_384


class Direction:
    """One direction of a link, shared by all connections."""

    def __init__(self, bytes_per_s: float) -> None:
        self.bytes_per_s = bytes_per_s
        self.free_at = 0.0

    async def carry(self, size: int) -> None:
        """Wait until the link has carried a number of bytes."""
        now = asyncio.get_running_loop().time()
        self.free_at = max(now, self.free_at) + size / self.bytes_per_s
        await asyncio.sleep(self.free_at - now)


class Link:
    """Forwards connections to a port of this machine at the rate of a link."""

    def __init__(self, target_port: int, mbit_per_s: float) -> None:
        self.target_port = target_port
        self.up = Direction(mbit_per_s * 125_000)
        self.down = Direction(mbit_per_s * 125_000)
        self.port = 0

    async def start(self) -> None:
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer) -> None:
        with suppress(OSError, asyncio.CancelledError):
            ahead, behind = await asyncio.open_connection("127.0.0.1", self.target_port)
            await asyncio.gather(
                self.forward(reader, behind, self.up),
                self.forward(ahead, writer, self.down),
            )
        writer.close()

    async def forward(self, reader, writer, direction: Direction) -> None:
        try:
            while data := await reader.read(READ_BYTES):
                await direction.carry(len(data))
                writer.write(data)
                await writer.drain()
        finally:
            writer.close()
