"""Stand-in of the network between daemons in one process, with seeded faults."""

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
        Fixed delay within a region, and upper bound of the random delay that is added
        to all messages and reorders them.
    region_delay_s
        Fixed delay between VMs of different regions (`MemoryNetwork.regions_by_vm`).
    cuts
        Pairs of sender and receiver whose messages are lost in this direction.
    lost_tags_by_receiver
        Tags of the types of messages that are lost on the way to a receiver.
    held_receivers
        Receivers whose messages wait until `MemoryNetwork.release` is called.
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
    """Carries encoded frames between the buses of one process.

    Attributes
    ----------
    regions_by_vm
        Regions of VMs; VMs without one are in the same region.
    held_frames
        Sender, receiver and content of the frames to `NetworkFaults.held_receivers`.
    """

    def __init__(self, tasks: TaskGroup, seed: int) -> None:
        self.tasks = tasks
        self.random = Random(seed)
        self.faults = NetworkFaults()
        self.regions_by_vm: dict[str, str] = {}
        self.buses_by_vm: dict[str, MemoryBus] = {}
        self.held_frames: list[tuple[str, str, bytes]] = []
        self.frame_count = 0
        self.frame_bytes = 0

    def join(self, vm: str, incarnation: str) -> "MemoryBus":
        """Return the bus of a VM; a former bus of the VM receives nothing any more."""
        bus = MemoryBus(self, vm, incarnation)
        self.buses_by_vm[vm] = bus
        return bus

    def leave(self, vm: str) -> None:
        """Remove a VM; frames to it are lost."""
        self.buses_by_vm.pop(vm, None)

    def send_frame(self, sender: str, receiver: str, frame: bytes) -> None:
        """Deliver, delay, duplicate, hold or drop a frame, by the faults in force."""
        self.frame_count += 1
        self.frame_bytes += len(frame)
        is_lost = self.random.random() < self.faults.loss_share
        if is_lost or (sender, receiver) in self.faults.cuts:
            return
        if self.faults.lost_tags_by_receiver:
            tags = self.faults.lost_tags_by_receiver.get(receiver, ())
            if decode_message(frame).ok.tag in tags:
                return
        if receiver in self.faults.held_receivers:
            self.held_frames.append((sender, receiver, frame))
            return
        copies = 2 if self.random.random() < self.faults.duplicate_share else 1
        for _ in range(copies):
            delay_s = self.path_delay_s(sender, receiver)
            delay_s += self.random.random() * self.faults.jitter_s
            self.tasks.start_soon(self.deliver, sender, receiver, frame, delay_s)

    def path_delay_s(self, sender: str, receiver: str) -> float:
        """Return the fixed delay from one VM to another."""
        regions = self.regions_by_vm
        if regions.get(sender) == regions.get(receiver):
            return self.faults.delay_s
        return self.faults.region_delay_s

    def release(self, receiver: str) -> None:
        """Deliver the messages that are held for a receiver, in their order."""
        released = [item for item in self.held_frames if item[1] == receiver]
        self.held_frames = [item for item in self.held_frames if item[1] != receiver]
        for sender, _, frame in released:
            self.tasks.start_soon(self.deliver, sender, receiver, frame, 0.0)

    async def deliver(
        self, sender: str, receiver: str, frame: bytes, delay_s: float
    ) -> None:
        """Deliver a frame to its receiver after a delay."""
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
        """Send a frame over the network."""
        self.network.send_frame(self.vm, peer, frame)

    def set_address(self, peer: str, address: PeerAddress) -> None:
        """Do nothing, because the network finds buses by the names of their VMs."""

    def remove_address(self, peer: str) -> None:
        """Do nothing, because the network finds buses by the names of their VMs."""


@asynccontextmanager
async def run_network(seed: int) -> AsyncIterator[MemoryNetwork]:
    """Run a network until the context ends."""
    async with create_task_group() as tasks:
        yield MemoryNetwork(tasks, seed)
        tasks.cancel_scope.cancel()
