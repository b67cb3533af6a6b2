"""Base class of the buses: handlers, replies and counters for any transport."""

from collections import Counter
from collections.abc import Callable
from time import monotonic
from typing import Any

from anyio import Event, move_on_after
from expression import Error, Ok, Result

from primroseturn.control.bus import Handler, PeerUnavailable, Sender
from primroseturn.control.messages import (
    decode_message,
    encode_message,
    Envelope,
    Message,
    MESSAGE_LIMIT_BYTES,
)
from primroseturn.control.metrics import (
    BYTES_RECEIVED,
    BYTES_SENT,
    DROPPED,
    FRAMES_RECEIVED,
    FRAMES_SENT,
)
from primroseturn.control.refusals import RefusalLog
from primroseturn.kernel.background import contain_errors
from primroseturn.observation.events import EventLog

# Longest detail of the log line of a refused message, in characters.
MAX_DETAIL_LENGTH = 200

SendReply = Callable[[bytes], None]
Verify = Callable[[Envelope], bool]


class Endpoint:
    """Base class of the buses: passes received frames to handlers and matches replies.

    Subclasses implement `transmit`.

    Attributes
    ----------
    limit_bytes
        Size of the largest frame that is accepted, in bytes.
    counts
        Frames and bytes by direction, and dropped frames by reason.
    """

    limit_bytes = MESSAGE_LIMIT_BYTES

    def __init__(self, vm: str, incarnation: str, events: EventLog) -> None:
        self.vm = vm
        self.incarnation = incarnation
        self.events = events
        self.refusals = RefusalLog(events)
        self.number = 0
        self.handlers_by_type: dict[type[Message], Handler] = {}
        self.replies_by_number: dict[int, Message] = {}
        self.reply_events_by_number: dict[int, Event] = {}
        self.counts: Counter[str] = Counter()

    def transmit(self, peer: str, frame: bytes) -> None:
        """Send a frame to a peer; the frame may be lost."""
        raise NotImplementedError

    def register_handler(self, message_type: type[Message], handler: Handler) -> None:
        """Call `handler` for each message of a type; its return value is the reply."""
        self.handlers_by_type[message_type] = handler

    async def send(self, peer: str, message: Message) -> None:
        """Send a message without waiting for a reply."""
        self.try_transmit(peer, self.encode(message, 0))

    async def request(
        self, peer: str, message: Message, timeout_s: float
    ) -> Result[Message, PeerUnavailable]:
        """Send a message and return the first reply to it."""
        frame = self.encode(message, 0)
        number = self.number
        arrived = self.reply_events_by_number[number] = Event()
        try:
            self.try_transmit(peer, frame)
            with move_on_after(timeout_s):
                await arrived.wait()
        finally:
            del self.reply_events_by_number[number]
            reply = self.replies_by_number.pop(number, None)
        return Error(PeerUnavailable(peer)) if reply is None else Ok(reply)

    def try_transmit(self, peer: str, frame: bytes) -> None:
        """Transmit a frame, and log and count an error instead of raising it.

        Callers send in loops over their peers, which an error must not end.
        """
        with contain_errors(self.events, "Endpoint.transmit"):
            self.transmit(peer, frame)
            return
        self.drop("failed")

    def encode(self, message: Message, reply_to: int) -> bytes:
        """Return the frame of a message with the next sequence number."""
        self.number += 1
        frame = encode_message(
            message, self.vm, self.incarnation, self.number, reply_to
        )
        self.counts["frames_sent"] += 1
        self.counts["bytes_sent"] += len(frame)
        FRAMES_SENT.inc()
        BYTES_SENT.inc(len(frame))
        return frame

    def drop(self, reason: str) -> None:
        """Count a dropped frame."""
        self.counts[f"dropped_{reason}"] += 1
        DROPPED.labels(reason).inc()

    def refuse(self, reason: str, detail: str, **fields: Any) -> None:
        """Count a refused message as dropped, and log the reason."""
        self.drop(reason)
        detail = detail[:MAX_DETAIL_LENGTH]
        self.refusals.record(reason, monotonic(), detail=detail, **fields)

    def decode_frame(
        self, frame: bytes, verify: Verify | None, origin: str = ""
    ) -> Envelope | None:
        """Return the envelope of a frame, or None after refusing the frame.

        Parameters
        ----------
        verify
            Returns False if the envelope was not sent by its stated sender, as far as
            the bus can know.
        origin
            Network address that the frame came from.
        """
        self.counts["frames_received"] += 1
        self.counts["bytes_received"] += len(frame)
        FRAMES_RECEIVED.inc()
        BYTES_RECEIVED.inc(len(frame))
        if len(frame) > self.limit_bytes:
            detail = f"frame has {len(frame)} bytes, at most {self.limit_bytes} allowed"
            self.refuse("oversized", detail, origin=origin)
            return None
        decoded = decode_message(frame)
        if decoded.is_error():
            reason = "foreign" if decoded.error.foreign else "malformed"
            self.refuse(reason, decoded.error.reason, origin=origin)
            return None
        if verify is not None and not verify(decoded.ok):
            detail = f"not sent by the stated sender {decoded.ok.sender!r}"
            self.refuse("forged", detail, origin=origin)
            return None
        return decoded.ok

    async def receive(
        self,
        frame: bytes,
        send_reply: SendReply,
        verify: Verify | None = None,
        origin: str = "",
    ) -> None:
        """Handle a received frame.

        Parameters
        ----------
        send_reply
            Sends the frame of the reply.
        """
        envelope = self.decode_frame(frame, verify, origin)
        if envelope is None:
            return
        if envelope.reply_to:
            self.accept_reply(envelope)
            return
        handler = self.handlers_by_type.get(type(envelope.body))
        if handler is None:
            self.refuse(
                "unhandled",
                f"no handler for message type {envelope.tag!r}",
                origin=origin,
            )
            return
        sender = Sender(envelope.sender, envelope.incarnation, envelope.number, origin)
        reply = await handler(sender, envelope.body)
        if reply is not None:
            send_reply(self.encode(reply, envelope.number))

    def accept_reply(self, envelope: Envelope) -> None:
        """Wake the request that a reply belongs to; further copies are dropped."""
        arrived = self.reply_events_by_number.get(envelope.reply_to)
        if arrived is not None and not arrived.is_set():
            self.replies_by_number[envelope.reply_to] = envelope.body
            arrived.set()
