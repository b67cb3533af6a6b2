"""Bounds the memory of the requests that are under way, as a sum over all of them.

Each request holds a fixed number of bytes for its buffers, which are bounded by the
limits of its connections, and further bytes for a response that is buffered whole.
What does not fit is not read: the response is then forwarded as it arrives. A request
that does not fit replaces a connection without progress, or is refused.
"""

from asyncio import WriteTransport
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from enum import Enum
from typing import NamedTuple

from anyio import current_time, sleep

from primroseturn.entry.events import CONNECTION_EVICTED, MEMORY_SHORT
from primroseturn.entry.metrics import EVICTIONS, MEMORY_BYTES
from primroseturn.observation.events import EventLog
from primroseturn.serving.idle import IdleConnections

KIB, MB = 1024, 1_000_000
# Fraction of the VM's memory that this process may use. The rest is for fragmentation
# of the heap, garbage that is not collected yet and bytes in sockets.
USABLE_SHARE = 0.8
# Bytes of a process without requests: the interpreter, the modules, the configuration
# and the list of targets.
PROCESS_BYTES = 64 * MB
# What the configuration takes, as a multiple of its encoded size: two versions, decoded
# and translated (8), the documents that other VMs may fetch (4), and the next version
# while it is read (4).
CONFIGURATION_FACTOR = 16
# What a listed target takes: its state, its part of the documents, and of the next list
# while that is read.
TARGET_BYTES = 3 * KIB
# Bytes of both in `PROCESS_BYTES`.
USUAL_DOCUMENT_BYTES = 6 * MB
# An open connection of a caller: socket, parser, task, and a usual head that has not
# ended (8 KiB).
CONNECTION_BYTES = 20 * KIB
# A request without its attempt: its task and what its caller sends meanwhile (40 KiB),
# a usual head (24 KiB), a part on its way to the caller, its copies and the buffer of
# the caller's connection (4 x 16 KiB). What an unusual head takes beyond that is held
# by the connection (`HeadSize`).
REQUEST_BYTES = 128 * KIB
# The connection to the target: the buffer of its reader (32 KiB), and a usual head and
# two parts of the body (56 KiB), or up to 64 KiB of a head that has not ended.
ATTEMPT_BYTES = 96 * KIB
# A body that is longer than `SHORT_BODY_BYTES`: the buffer of the reader (48 KiB), the
# queue before the application (160 KiB), the start that is kept for another attempt
# (64 KiB) and the buffer of the target's connection (32 KiB).
LONG_BODY_BYTES = 304 * KIB
# The trailers of a body without a length, which the parser keeps until they have ended.
TRAILER_BYTES = 64 * KIB
SHORT_BODY_BYTES = 64 * KIB
# Fractions of the capacity up to which bytes are held for responses that are buffered
# whole, for requests, and for connections. A response that is not buffered is still
# served, and a request that is refused still needs its connection.
BUFFERED_SHARE, REQUESTS_SHARE, CONNECTIONS_SHARE = 0.1, 0.9, 1.0
# Growing buffers reserve an eighth in advance.
BUFFER_FACTOR = 1.125
# Seconds without progress after which a connection may be closed for another request.
STALL_S = 1.0
SAMPLE_INTERVAL_S = 0.25
# Fraction of the capacity above which progress is sampled.
SAMPLE_SHARE = 0.5
# Seconds between two log entries about missing memory.
REPORT_INTERVAL_S = 5.0


class Phase(Enum):
    """What a request is doing with the bytes that it holds."""

    # Its head is read from the caller.
    RECEIVING = "receiving"
    # The body is read from the caller and sent to the target.
    SENDING = "sending"
    # The target runs the request. It holds no bytes that someone else must read.
    WAITING = "waiting"
    # The response is sent to the caller.
    DELIVERING = "delivering"


class Holder(NamedTuple):
    """For whom bytes are held, for log entries."""

    request: str
    workspace: str | None


class Holding:
    """The bytes that one request holds.

    Attributes
    ----------
    target
        Id of the target of the last attempt.
    evict
        Ends the request and closes its caller's connection.
    unsent_bytes
        Returns the bytes that wait for the caller to read.
    progressed_at
        Monotonic time in seconds at which the request last made progress.
    """

    def __init__(
        self,
        budget: "MemoryBudget",
        holder: Holder,
        size: int,
        evict: Callable[[], None],
        unsent_bytes: Callable[[], int],
    ) -> None:
        self.budget = budget
        self.holder = holder
        self.size = size
        self.evict = evict
        self.unsent_bytes = unsent_bytes
        self.target: str | None = None
        self.phase = Phase.WAITING
        self.progressed_at = current_time()
        self.sampled_bytes = 0
        self.is_evicted = False

    def enter(self, phase: Phase) -> None:
        """Begin a phase."""
        self.phase = phase
        self.progressed_at = current_time()

    def record_progress(self) -> None:
        """Record that bytes were read or sent."""
        self.progressed_at = current_time()

    def is_blocked(self) -> bool:
        """Return whether the request waits for someone to read what it holds."""
        if self.phase is Phase.DELIVERING:
            return self.unsent_bytes() > 0
        return self.phase in (Phase.RECEIVING, Phase.SENDING)

    def sample(self, now: float) -> None:
        """Record progress if the caller has read bytes since the last sample."""
        unsent = self.unsent_bytes()
        if unsent < self.sampled_bytes:
            self.progressed_at = now
        self.sampled_bytes = unsent

    def try_grow(self, size: int) -> bool:
        """Hold further bytes and return True, if they fit without an eviction."""
        grown = int(size * BUFFER_FACTOR)
        if self.is_evicted or not self.budget.has_room(grown, BUFFERED_SHARE):
            return False
        self.size += grown
        self.budget.add(grown)
        return True

    def try_hold_head(self, size: int) -> bool:
        """Hold the bytes of a response's long head and return True, if they fit."""
        if self.is_evicted or not self.budget.make_room(size, REQUESTS_SHARE):
            return False
        self.size += size
        self.budget.add(size)
        return True


class MemoryBudget:
    """The bytes that all requests and connections of this VM may hold.

    Parameters
    ----------
    memory_bytes
        Memory of the VM, beyond which the platform ends the process.

    Attributes
    ----------
    capacity_bytes
        Bytes that connections and requests may hold together.
    held_bytes
        Bytes that they hold, and `document_bytes`.
    document_bytes
        Bytes of the configuration and the list of targets beyond a usual size.
    connections
        Open connections of callers.
    idle_connections
        Those that wait for a request, None before the listener has been opened.
    heads_by_transport
        What unusual heads hold, by the connections of their callers.
    """

    def __init__(self, memory_bytes: int, events: EventLog) -> None:
        usable = int(USABLE_SHARE * memory_bytes) - PROCESS_BYTES
        self.capacity_bytes = max(usable, MB)
        self.events = events
        self.held_bytes = 0
        self.document_bytes = 0
        self.holdings: dict[Holding, None] = {}
        self.connections: set[WriteTransport] = set()
        self.idle_connections: IdleConnections | None = None
        self.heads_by_transport: dict[WriteTransport, Holding] = {}
        self.reported_at = -REPORT_INTERVAL_S
        MEMORY_BYTES.labels("capacity").set(self.capacity_bytes)

    def has_room(self, size: int, share: float) -> bool:
        """Return whether further bytes fit into a fraction of the capacity."""
        return self.held_bytes + size <= share * self.capacity_bytes

    def add(self, size: int) -> None:
        """Add to the held bytes; a negative number is subtracted."""
        self.held_bytes += size
        MEMORY_BYTES.labels("held").set(self.held_bytes)

    def hold_documents(self, configuration_bytes: int, target_count: int) -> None:
        """Set the bytes of the configuration and the list of targets.

        Parameters
        ----------
        configuration_bytes
            Encoded size of the configuration.
        """
        size = CONFIGURATION_FACTOR * configuration_bytes + TARGET_BYTES * target_count
        size = max(0, size - USUAL_DOCUMENT_BYTES)
        self.add(size - self.document_bytes)
        self.document_bytes = size

    def use_idle_connections(self, idle_connections: IdleConnections) -> None:
        """Set the connections that may be closed for others."""
        self.idle_connections = idle_connections

    def try_open_connection(self, transport: WriteTransport) -> bool:
        """Hold the bytes of a caller's connection and return True, if they fit."""
        if not self.make_room(CONNECTION_BYTES, CONNECTIONS_SHARE):
            return False
        self.connections.add(transport)
        self.add(CONNECTION_BYTES)
        return True

    def close_connection(self, transport: WriteTransport) -> None:
        """Release the bytes of a caller's connection and of its head."""
        if transport in self.connections:
            self.connections.remove(transport)
            self.add(-CONNECTION_BYTES)
        self.release_head(transport)

    def close_idle_connection(self) -> bool:
        """Close the oldest unused connection and return whether there was one."""
        if self.idle_connections is None:
            return False
        transport = self.idle_connections.close_oldest()
        if transport is None:
            return False
        EVICTIONS.labels("idle").inc()
        self.close_connection(transport)
        return True

    def try_hold_head(self, transport: WriteTransport, size: int) -> bool:
        """Set the bytes of a connection's head and return True, if they fit."""
        holding = self.heads_by_transport.get(transport)
        if holding is not None:
            holding.record_progress()
        grown = size - (holding.size if holding else 0)
        if not self.make_room(grown, REQUESTS_SHARE):
            return False
        if holding is None:
            # The request's id and workspace are not known before its head is.
            holding = Holding(
                self, Holder("", None), 0, transport.abort, no_unsent_bytes
            )
            self.heads_by_transport[transport] = holding
            self.holdings[holding] = None
        elif holding.is_evicted:
            return False
        holding.size += grown
        self.add(grown)
        holding.enter(Phase.RECEIVING)
        return True

    def end_head(self, transport: WriteTransport) -> None:
        """Record that a head has arrived whole: its bytes wait for nobody."""
        if transport in self.heads_by_transport:
            self.heads_by_transport[transport].enter(Phase.WAITING)

    def release_head(self, transport: WriteTransport) -> None:
        """Release the bytes of a head whose request has ended."""
        holding = self.heads_by_transport.pop(transport, None)
        if holding is not None:
            self.release(holding)

    @contextmanager
    def hold(
        self,
        holder: Holder,
        body_bytes: int | None,
        evict: Callable[[], None],
        unsent_bytes: Callable[[], int],
    ) -> Iterator[Holding | None]:
        """Hold the bytes of a request during the context.

        Parameters
        ----------
        body_bytes
            Length of the request's body in bytes, None if it is not known.

        Yields
        ------
        Holding | None
            None if the bytes do not fit.
        """
        size = request_bytes(body_bytes)
        if not self.make_room(size, REQUESTS_SHARE):
            yield None
            return
        holding = Holding(self, holder, size, evict, unsent_bytes)
        self.holdings[holding] = None
        self.add(size)
        try:
            yield holding
        finally:
            self.release(holding)

    def release(self, holding: Holding) -> None:
        """Release the bytes of a request; a second release changes nothing."""
        if holding in self.holdings:
            del self.holdings[holding]
            self.add(-holding.size)

    def make_room(self, size: int, share: float) -> bool:
        """Return whether further bytes fit, after evictions if they are needed.

        The requests that have made no progress for the longest time go first, then the
        connections without a request. A request that made progress within `STALL_S` is
        not evicted.
        """
        if self.has_room(size, share):
            return True
        now = current_time()
        self.report_shortage(now)
        for holding in self.stalled(now):
            self.evict(holding, now)
            if self.has_room(size, share):
                return True
        while self.close_idle_connection():
            if self.has_room(size, share):
                return True
        return False

    def stalled(self, now: float) -> list[Holding]:
        """Return the requests without progress, the longest stalled first."""
        found = [
            holding
            for holding in self.holdings
            if now - holding.progressed_at >= STALL_S and holding.is_blocked()
        ]
        return sorted(found, key=lambda holding: holding.progressed_at)

    def evict(self, holding: Holding, now: float) -> None:
        """End a request without progress and close its caller's connection."""
        holding.is_evicted = True
        self.release(holding)
        EVICTIONS.labels(holding.phase.value).inc()
        self.events.emit(
            CONNECTION_EVICTED,
            request=holding.holder.request,
            workspace=holding.holder.workspace,
            target=holding.target,
            phase=holding.phase.value,
            held_bytes=holding.size,
            stalled_s=round(now - holding.progressed_at, 3),
        )
        holding.evict()

    def end_stalled_upload(self) -> None:
        """End the request whose head or body has not gone on for the longest time.

        Reading of responses is sampled only while memory is short, so that one whose
        caller reads slowly can't be told from one whose caller reads nothing.
        """
        now = current_time()
        for holding in self.stalled(now):
            if holding.phase is not Phase.DELIVERING:
                self.evict(holding, now)
                return

    def report_shortage(self, now: float) -> None:
        """Log who holds the most bytes, at most once per `REPORT_INTERVAL_S`."""
        if now - self.reported_at < REPORT_INTERVAL_S:
            return
        self.reported_at = now
        by_target: Counter[str] = Counter()
        by_workspace: Counter[str] = Counter()
        for holding in self.holdings:
            by_target[holding.target or "none"] += holding.size
            by_workspace[holding.holder.workspace or "none"] += holding.size
        self.events.emit(
            MEMORY_SHORT,
            held_bytes=self.held_bytes,
            capacity_bytes=self.capacity_bytes,
            requests=len(self.holdings),
            connections=len(self.connections),
            by_target=dict(by_target.most_common(3)),
            by_workspace=dict(by_workspace.most_common(3)),
        )

    async def sample_forever(self) -> None:
        """Sample what callers read while much of the capacity is held."""
        while True:
            await sleep(SAMPLE_INTERVAL_S)
            if self.held_bytes < SAMPLE_SHARE * self.capacity_bytes:
                continue
            now = current_time()
            for holding in self.holdings:
                if holding.phase is Phase.DELIVERING:
                    holding.sample(now)


def request_bytes(body_bytes: int | None) -> int:
    """Return the bytes that are held for a request with a body of a length."""
    return REQUEST_BYTES + ATTEMPT_BYTES + held_body_bytes(body_bytes)


def no_unsent_bytes() -> int:
    """Return the bytes that wait for a caller who has got no response yet."""
    return 0


def held_body_bytes(body_bytes: int | None) -> int:
    """Return the bytes that are held for a request's body of a length."""
    if body_bytes is None:
        return LONG_BODY_BYTES + TRAILER_BYTES
    if body_bytes > SHORT_BODY_BYTES:
        return LONG_BODY_BYTES
    return 4 * body_bytes
