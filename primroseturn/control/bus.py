"""Interface of the bus that carries control messages between daemons."""

from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple, Protocol

from expression import Result

from primroseturn.control.messages import Message
from primroseturn.failures import Failure


class PeerUnavailable(Failure):
    """A peer did not reply in time."""

    code = "peer-unavailable"

    def __init__(self, peer: str) -> None:
        super().__init__(f"peer {peer!r} did not reply in time")
        self.peer = peer


class Sender(NamedTuple):
    """Origin of a message.

    Attributes
    ----------
    vm
        Name of the VM that sent the message.
    incarnation
        Id of one start of the VM's process. A restarted VM has a new incarnation.
    number
        Sequence number of the message. Each incarnation numbers its messages to all
        receivers in one sequence.
    origin
        Network address of the sender, empty if the bus does not know it.
    """

    vm: str
    incarnation: str
    number: int
    origin: str = ""


Handler = Callable[[Sender, Message], Awaitable[Message | None]]


class Bus(Protocol):
    """Sends messages to peers by VM name.

    Delivery is best effort: messages may be lost, delayed, duplicated and reordered.
    """

    vm: str
    incarnation: str

    def register_handler(self, message_type: type[Message], handler: Handler) -> None:
        """Call `handler` for each message of a type; its return value is the reply."""

    async def send(self, peer: str, message: Message) -> None:
        """Send a message without waiting for a reply."""

    async def request(
        self, peer: str, message: Message, timeout_s: float
    ) -> Result[Message, PeerUnavailable]:
        """Send a message and return the first reply to it."""

    def refuse(self, reason: str, detail: str, **fields: Any) -> None:
        """Count a refused message as dropped, and log the reason."""
