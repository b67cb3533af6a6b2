"""Bus over ZeroMQ: one ROUTER socket that receives, and a DEALER socket per peer."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from typing import NamedTuple

import zmq
from anyio import CancelScope, current_time, move_on_after
from msgspec import Struct
from zmq.asyncio import Context, Socket
from zmq.auth.asyncio import AsyncioAuthenticator

from primroseturn.control.endpoint import Endpoint, SendReply, Verify
from primroseturn.control.messages import Envelope
from primroseturn.kernel.background import Background, run_background
from primroseturn.observation.events import EventLog

# Larger than the limit of a message, so that the bus receives and counts oversized
# frames. ZeroMQ closes the connection when a frame is larger than this.
FRAME_LIMIT_BYTES = 1_048_576
QUEUE_LIMIT_FRAMES = 500
MAX_RUNNING_HANDLERS = 1_000
PEER_IDLE_TIMEOUT_S = 60.0
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 2_000
# ZeroMQ's own pings detect unresponsive connections, which are then reconnected.
PING_INTERVAL_MS = 2_000
PING_TIMEOUT_MS = 4_000
AUTHENTICATION_DOMAIN = "primroseturn"


class PeerAddress(NamedTuple):
    """Address that a peer listens on, and its CURVE public key (Z85) or None."""

    host: str
    port: int
    public_key: str | None = None


class CurveKeys(NamedTuple):
    """This daemon's CURVE key pair (Z85)."""

    public_key: str
    secret_key: str


class Connection(Struct, eq=False):
    """An open socket to a peer.

    Attributes
    ----------
    used_at
        Monotonic time in seconds when a frame was last sent to the peer.
    scope
        Cancel scope of the task that receives on the socket and closes it. Closing
        the socket while this task runs would cancel the whole task group.
    """

    peer: str
    address: PeerAddress
    socket: Socket
    used_at: float
    scope: CancelScope


class AllowedKeys:
    """Callback of the authenticator: decides which CURVE keys may connect."""

    def __init__(self, is_allowed: Callable[[str], bool]) -> None:
        self.is_allowed = is_allowed

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether the client with this public key may connect."""
        return self.is_allowed(key.decode("ascii"))


class ZeromqBus(Endpoint):
    """Sends and receives control messages over TCP.

    Attributes
    ----------
    addresses_by_vm
        Addresses of the known peers; membership adds the listed ones.
    port
        The bound port.
    running_handlers
        Number of messages that are being handled.
    """

    def __init__(
        self,
        vm: str,
        incarnation: str,
        background: Background,
        keys: CurveKeys | None = None,
        allowed_keys: tuple[str, ...] = (),
    ) -> None:
        super().__init__(vm, incarnation, background.events)
        self.background = background
        self.keys = keys
        self.allowed_keys = {*allowed_keys, *([keys.public_key] if keys else [])}
        self.addresses_by_vm: dict[str, PeerAddress] = {}
        self.connections_by_vm: dict[str, Connection] = {}
        self.context = Context()
        self.authenticator: AsyncioAuthenticator | None = None
        self.port = 0
        self.running_handlers = 0

    def set_address(self, peer: str, address: PeerAddress) -> None:
        """Set the address of a peer and close a connection to another address."""
        if self.addresses_by_vm.get(peer) == address:
            return
        self.addresses_by_vm[peer] = address
        self.disconnect(peer)

    def remove_address(self, peer: str) -> None:
        """Remove the address of a peer and close the connection to it."""
        self.addresses_by_vm.pop(peer, None)
        self.disconnect(peer)

    def is_allowed(self, public_key: str) -> bool:
        """Return whether a key is configured or belongs to a known peer."""
        if public_key in self.allowed_keys:
            return True
        return any(
            item.public_key == public_key for item in self.addresses_by_vm.values()
        )

    def bind(self, host: str, port: int) -> Socket:
        """Return the bound socket that receives messages."""
        socket = self.create_socket(zmq.ROUTER)
        if self.keys is not None:
            self.authenticator = AsyncioAuthenticator(self.context)
            self.authenticator.start()
            allowed_keys = AllowedKeys(self.is_allowed)
            self.authenticator.configure_curve_callback(
                AUTHENTICATION_DOMAIN, allowed_keys
            )
            socket.curve_server = True
            socket.zap_domain = AUTHENTICATION_DOMAIN.encode()
        socket.bind(f"tcp://{host}:{port or '*'}")
        address = socket.getsockopt(zmq.LAST_ENDPOINT).rstrip(b"\0").decode()
        self.port = int(address.rsplit(":", 1)[1])
        return socket

    def create_socket(self, socket_type: int) -> Socket:
        """Return a socket with the limits and keys of this bus."""
        socket = self.context.socket(socket_type)
        socket.linger = 0
        socket.maxmsgsize = FRAME_LIMIT_BYTES
        socket.sndhwm = socket.rcvhwm = QUEUE_LIMIT_FRAMES
        socket.reconnect_ivl = RECONNECT_MIN_MS
        socket.reconnect_ivl_max = RECONNECT_MAX_MS
        socket.heartbeat_ivl = PING_INTERVAL_MS
        socket.heartbeat_timeout = PING_TIMEOUT_MS
        if self.keys is not None:
            socket.curve_publickey = self.keys.public_key.encode()
            socket.curve_secretkey = self.keys.secret_key.encode()
        return socket

    def transmit(self, peer: str, frame: bytes) -> None:
        """Queue a frame for a peer; drop it if the peer is unknown or too slow."""
        connection = self.connections_by_vm.get(peer) or self.connect(peer)
        if connection is None:
            self.drop("unknown_peer")
            return
        connection.used_at = current_time()
        future = connection.socket.send(frame, zmq.NOBLOCK)
        if future.done() and future.exception() is not None:
            self.drop("queue_full")

    def connect(self, peer: str) -> Connection | None:
        """Open a socket to a peer and start its task; return None if it has no address.

        If this fails, the socket is closed before the error is raised.
        """
        address = self.addresses_by_vm.get(peer)
        if address is None:
            return None
        socket = self.create_socket(zmq.DEALER)
        try:
            if self.keys is not None:
                server_key = address.public_key or self.keys.public_key
                socket.curve_serverkey = server_key.encode()
            socket.connect(f"tcp://{address.host}:{address.port}")
        except Exception:
            socket.close()
            raise
        connection = Connection(peer, address, socket, current_time(), CancelScope())
        self.connections_by_vm[peer] = connection
        self.background.start_soon(self.serve_peer, connection)
        return connection

    def disconnect(self, peer: str) -> None:
        """Cancel the task of the connection to a peer, which closes the socket."""
        connection = self.connections_by_vm.pop(peer, None)
        if connection is not None:
            connection.scope.cancel()

    async def serve_peer(self, connection: Connection) -> None:
        """Receive replies until the connection is idle or cancelled, then close it."""
        try:
            with connection.scope:
                await self.receive_replies(connection)
        finally:
            connection.socket.close()
            if self.connections_by_vm.get(connection.peer) is connection:
                del self.connections_by_vm[connection.peer]

    async def receive_replies(self, connection: Connection) -> None:
        """Receive the replies of a peer until the connection is idle."""
        while True:
            frame = None
            with move_on_after(PEER_IDLE_TIMEOUT_S):
                try:
                    frame = await connection.socket.recv()
                except zmq.ZMQError:
                    return
            if frame is not None:
                envelope = self.decode_frame(frame, None)
                if envelope is not None and envelope.reply_to:
                    self.accept_reply(envelope)
            elif current_time() - connection.used_at >= PEER_IDLE_TIMEOUT_S:
                return

    async def serve_router(self, router: Socket) -> None:
        """Receive the messages of all peers and start their handlers."""
        while True:
            frames = await router.recv_multipart(copy=False)
            if len(frames) != 2:
                self.drop("malformed")
            elif self.running_handlers >= MAX_RUNNING_HANDLERS:
                self.drop("busy")
            else:
                self.running_handlers += 1
                self.background.start_soon(self.run_handler, router, *frames)

    async def run_handler(
        self, router: Socket, identity: zmq.Frame, frame: zmq.Frame
    ) -> None:
        """Handle one message, in a task of its own so that it does not delay others."""
        try:
            await self.receive(
                frame.bytes,
                self.create_reply_sender(router, identity),
                self.create_verifier(frame),
            )
        finally:
            self.running_handlers -= 1

    def create_reply_sender(self, router: Socket, identity: zmq.Frame) -> SendReply:
        """Return the function that sends a reply over the request's connection."""

        def send_reply(frame: bytes) -> None:
            future = router.send_multipart([identity.bytes, frame], zmq.NOBLOCK)
            if future.done() and future.exception() is not None:
                self.drop("queue_full")

        return send_reply

    def create_verifier(self, frame: zmq.Frame) -> Verify | None:
        """Return the check that a message came over a connection of its stated sender.

        It compares the connection's CURVE key with the one listed for the sender. A
        message whose sender is unknown or has no listed key passes. Without CURVE keys
        there is no check.
        """
        if self.keys is None:
            return None
        client_key = frame.get("User-Id")

        def verify(envelope: Envelope) -> bool:
            address = self.addresses_by_vm.get(envelope.sender)
            return address is None or address.public_key in (None, client_key)

        return verify

    def close(self) -> None:
        """Cancel the connections and close all sockets."""
        for peer in list(self.connections_by_vm):
            self.disconnect(peer)
        if self.authenticator is not None:
            self.authenticator.stop()
        self.context.destroy(linger=0)


@asynccontextmanager
async def run_bus(
    vm: str,
    incarnation: str,
    host: str = "127.0.0.1",
    port: int = 0,
    keys: CurveKeys | None = None,
    allowed_keys: tuple[str, ...] = (),
    events: EventLog | None = None,
) -> AsyncIterator[ZeromqBus]:
    """Run a ZeroMQ bus until the context ends.

    Parameters
    ----------
    port
        Port to bind; 0 selects a free one.
    allowed_keys
        CURVE public keys (Z85) that may connect in addition to those of known peers.
    events
        Event log of the process, for errors of the bus's tasks and refused messages.
    """
    bus = None
    try:
        async with run_background(events or EventLog(vm, incarnation)) as background:
            bus = ZeromqBus(vm, incarnation, background, keys, allowed_keys)
            background.keep_running(bus.serve_router, bus.bind(host, port))
            yield bus
    finally:
        # The tasks must end first: closing a socket raises in the tasks that use it.
        if bus is not None:
            bus.close()
