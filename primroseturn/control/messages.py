"""Typed control messages between daemons, encoded as msgpack."""

from typing import Any, ClassVar

from expression import Error, Ok, Result
from msgspec import convert, MsgspecError, Struct
from msgspec.msgpack import decode, Encoder
from msgspec.structs import replace

from primroseturn.failures import Failure

PROTOCOL_VERSION = 1
MESSAGE_LIMIT_BYTES = 262_144

types_by_tag: dict[str, type["Message"]] = {}
encoder = Encoder()


class MessageInvalid(Failure):
    """A control message is too large, malformed, or of a foreign type or version.

    Attributes
    ----------
    foreign
        Whether the frame has another protocol version or an unknown message type.
    """

    code = "message-invalid"

    def __init__(self, reason: str, foreign: bool = False) -> None:
        super().__init__(f"control message refused: {reason}")
        self.reason = reason
        self.foreign = foreign


class Message(Struct, frozen=True, array_like=True):
    """Base of all control messages. Subclasses are registered with `message`."""

    tag: ClassVar[str] = ""


class Envelope(Struct, frozen=True, array_like=True):
    """Content of a frame: a message and its header.

    Attributes
    ----------
    protocol
        Version of the protocol.
    tag
        Wire tag of the message type.
    sender, incarnation
        VM name and incarnation of the sender, as in `Sender`.
    number
        Sequence number of the message among those of its sender.
    reply_to
        Number of the request that this message replies to; 0 for other messages.
    body
        The message.
    """

    protocol: int
    tag: str
    sender: str
    incarnation: str
    number: int
    reply_to: int
    body: Any


def message(tag: str):
    """Register the decorated message type under its wire tag."""

    def register(message_type: type[Message]) -> type[Message]:
        message_type.tag = tag
        types_by_tag[tag] = message_type
        return message_type

    return register


def encode_message(
    body: Message, sender: str, incarnation: str, number: int, reply_to: int = 0
) -> bytes:
    """Return the frame of a message.

    Raises
    ------
    MessageInvalid
        If the frame would exceed `MESSAGE_LIMIT_BYTES`.
    """
    envelope = Envelope(
        PROTOCOL_VERSION, body.tag, sender, incarnation, number, reply_to, body
    )
    frame = encoder.encode(envelope)
    if len(frame) > MESSAGE_LIMIT_BYTES:
        raise MessageInvalid(f"{body.tag} of {len(frame)} bytes is too large")
    return frame


def decode_message(frame: bytes) -> Result[Envelope, MessageInvalid]:
    """Return the envelope of a frame, with its body as the typed message."""
    if len(frame) > MESSAGE_LIMIT_BYTES:
        return Error(MessageInvalid(f"frame of {len(frame)} bytes is too large"))
    try:
        envelope = decode(frame, type=Envelope)
        if envelope.protocol != PROTOCOL_VERSION:
            reason = f"protocol version {envelope.protocol} is not supported"
            return Error(MessageInvalid(reason, foreign=True))
        message_type = types_by_tag.get(envelope.tag)
        if message_type is None:
            reason = f"unknown message type {envelope.tag!r}"
            return Error(MessageInvalid(reason, foreign=True))
        return Ok(replace(envelope, body=convert(envelope.body, message_type)))
    except (MsgspecError, UnicodeDecodeError, RecursionError) as error:
        return Error(MessageInvalid(str(error)))
