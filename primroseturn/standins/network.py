"""Stand-in of the network between daemons, in one process, with seeded faults."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from random import Random

from anyio import create_task_group, Event, move_on_after, sleep
from anyio.abc import TaskGroup
from expression import Error, Ok, Result
from msgspec import field, Struct

from primroseturn.control.bus import Handler, PeerUnavailable, Sender
from primroseturn.control.messages import decode_message, encode_message, Message


class NetworkFaults(Struct):
    """Faults in force. Shares are probabilities per message.

    Attributes
    ----------
    delay_s, jitter_s
        Fixed delay and upper bound of the added random delay, which reorders.
    cuts
        Ordered pairs (sender, receiver) whose messages are lost.
    """

    loss_share: float = 0.0
    duplicate_share: float = 0.0
    delay_s: float = 0.0005
    jitter_s: float = 0.0
    cuts: set[tuple[str, str]] = field(default_factory=set)


class MemoryNetwork:
    """Carries encoded frames between the buses of one process."""

    def __init__(self, tasks: TaskGroup, seed: int) -> None:
        self.tasks = tasks
        self.random = Random(seed)
        self.faults = NetworkFaults()
        self.buses_by_vm: dict[str, MemoryBus] = {}
        self.frames = 0
        self.frame_bytes = 0

    def join(self, vm: str, incarnation: str) -> "MemoryBus":
        """Return the bus of a VM; a former bus of the same VM gets nothing more."""
        bus = MemoryBus(self, vm, incarnation)
        self.buses_by_vm[vm] = bus
        return bus

    def leave(self, vm: str) -> None:
        """Drop a VM; frames to it are lost."""
        self.buses_by_vm.pop(vm, None)

    def carry(self, sender: str, receiver: str, frame: bytes) -> None:
        """Deliver a frame as the faults in force say."""
        self.frames += 1
        self.frame_bytes += len(frame)
        lost = self.random.random() < self.faults.loss_share
        if lost or (sender, receiver) in self.faults.cuts:
            return
        copies = 2 if self.random.random() < self.faults.duplicate_share else 1
        for _ in range(copies):
            delay = self.faults.delay_s + self.random.random() * self.faults.jitter_s
            self.tasks.start_soon(self.deliver, receiver, frame, delay)

    async def deliver(self, receiver: str, frame: bytes, delay_s: float) -> None:
        """Hand a frame to its receiver after a delay."""
        await sleep(delay_s)
        bus = self.buses_by_vm.get(receiver)
        if bus is not None:
            await bus.receive(frame)


class MemoryBus:
    """Bus of one VM on a `MemoryNetwork`."""

    def __init__(self, network: MemoryNetwork, vm: str, incarnation: str) -> None:
        self.network = network
        self.vm = vm
        self.incarnation = incarnation
        self.number = 0
        self.handlers_by_kind: dict[type[Message], Handler] = {}
        self.replies_by_number: dict[int, Message] = {}
        self.waiting_by_number: dict[int, Event] = {}

    def handle(self, kind: type[Message], handler: Handler) -> None:
        """Run `handler` for each message of a type; what it returns is the reply."""
        self.handlers_by_kind[kind] = handler

    async def send(self, peer: str, message: Message) -> None:
        """Send a message without waiting for a reply."""
        self.post(peer, message, 0)

    async def request(
        self, peer: str, message: Message, timeout_s: float
    ) -> Result[Message, PeerUnavailable]:
        """Send a message and return the first reply to it."""
        number = self.post(peer, message, 0)
        arrived = self.waiting_by_number[number] = Event()
        try:
            with move_on_after(timeout_s):
                await arrived.wait()
        finally:
            del self.waiting_by_number[number]
        if number in self.replies_by_number:
            return Ok(self.replies_by_number.pop(number))
        return Error(PeerUnavailable(peer))

    def post(self, peer: str, message: Message, reply_to: int) -> int:
        """Encode a message, hand it to the network and return its number."""
        self.number += 1
        frame = encode_message(
            message, self.vm, self.incarnation, self.number, reply_to
        )
        self.network.carry(self.vm, peer, frame)
        return self.number

    async def receive(self, frame: bytes) -> None:
        """Handle an arriving frame."""
        decoded = decode_message(frame)
        if decoded.is_error():
            return
        envelope = decoded.ok
        if envelope.reply_to:
            waiting = self.waiting_by_number.get(envelope.reply_to)
            if waiting is not None and not waiting.is_set():
                self.replies_by_number[envelope.reply_to] = envelope.body
                waiting.set()
            return
        handler = self.handlers_by_kind.get(type(envelope.body))
        if handler is None:
            return
        sender = Sender(envelope.sender, envelope.incarnation)
        reply = await handler(sender, envelope.body)
        if reply is not None:
            self.post(envelope.sender, reply, envelope.number)


@asynccontextmanager
async def run_network(seed: int) -> AsyncIterator[MemoryNetwork]:
    """Run a network for the life of the context."""
    async with create_task_group() as tasks:
        yield MemoryNetwork(tasks, seed)
        tasks.cancel_scope.cancel()
