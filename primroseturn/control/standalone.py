"""Bus for a daemon that runs without peers."""

from expression import Error, Result

from primroseturn.control.bus import Handler, PeerUnavailable
from primroseturn.control.messages import Message


class BusWithoutPeers:
    """Drops all messages and fails all requests."""

    def __init__(self, vm: str, incarnation: str) -> None:
        self.vm = vm
        self.incarnation = incarnation

    def register_handler(self, message_type: type[Message], handler: Handler) -> None:
        """Ignore the handler; no message arrives."""

    async def send(self, peer: str, message: Message) -> None:
        """Drop the message."""

    async def request(
        self, peer: str, message: Message, timeout_s: float
    ) -> Result[Message, PeerUnavailable]:
        """Fail at once."""
        return Error(PeerUnavailable(peer))
