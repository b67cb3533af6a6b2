"""One attempt: a request on one connection to one target."""

from collections.abc import AsyncIterator
from enum import Enum
from typing import NamedTuple

from anyio import fail_after, move_on_after
from httpx import ConnectError, ConnectTimeout, HTTPError, Request

from primroseturn.entry.models import Target
from primroseturn.entry.request import EntryRequest
from primroseturn.kernel.background import contain_errors
from primroseturn.observation.events import EventLog
from primroseturn.platform.headers import (
    attempt_headers,
    read_response_head,
    ResponseHead,
)
from primroseturn.requestpath.connection import (
    AnswerStream,
    BODILESS_STATUSES,
    Connection,
    ExchangeLimits,
)
from primroseturn.requestpath.headers import CONTENT_LENGTH, values_of
from primroseturn.requestpath.pool import ConnectionsExhausted, TargetPool

# Answers up to this size are read whole before the caller sees their start, so that
# a cut can still be hidden by another attempt.
WHOLE_ANSWER_LIMIT_BYTES = 1_048_576
# A target of the same region accepts a connection within a few milliseconds, one of
# another region within some tens.
CONNECT_LIMIT_S = 0.2
# An answer that states that the request did not run has a short body, which comes with
# its head. What it states holds without the rest, for which no attempt waits longer.
NOT_RUN_BODY_LIMIT_BYTES = 65_536
NOT_RUN_BODY_LIMIT_S = 0.05
# Late answers to earlier requests that are skipped on one connection.
SKIPPED_ANSWERS = 2


class AttemptEnd(Enum):
    """How an attempt ended."""

    # The target's whole answer, which is a success or concerns the request itself.
    ANSWERED = "answered"
    # The target's whole answer, which states a failure of its own.
    FAILED = "failed"
    # The target states that it did not run the request.
    NOT_RUN = "not-run"
    # The address belongs to another target now, which did not run the request.
    MISDIRECTED = "misdirected"
    # There was no connection; nothing was sent.
    UNREACHABLE = "unreachable"
    # An unexpected error of this VM ended it before anything was sent.
    ERROR = "error"
    # The answer is missing, cut or not the target's; the request may have run.
    BROKEN = "broken"


NOT_RUN_ENDS = frozenset((AttemptEnd.NOT_RUN, AttemptEnd.MISDIRECTED))
UNSENT_ENDS = frozenset((AttemptEnd.UNREACHABLE, AttemptEnd.ERROR))
RAN_ENDS = frozenset((AttemptEnd.ANSWERED, AttemptEnd.FAILED, AttemptEnd.BROKEN))


class AttemptResult(NamedTuple):
    """The end of an attempt and what the target answered.

    Attributes
    ----------
    rest
        The attempt whose answer has more of a large body to read, or None.
    """

    end: AttemptEnd
    target: Target
    detail: str
    head: ResponseHead | None = None
    body: bytes = b""
    rest: "Attempt | None" = None


class AnswerRejected(Exception):
    """What arrived is not a whole answer to this request."""


class Attempt:
    """Sends a request to a target and reads its answer.

    Attributes
    ----------
    received_bytes
        Bytes that had arrived when its connection was closed.
    """

    def __init__(
        self,
        request: EntryRequest,
        target: Target,
        pool: TargetPool,
        events: EventLog,
    ) -> None:
        self.request = request
        self.target = target
        self.pool = pool
        self.events = events
        self.connection: Connection | None = None
        self.sent = False
        self.stream: AnswerStream | None = None
        self.consumed_before = 0
        self.received_bytes = 0

    async def run(self, connection_limit: int) -> AttemptResult:
        """Run the attempt.

        If it is cancelled, its connection is closed, which ends the work at the
        target.
        """
        try:
            return await self.exchange(connection_limit)
        except (ConnectionsExhausted, ConnectError, ConnectTimeout) as error:
            return self.result(AttemptEnd.UNREACHABLE, type(error).__name__)
        except (HTTPError, AnswerRejected) as error:
            end = AttemptEnd.BROKEN if self.sent else AttemptEnd.UNREACHABLE
            return self.result(end, f"{type(error).__name__}: {error}")

    async def exchange(self, connection_limit: int) -> AttemptResult:
        """Send the request and read the answer."""
        try:
            await self.connect(connection_limit)
            head = await self.read_head()
            end = end_of(head)
            if end in NOT_RUN_ENDS:
                return await self.end_not_run(end, head)
            body = await self.read_body(head)
        except BaseException:
            self.close()
            raise
        rest = self if self.stream is not None else None
        if rest is None:
            self.finish()
        detail = f"status {head.status}"
        return AttemptResult(end, self.target, detail, head, body, rest)

    async def end_not_run(self, end: AttemptEnd, head: ResponseHead) -> AttemptResult:
        """End an attempt whose target states that it did not run the request."""
        detail = f"status {head.status}"
        if await self.skip_body():
            self.finish()
        else:
            self.close()
            detail += ", body without end"
        self.request.sent_attempts.discard(self)
        return AttemptResult(end, self.target, detail, head)

    async def skip_body(self) -> bool:
        """Read a body that nobody gets; return whether it ended soon."""
        assert self.connection is not None
        size = 0
        with move_on_after(NOT_RUN_BODY_LIMIT_S):
            async for part in AnswerStream(self.connection, self.request.left_s()):
                size += len(part)
                if size > NOT_RUN_BODY_LIMIT_BYTES:
                    return False
            return True
        return False

    async def connect(self, connection_limit: int) -> None:
        """Take a connection and send the request on it."""
        # Work that must not repeat must not meet a connection that went silent.
        proven = not self.request.route.repeatable
        try:
            with fail_after(CONNECT_LIMIT_S):
                self.connection = await self.pool.take(
                    self.target.id, connection_limit, proven, False
                )
        except TimeoutError as error:
            raise ConnectTimeout("no connection within the limit") from error
        self.connection.sent = False
        self.connection.first_byte_at = None
        self.consumed_before = self.connection.consumed
        self.connection.note_sent = self.note_sent
        limits = ExchangeLimits(self.request.left_s(), self.request.left_s())
        await self.connection.send_request(self.build_request(), limits)

    def note_sent(self) -> None:
        """Note that the target may get a part of the request from now on."""
        self.sent = True
        self.request.sent_attempts.add(self)

    def build_request(self) -> Request:
        """Return the request as it goes to the target."""
        request = self.request
        headers = request.headers
        chunked = request.body.present and not values_of(
            headers.forwarded, CONTENT_LENGTH
        )
        workspace = request.workspace.name if request.workspace else None
        return Request(
            request.line.method,
            self.pool.url,
            headers=attempt_headers(
                headers, self.target, workspace, request.left_s(), chunked
            ),
            stream=request.body,
            extensions={"target": request.line.target},
        )

    async def read_head(self) -> ResponseHead:
        """Read the start of the answer to this request.

        An answer to an earlier request may arrive first; its id tells.
        """
        assert self.connection is not None
        for _ in range(SKIPPED_ANSWERS + 1):
            event = await self.connection.read_head(self.request.left_s())
            head = read_response_head(event.status_code, event.headers.raw_items())
            if head.attempt_id in (None, self.request.headers.attempt_id):
                return self.check_head(head)
            await self.connection.skip_answer(self.request.left_s())
        raise AnswerRejected("the target answers other requests")

    def check_head(self, head: ResponseHead) -> ResponseHead:
        """Return the head of an answer unless it cannot be the target's."""
        if head.encoded:
            raise AnswerRejected("the body is not the target's own")
        if head.attempt_id is None and 200 <= head.status < 300:
            raise AnswerRejected("a success without the request's id")
        if not head.signed and 200 <= head.status < 300:
            raise AnswerRejected("a success without the target's signature")
        return head

    async def read_body(self, head: ResponseHead) -> bytes:
        """Return the body, or its start if it is large."""
        assert self.connection is not None
        stream = AnswerStream(self.connection, max(0.01, self.request.left_s()))
        if self.request.line.method == "HEAD" or head.status in BODILESS_STATUSES:
            async for _ in stream:
                raise AnswerRejected("a body where none may be")
            return b""
        # A list of small parts would take many times their size.
        body = bytearray()
        async for part in stream:
            body += part
            if len(body) >= WHOLE_ANSWER_LIMIT_BYTES:
                self.stream = stream
                break
        return bytes(body)

    async def rest_parts(self) -> AsyncIterator[bytes]:
        """Yield the rest of a large body and end the exchange."""
        assert self.stream is not None
        try:
            async for part in self.stream:
                yield part
        except BaseException:
            self.close()
            raise
        self.finish()

    def finish(self) -> None:
        """Keep the connection if the exchange ended cleanly, else close it."""
        connection, self.connection = self.connection, None
        if connection is not None:
            # The answer is whole whatever becomes of its connection.
            with contain_errors(self.events, "TargetPool.give_back"):
                self.pool.give_back(connection)

    def close(self) -> None:
        """Close the connection."""
        if self.connection is not None:
            self.received_bytes = self.connection.consumed - self.consumed_before
            self.pool.discard(self.connection)
            self.connection = None

    def missing(self) -> str:
        """Return what is missing of the answer of an attempt that was cancelled."""
        if not self.received_bytes:
            return "no answer in time"
        return f"the answer had not ended after {self.received_bytes} bytes"

    def result(self, end: AttemptEnd, detail: str) -> AttemptResult:
        """Return an end without an answer."""
        return AttemptResult(end, self.target, detail)


def end_of(head: ResponseHead) -> AttemptEnd:
    """Return how an attempt with a whole answer ended."""
    if head.misdirected:
        return AttemptEnd.MISDIRECTED
    if head.not_run:
        return AttemptEnd.NOT_RUN
    if head.status >= 500:
        return AttemptEnd.FAILED
    return AttemptEnd.ANSWERED
