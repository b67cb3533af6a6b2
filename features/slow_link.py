"""A link of a VM that carries bytes at a bounded rate."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from anyio import (
    BrokenResourceError,
    ClosedResourceError,
    connect_tcp,
    create_task_group,
    create_tcp_listener,
    current_time,
    EndOfStream,
    sleep,
)
from anyio.abc import ByteStream, SocketAttribute

LOOPBACK = "127.0.0.1"
PART_BYTES = 16_384
BYTES_PER_MBIT = 125_000


class SlowLink:
    """Forwards connections to a port; all share the rate of each direction.

    Attributes
    ----------
    port
        Port on which connections are accepted.
    carried_bytes
        Bytes that came from the other side so far.
    """

    def __init__(self, target_port: int, mbit_per_s: float) -> None:
        self.target_port = target_port
        self.bytes_per_s = mbit_per_s * BYTES_PER_MBIT
        self.free_at_by_direction = {"up": 0.0, "down": 0.0}
        self.port = 0
        self.carried_bytes = 0

    async def forward(self, caller: ByteStream) -> None:
        """Forward one connection until a side closes it."""
        async with (
            caller,
            await connect_tcp(LOOPBACK, self.target_port) as server,
            create_task_group() as tasks,
        ):
            tasks.start_soon(self.copy, caller, server, "up")
            await self.copy(server, caller, "down")
            tasks.cancel_scope.cancel()

    async def copy(self, source: ByteStream, sink: ByteStream, direction: str) -> None:
        """Copy bytes at the rate of the link."""
        try:
            while True:
                data = await source.receive(PART_BYTES)
                begins_at = max(current_time(), self.free_at_by_direction[direction])
                ends_at = begins_at + len(data) / self.bytes_per_s
                self.free_at_by_direction[direction] = ends_at
                await sleep(max(0.0, ends_at - current_time()))
                if direction == "down":
                    self.carried_bytes += len(data)
                await sink.send(data)
        except (EndOfStream, BrokenResourceError, ClosedResourceError):
            pass


@asynccontextmanager
async def run_slow_link(target_port: int, mbit_per_s: float) -> AsyncIterator[SlowLink]:
    """Accept connections for the life of the context."""
    link = SlowLink(target_port, mbit_per_s)
    async with (
        await create_tcp_listener(local_host=LOOPBACK) as listener,
        create_task_group() as tasks,
    ):
        link.port = listener.extra(SocketAttribute.local_port)
        tasks.start_soon(listener.serve, link.forward)
        yield link
        tasks.cancel_scope.cancel()
