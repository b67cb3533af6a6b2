"""Stand-in of the network between daemons, in one process, with seeded faults."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from functools import partial
from random import Random

from anyio import create_task_group, sleep
from anyio.abc import TaskGroup
from msgspec import field, Struct

from primroseturn.control.endpoint import Endpoint
from primroseturn.control.messages import decode_message
from primroseturn.control.zeromq import PeerAddress
from primroseturn.standins.events import SimulationLog


class NetworkFaults(Struct):
    """Faults in force. Shares are probabilities per message.

    Attributes
    ----------
    delay_s, jitter_s
        Fixed delay and upper bound of the added random delay, which reorders.
    region_delay_s
        Fixed delay between VMs of different regions (`MemoryNetwork.regions_by_vm`).
    cuts
        Ordered pairs (sender, receiver) whose messages are lost.
    lost_tags_by_receiver
        Types of messages that a receiver never gets.
    held_receivers
        Receivers whose messages wait until `MemoryNetwork.release`.
    """

    loss_share: float = 0.0
    duplicate_share: float = 0.0
    delay_s: float = 0.0005
    jitter_s: float = 0.0
    region_delay_s: float = 0.0005
    cuts: set[tuple[str, str]] = field(default_factory=set)
    lost_tags_by_receiver: dict[str, set[str]] = field(default_factory=dict)
    held_receivers: set[str] = field(default_factory=set)


class MemoryNetwork:
    """Carries encoded frames between the buses of one process."""

    def __init__(self, tasks: TaskGroup, seed: int) -> None:
        self.tasks = tasks
        self.random = Random(seed)
        self.faults = NetworkFaults()
        self.regions_by_vm: dict[str, str] = {}
        self.buses_by_vm: dict[str, MemoryBus] = {}
        self.held: list[tuple[str, str, bytes]] = []
        self.frame_count = 0
        self.frame_bytes = 0

    def join(self, vm: str, incarnation: str) -> "MemoryBus":
        """Return the bus of a VM; a former bus of the same VM gets nothing more."""
        bus = MemoryBus(self, vm, incarnation)
        self.buses_by_vm[vm] = bus
        return bus

    def leave(self, vm: str) -> None:
        """Drop a VM; frames to it are lost."""
        self.buses_by_vm.pop(vm, None)

    def send_frame(self, sender: str, receiver: str, frame: bytes) -> None:
        """Deliver a frame as the faults in force say."""
        self.frame_count += 1
        self.frame_bytes += len(frame)
        lost = self.random.random() < self.faults.loss_share
        if lost or (sender, receiver) in self.faults.cuts:
            return
        if self.faults.lost_tags_by_receiver:
            tags = self.faults.lost_tags_by_receiver.get(receiver, ())
            if decode_message(frame).ok.tag in tags:
                return
        if receiver in self.faults.held_receivers:
            self.held.append((sender, receiver, frame))
            return
        copies = 2 if self.random.random() < self.faults.duplicate_share else 1
        for _ in range(copies):
            delay = self.path_delay_s(sender, receiver)
            delay += self.random.random() * self.faults.jitter_s
            self.tasks.start_soon(self.deliver, sender, receiver, frame, delay)

    def path_delay_s(self, sender: str, receiver: str) -> float:
        """Return the fixed delay from one VM to another."""
        regions = self.regions_by_vm
        if regions.get(sender) == regions.get(receiver):
            return self.faults.delay_s
        return self.faults.region_delay_s

    def release(self, receiver: str) -> None:
        """Deliver the messages that were held back for a receiver, in order."""
        waiting = [item for item in self.held if item[1] == receiver]
        self.held = [item for item in self.held if item[1] != receiver]
        for sender, _, frame in waiting:
            self.tasks.start_soon(self.deliver, sender, receiver, frame, 0.0)

    async def deliver(
        self, sender: str, receiver: str, frame: bytes, delay_s: float
    ) -> None:
        """Hand a frame to its receiver after a delay."""
        await sleep(delay_s)
        bus = self.buses_by_vm.get(receiver)
        if bus is not None:
            await bus.receive(frame, partial(self.send_frame, receiver, sender))


class MemoryBus(Endpoint):
    """Bus of one VM on a `MemoryNetwork`."""

    def __init__(self, network: MemoryNetwork, vm: str, incarnation: str) -> None:
        super().__init__(vm, incarnation, SimulationLog(vm, incarnation))
        self.network = network
        self.port = 0

    def transmit(self, peer: str, frame: bytes) -> None:
        """Hand a frame to the network."""
        self.network.send_frame(self.vm, peer, frame)

    def set_address(self, peer: str, address: PeerAddress) -> None:
        """Ignore addresses; the network finds buses by name."""

    def remove_address(self, peer: str) -> None:
        """Ignore addresses; the network finds buses by name."""


@asynccontextmanager
async def run_network(seed: int) -> AsyncIterator[MemoryNetwork]:
    """Run a network for the life of the context."""
    async with create_task_group() as tasks:
        yield MemoryNetwork(tasks, seed)
        tasks.cancel_scope.cancel()
