"""HTTP/1.1 only, with typed bodies for errors that hypercorn answers itself."""

import hypercorn.protocol
from h11 import Data, EndOfMessage, Request, Response
from hypercorn.events import Closed, Event
from hypercorn.protocol.h11 import H11Protocol
from msgspec.json import encode

KINDS_BY_STATUS = {
    400: "request-invalid",
    431: "headers-too-large",
    501: "encoding-unsupported",
}


class PlainProtocol(H11Protocol):
    """Stays with HTTP/1.1 and answers malformed requests with a refusal body."""

    async def handle(self, event: Event) -> None:
        """Take in an event, and close when the caller has closed.

        hypercorn 0.18 keeps a connection that its caller closed until the keep-alive
        limit, which uses up the file descriptors when callers reconnect often.
        """
        await super().handle(event)
        if isinstance(event, Closed):
            await self.send(event)

    async def _check_protocol(self, event: Request) -> None:
        """Ignore offers of HTTP/2, where one answer cannot be aborted visibly."""

    async def _send_error_response(self, status_code: int) -> None:
        """Refuse a request that could not be parsed."""
        kind = KINDS_BY_STATUS.get(status_code, "request-invalid")
        # With a stream, the application may have forwarded a part of the request.
        ran = "no" if self.stream is None else "unknown"
        detail = "the request could not be parsed"
        body = encode({"type": kind, "detail": detail, "ran": ran})
        headers = [
            (b"content-type", b"application/json"),
            (b"content-length", str(len(body)).encode()),
            (b"connection", b"close"),
        ]
        await self._send_h11_event(Response(status_code=status_code, headers=headers))
        await self._send_h11_event(Data(data=body))
        await self._send_h11_event(EndOfMessage())


def install_protocol() -> None:
    """Make hypercorn use `PlainProtocol`; it has no setting for this."""
    hypercorn.protocol.H11Protocol = PlainProtocol  # type: ignore[misc]
