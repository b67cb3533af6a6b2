"""Bus over UDP for small messages that are stale after a second.

The send queue of a TCP connection would delay such messages while the connection is
lost or slow, and deliver them in a burst afterwards. Larger messages go over ZeroMQ.
"""

import asyncio
from collections import deque
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from anyio import Event

from primroseturn.control.endpoint import Endpoint
from primroseturn.control.zeromq import PeerAddress
from primroseturn.kernel.background import Background, run_background
from primroseturn.observation.events import EventLog

# Fits the usual MTU of 1,500 bytes with the headers of IP and UDP.
DATAGRAM_LIMIT_BYTES = 1_400
MAX_PORT = 65_535
# Received datagrams that may wait for their handlers; the oldest ones beyond this
# number are dropped.
MAX_QUEUED_DATAGRAMS = 1_000

Address = tuple[str, int]


class DatagramQueue(asyncio.DatagramProtocol):
    """Queues received datagrams until they are handled."""

    def __init__(self) -> None:
        self.datagrams: deque[tuple[bytes, Address]] = deque(
            maxlen=MAX_QUEUED_DATAGRAMS
        )
        self.has_datagrams = Event()

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Queue a received datagram."""
        self.datagrams.append((data, addr))
        self.has_datagrams.set()


class DatagramBus(Endpoint):
    """Sends and receives messages as datagrams."""

    limit_bytes = DATAGRAM_LIMIT_BYTES

    def __init__(
        self,
        events: EventLog,
        transport: asyncio.DatagramTransport,
        queue: DatagramQueue,
        background: Background,
    ) -> None:
        super().__init__(events.vm, events.incarnation, events)
        self.background = background
        self.transport = transport
        self.queue = queue
        self.addresses_by_vm: dict[str, PeerAddress] = {}

    def set_address(self, peer: str, address: PeerAddress) -> None:
        """Set the address of a peer."""
        self.addresses_by_vm[peer] = address

    def remove_address(self, peer: str) -> None:
        """Remove the address of a peer; messages to it are dropped from now on."""
        self.addresses_by_vm.pop(peer, None)

    def transmit(self, peer: str, frame: bytes) -> None:
        """Send a frame to a known peer."""
        address = self.addresses_by_vm.get(peer)
        if address is None:
            self.drop("unknown_peer")
        else:
            self.send_frame(frame, (address.host, address.port))

    def send_frame(self, frame: bytes, address: Address) -> None:
        """Send a frame, or drop it if it is too large or the socket buffer is full.

        Raises
        ------
        ValueError
            If the port of the address is not a valid UDP port.
        """
        _, port = address
        if not 0 < port <= MAX_PORT:
            # asyncio closes the socket when it sends to an invalid port.
            raise ValueError(f"{port} is not a valid UDP port")
        if len(frame) > DATAGRAM_LIMIT_BYTES:
            self.drop("oversized")
        elif self.transport.get_write_buffer_size():
            # The socket buffer is full; a frame that waited for it would be stale.
            self.drop("socket_full")
        else:
            self.transport.sendto(frame, address)

    async def receive_forever(self) -> None:
        """Handle received datagrams in their order."""
        queue = self.queue
        while True:
            await queue.has_datagrams.wait()
            queue.has_datagrams = Event()
            while queue.datagrams:
                frame, address = queue.datagrams.popleft()
                # An error in the handler of one message must not delay the next one.
                await self.background.run_task(
                    self.receive,
                    frame,
                    lambda reply, to=address: self.send_frame(reply, to),
                    None,
                    f"{address[0]}:{address[1]}",
                )


@asynccontextmanager
async def run_datagram_bus(
    events: EventLog, host: str, port: int
) -> AsyncIterator[DatagramBus]:
    """Run a UDP bus until the context ends."""
    loop = asyncio.get_running_loop()
    transport, queue = await loop.create_datagram_endpoint(
        DatagramQueue, local_addr=(host, port)
    )
    try:
        async with run_background(events) as background:
            bus = DatagramBus(events, transport, queue, background)
            background.keep_running(bus.receive_forever)
            yield bus
    finally:
        transport.close()
