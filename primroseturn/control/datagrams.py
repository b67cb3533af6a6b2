"""Bus over UDP for small messages that lose their worth within a second.

A lost or late connection must neither delay such messages nor deliver them in a burst
afterwards, as a queue of a TCP connection does. Larger messages go over ZeroMQ.
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
LAST_PORT = 65_535
# Datagrams that wait for this process; beyond that the oldest are dropped.
WAITING_LIMIT = 1_000

Address = tuple[str, int]


class Arrivals(asyncio.DatagramProtocol):
    """Keeps arriving datagrams until they are handled."""

    def __init__(self) -> None:
        self.waiting: deque[tuple[bytes, Address]] = deque(maxlen=WAITING_LIMIT)
        self.arrived = Event()

    def datagram_received(self, data: bytes, addr: Address) -> None:
        """Take in a datagram."""
        self.waiting.append((data, addr))
        self.arrived.set()


class DatagramBus(Endpoint):
    """Sends and receives messages as datagrams."""

    limit_bytes = DATAGRAM_LIMIT_BYTES

    def __init__(
        self,
        events: EventLog,
        transport: asyncio.DatagramTransport,
        arrivals: Arrivals,
        background: Background,
    ) -> None:
        super().__init__(events.vm, events.incarnation, events)
        self.background = background
        self.transport = transport
        self.arrivals = arrivals
        self.addresses_by_vm: dict[str, PeerAddress] = {}

    def set_address(self, peer: str, address: PeerAddress) -> None:
        """Use an address for a peer from now on."""
        self.addresses_by_vm[peer] = address

    def remove_address(self, peer: str) -> None:
        """Send nothing more to a peer."""
        self.addresses_by_vm.pop(peer, None)

    def transmit(self, peer: str, frame: bytes) -> None:
        """Send a frame to a known peer."""
        address = self.addresses_by_vm.get(peer)
        if address is None:
            self.drop("unknown_peer")
        else:
            self.send_frame(frame, (address.host, address.port))

    def send_frame(self, frame: bytes, address: Address) -> None:
        """Send a frame if it fits a datagram.

        Raises
        ------
        ValueError
            If the port of the address does not exist.
        """
        _, port = address
        if not 0 < port <= LAST_PORT:
            # asyncio would close the socket.
            raise ValueError(f"there is no port {port}")
        if len(frame) > DATAGRAM_LIMIT_BYTES:
            self.drop("oversized")
        elif self.transport.get_write_buffer_size():
            # The socket takes no more; what waits would be stale.
            self.drop("socket_full")
        else:
            self.transport.sendto(frame, address)

    async def receive_forever(self) -> None:
        """Handle arriving datagrams."""
        arrivals = self.arrivals
        while True:
            await arrivals.arrived.wait()
            arrivals.arrived = Event()
            while arrivals.waiting:
                frame, address = arrivals.waiting.popleft()
                # An error of one message's handler must not delay the next message.
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
    """Run a bus for the life of the context."""
    loop = asyncio.get_running_loop()
    transport, arrivals = await loop.create_datagram_endpoint(
        Arrivals, local_addr=(host, port)
    )
    try:
        async with run_background(events) as background:
            bus = DatagramBus(events, transport, arrivals, background)
            background.keep_running(bus.receive_forever)
            yield bus
    finally:
        transport.close()
