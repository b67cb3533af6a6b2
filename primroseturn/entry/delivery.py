"""Sends the body of a target's response to the caller, part by part."""

from collections.abc import Iterator
from typing import Any

from anyio import current_time

from primroseturn.entry.attempt import Attempt
from primroseturn.entry.request import EntryRequest
from primroseturn.requestpath.connection import READ_BYTES


def body_parts(body: bytes | bytearray) -> Iterator[tuple[bytes, bool]]:
    """Yield the parts in which a body is sent, and whether each is the last one.

    The connection copies what it can't send at once, so a large body is not passed to
    it as a whole.
    """
    view = memoryview(body)
    yield bytes(view[:READ_BYTES]), len(view) <= READ_BYTES
    for start in range(READ_BYTES, len(view), READ_BYTES):
        end = start + READ_BYTES
        yield bytes(view[start:end]), end >= len(view)


class LargeResponse:
    """Forwards the remainder of a large response and times the waits for the caller.

    Attributes
    ----------
    sent_bytes
        Bytes of the remainder that were sent to the caller.
    sending_s
        Time in seconds for which sending waited for the caller.
    started_at
        Monotonic time in seconds at which the caller had taken the start of the body,
        None before.
    """

    def __init__(self, request: EntryRequest, attempt: Attempt) -> None:
        self.request = request
        self.attempt = attempt
        self.started_at: float | None = None
        self.sent_bytes = 0
        self.sending_s = 0.0

    async def forward(self, send: Any) -> None:
        """Send the remainder to the caller part by part."""
        self.started_at = current_time()
        message = {"type": "http.response.body", "more_body": True}
        async for part in self.attempt.remaining_parts():
            send_started_at = current_time()
            try:
                await send({**message, "body": part})
            finally:
                self.sending_s += current_time() - send_started_at
            self.sent_bytes += len(part)
            self.request.record_progress()

    def waited_for_target(self) -> bool:
        """Return whether more time was spent on the target than on the caller.

        A slow caller must not count as a failure of the target.
        """
        if self.started_at is None:
            return False
        return self.sending_s < 0.5 * (current_time() - self.started_at)
