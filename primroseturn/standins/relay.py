"""Stand-in of the network path to a target: a TCP relay with faults."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress

from anyio import (
    BrokenResourceError,
    ClosedResourceError,
    connect_tcp,
    create_task_group,
    create_tcp_listener,
    EndOfStream,
    sleep,
)
from anyio.abc import SocketAttribute, SocketStream

READ_BYTES = 65_536


class Relay:
    """Carries connections between a daemon and a target.

    Attributes
    ----------
    connection_limit
        Connections beyond it are closed at once.
    accepted, most_open
        Number of connections so far and the most at one time.
    cut_requests
        Whether a request is cut off: the target gets its bytes and the connection
        is closed before the answer.
    delay_s
        Time in seconds that bytes take on their way, in each direction.
    lost_ways
        Directions ("requests", "answers") in which nothing is carried, as by a cut that
        closes no connection.
    late_bytes, late_after_s
        Sent to the daemon after the next answer, as a desynchronised target does,
        and the time between.
    """

    def __init__(self, port: int, connection_limit: int = 1_000) -> None:
        self.port = port
        self.connection_limit = connection_limit
        self.accepted = 0
        self.cut_requests = False
        self.delay_s = 0.0
        self.lost_ways: frozenset[str] = frozenset()
        self.late_bytes = b""
        self.late_after_s = 0.0
        self.open: set[SocketStream] = set()
        self.silent: set[SocketStream] = set()
        self.most_open = 0

    def silence(self) -> None:
        """Carry nothing any more on the connections that are open now."""
        self.silent |= self.open

    async def reset(self) -> None:
        """Close all open connections at once."""
        for caller in list(self.open):
            await caller.aclose()

    async def carry(self, caller: SocketStream) -> None:
        """Carry one connection until either side closes it."""
        self.accepted += 1
        if len(self.open) >= self.connection_limit:
            await caller.aclose()
            return
        self.open.add(caller)
        self.most_open = max(self.most_open, len(self.open))
        try:
            async with (
                caller,
                await connect_tcp("127.0.0.1", self.port) as target,
                create_task_group() as tasks,
            ):
                tasks.start_soon(self.pass_requests, caller, target)
                await self.pass_answers(caller, target)
                tasks.cancel_scope.cancel()
        except (BrokenResourceError, ClosedResourceError, OSError):
            pass
        finally:
            self.open.discard(caller)
            self.silent.discard(caller)

    async def pass_requests(self, caller: SocketStream, target: SocketStream) -> None:
        """Carry bytes from the daemon to the target."""
        with suppress(EndOfStream, BrokenResourceError, ClosedResourceError):
            while True:
                data = await caller.receive(READ_BYTES)
                if self.delay_s:
                    await sleep(self.delay_s)
                if caller not in self.silent and "requests" not in self.lost_ways:
                    await target.send(data)
        with suppress(BrokenResourceError, ClosedResourceError, OSError):
            await target.send_eof()

    async def pass_answers(self, caller: SocketStream, target: SocketStream) -> None:
        """Carry bytes from the target to the daemon."""
        with suppress(EndOfStream, BrokenResourceError, ClosedResourceError):
            while True:
                data = await target.receive(READ_BYTES)
                if self.cut_requests:
                    return
                if self.delay_s:
                    await sleep(self.delay_s)
                if caller in self.silent or "answers" in self.lost_ways:
                    continue
                late, self.late_bytes = self.late_bytes, b""
                if late and self.late_after_s:
                    await caller.send(data)
                    await sleep(self.late_after_s)
                    data = b""
                await caller.send(data + late)


@asynccontextmanager
async def run_relay(relay: Relay, port: int = 0) -> AsyncIterator[int]:
    """Run a relay for the life of the context and yield its port."""
    async with (
        await create_tcp_listener(local_host="127.0.0.1", local_port=port) as listener,
        create_task_group() as tasks,
    ):
        tasks.start_soon(listener.serve, relay.carry)
        yield listener.extra(SocketAttribute.local_port)
        tasks.cancel_scope.cancel()
