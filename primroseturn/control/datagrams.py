"""Bus over UDP for small messages that lose their worth within a second.

A lost or late connection must neither delay such messages nor deliver them in a burst
afterwards, as a queue of a TCP connection does. Larger messages go over ZeroMQ.
"""

from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager
from socket import AF_INET, SOCK_DGRAM, socket

from anyio import create_task_group, wait_readable

from primroseturn.control.endpoint import Endpoint
from primroseturn.control.zeromq import PeerAddress

# Fits the usual MTU of 1,500 bytes with the headers of IP and UDP.
DATAGRAM_LIMIT_BYTES = 1_400
READ_BYTES = 65_536


class DatagramBus(Endpoint):
    """Sends and receives messages as datagrams."""

    def __init__(self, vm: str, incarnation: str, own_socket: socket) -> None:
        super().__init__(vm, incarnation)
        self.socket = own_socket
        self.addresses_by_vm: dict[str, PeerAddress] = {}

    def learn_address(self, peer: str, address: PeerAddress) -> None:
        """Use an address for a peer from now on."""
        self.addresses_by_vm[peer] = address

    def forget_address(self, peer: str) -> None:
        """Send nothing more to a peer."""
        self.addresses_by_vm.pop(peer, None)

    def transmit(self, peer: str, frame: bytes) -> None:
        """Send a frame to a known peer."""
        address = self.addresses_by_vm.get(peer)
        if address is None:
            self.drop("unknown_peer")
        else:
            self.send_frame(frame, address.host, address.port)

    def send_frame(self, frame: bytes, host: str, port: int) -> None:
        """Send a frame if it fits a datagram."""
        if len(frame) > DATAGRAM_LIMIT_BYTES:
            self.drop("oversized")
            return
        try:
            self.socket.sendto(frame, (host, port))
        except OSError as error:
            # A full buffer or an unreachable peer loses the datagram.
            self.drop(f"socket_{error.errno}")

    async def receive_forever(self) -> None:
        """Handle arriving datagrams."""
        while True:
            await wait_readable(self.socket)
            for frame, address in self.read_waiting():
                await self.receive(
                    frame, lambda reply, to=address: self.send_frame(reply, *to)
                )

    def read_waiting(self) -> Iterator[tuple[bytes, tuple[str, int]]]:
        """Yield the datagrams that have arrived."""
        while True:
            try:
                yield self.socket.recvfrom(READ_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                # An earlier datagram met a closed port.
                self.drop(f"socket_{error.errno}")
                return


@asynccontextmanager
async def run_datagram_bus(
    vm: str, incarnation: str, host: str, port: int
) -> AsyncIterator[DatagramBus]:
    """Run a bus for the life of the context."""
    with socket(AF_INET, SOCK_DGRAM) as own_socket:
        own_socket.setblocking(False)
        own_socket.bind((host, port))
        bus = DatagramBus(vm, incarnation, own_socket)
        async with create_task_group() as tasks:
            tasks.start_soon(bus.receive_forever)
            yield bus
            tasks.cancel_scope.cancel()
