"""One attempt: a request on one connection to one target."""

from collections.abc import AsyncIterator
from enum import Enum
from typing import NamedTuple

from anyio import fail_after, move_on_after
from httpx import ConnectError, ConnectTimeout, HTTPError, Request

from primroseturn.entry.memory import Phase
from primroseturn.entry.request import EntryRequest
from primroseturn.kernel.background import contain_errors
from primroseturn.observation.events import EventLog
from primroseturn.platform.headers import (
    attempt_headers,
    read_response_head,
    ResponseHead,
)
from primroseturn.requestpath.connection import (
    BODILESS_STATUSES,
    Connection,
    ExchangeTimeouts,
    ResponseStream,
)
from primroseturn.requestpath.headers import CONTENT_LENGTH, values_of
from primroseturn.requestpath.pool import ConnectionsExhausted, TargetPool
from primroseturn.routing.models import Target

# Responses up to this size are read whole before their start is sent to the caller, so
# that another attempt can still replace one that is cut off.
WHOLE_RESPONSE_LIMIT_BYTES = 1_048_576
# A target of the same region accepts a connection within a few milliseconds, one of
# another region within some tens of milliseconds.
CONNECT_TIMEOUT_S = 0.2
# A response stating that the request did not run has a short body, which arrives with
# its head. The statement holds without the body, so an attempt waits no longer for it.
NOT_RUN_BODY_LIMIT_BYTES = 65_536
NOT_RUN_BODY_TIMEOUT_S = 0.05
# Late responses to earlier requests that one attempt skips on its connection.
MAX_SKIPPED_RESPONSES = 2


class AttemptOutcome(Enum):
    """How an attempt ended."""

    # The target sent a response, whole or the start of a large one: a success or an
    # error of the request itself.
    ANSWERED = "answered"
    # The target sent a response, whole or the start of a large one, that states an
    # error of the target.
    FAILED = "failed"
    # The target states that it did not run the request.
    NOT_RUN = "not-run"
    # The address belongs to another target now, which did not run the request.
    MISDIRECTED = "misdirected"
    # Nothing was sent: no connection was free or established in time, or it failed
    # before the first byte.
    UNREACHABLE = "unreachable"
    # An unexpected error in this VM ended the attempt before anything was sent.
    ERROR = "error"
    # The response is missing, cut off or not the target's; the request may have run.
    BROKEN = "broken"


NOT_RUN_OUTCOMES = frozenset((AttemptOutcome.NOT_RUN, AttemptOutcome.MISDIRECTED))
UNSENT_OUTCOMES = frozenset((AttemptOutcome.UNREACHABLE, AttemptOutcome.ERROR))
MAY_HAVE_RUN_OUTCOMES = frozenset(
    (AttemptOutcome.ANSWERED, AttemptOutcome.FAILED, AttemptOutcome.BROKEN)
)


class AttemptResult(NamedTuple):
    """How an attempt ended, and the target's response.

    Attributes
    ----------
    detail
        Description of the end for the log.
    head
        Status and headers of the response, None without a response.
    body
        The whole body of the response, or the start of a large one.
    remainder
        The attempt from which the remainder of a large body is read, otherwise None.
    """

    end: AttemptOutcome
    target: Target
    detail: str
    head: ResponseHead | None = None
    body: bytes | bytearray = b""
    remainder: "Attempt | None" = None


class ResponseRejected(Exception):
    """What arrived is not the response as the target sent it for this request."""


class Attempt:
    """Sends a request to a target and reads the response.

    Attributes
    ----------
    sent
        Whether the target may have received a part of the request.
    stream
        The remainder of a large response body, None if there is none.
    consumed_before
        Bytes that were read from the connection before this attempt.
    received_bytes
        Bytes of the response that had arrived when the connection was closed.
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
        self.stream: ResponseStream | None = None
        self.consumed_before = 0
        self.received_bytes = 0

    async def run(self, connection_limit: int) -> AttemptResult:
        """Run the attempt.

        If it is cancelled, its connection is closed, which stops the request at the
        target.

        Parameters
        ----------
        connection_limit
            Number of connections that this VM may have to the target.
        """
        try:
            return await self.exchange(connection_limit)
        except (ConnectionsExhausted, ConnectError, ConnectTimeout) as error:
            return self.result_without_response(
                AttemptOutcome.UNREACHABLE, type(error).__name__
            )
        except (HTTPError, ResponseRejected) as error:
            end = AttemptOutcome.BROKEN if self.sent else AttemptOutcome.UNREACHABLE
            return self.result_without_response(end, f"{type(error).__name__}: {error}")

    async def exchange(self, connection_limit: int) -> AttemptResult:
        """Send the request and read the response."""
        try:
            await self.connect(connection_limit)
            head = await self.read_head()
            end = outcome_of_head(head)
            if end in NOT_RUN_OUTCOMES:
                return await self.end_not_run(end, head)
            body = await self.read_body(head)
        except BaseException:
            self.close()
            raise
        remainder = self if self.stream is not None else None
        if remainder is None:
            self.finish()
        detail = f"status {head.status}"
        return AttemptResult(end, self.target, detail, head, body, remainder)

    async def end_not_run(
        self, end: AttemptOutcome, head: ResponseHead
    ) -> AttemptResult:
        """End an attempt whose target states that it did not run the request."""
        detail = f"status {head.status}"
        # A second copy of this response would look like the response to another attempt
        # for the same request, so only a target that isn't tried again keeps its
        # connection.
        if end is AttemptOutcome.NOT_RUN and await self.skip_body():
            self.finish()
        elif end is AttemptOutcome.MISDIRECTED:
            self.close()
        else:
            self.close()
            detail += ", incomplete body"
        self.request.sent_attempts.discard(self)
        return AttemptResult(end, self.target, detail, head)

    async def skip_body(self) -> bool:
        """Discard a response body and return whether it ended within the limits."""
        assert self.connection is not None
        size_bytes = 0
        with move_on_after(NOT_RUN_BODY_TIMEOUT_S):
            async for part in ResponseStream(self.connection, self.request.left_s()):
                size_bytes += len(part)
                if size_bytes > NOT_RUN_BODY_LIMIT_BYTES:
                    return False
            return True
        return False

    async def connect(self, connection_limit: int) -> None:
        """Acquire a connection and send the request on it."""
        # An at-most-once request must not be sent on a connection that may be dead.
        must_be_recent = not self.request.route.repeatable
        try:
            with fail_after(CONNECT_TIMEOUT_S):
                self.connection = await self.pool.acquire(
                    self.target.id, connection_limit, must_be_recent, False
                )
        except TimeoutError as error:
            raise ConnectTimeout("no connection within the limit") from error
        self.connection.sent = False
        self.connection.first_byte_at = None
        self.consumed_before = self.connection.consumed_bytes
        self.connection.note_sent = self.note_sent
        timeouts = ExchangeTimeouts(self.request.left_s(), self.request.left_s())
        if self.request.body.is_present:
            self.request.enter_phase(Phase.SENDING)
        await self.connection.send_request(self.build_request(), timeouts)
        self.request.enter_phase(Phase.WAITING)

    def note_sent(self) -> None:
        """Record that the target may receive a part of the request from now on."""
        self.sent = True
        self.request.sent_attempts.add(self)

    def build_request(self) -> Request:
        """Return the request in the form that is sent to the target."""
        request = self.request
        headers = request.headers
        chunked = request.body.is_present and not values_of(
            headers.forwarded, CONTENT_LENGTH
        )
        workspace = request.workspace.name if request.workspace else None
        built = Request(
            request.line.method,
            self.pool.url,
            headers=attempt_headers(
                headers, self.target, workspace, request.left_s(), chunked
            ),
            stream=request.body,
            extensions={"target": request.line.path_and_query},
        )
        # httpx converts it to capitals, but methods are case-sensitive.
        built.method = request.line.method
        return built

    async def read_head(self) -> ResponseHead:
        """Read the status and headers of the response to this request.

        Late responses to earlier requests are recognised by their id and skipped. A
        response without an id may be one of them, whatever its status.

        Raises
        ------
        ResponseRejected
            If too many other responses arrive, one can't be attributed to a request, or
            the response is not the target's.
        """
        assert self.connection is not None
        for _ in range(MAX_SKIPPED_RESPONSES + 1):
            event = await self.connection.read_head(self.request.left_s())
            if not self.request.try_hold_head(self.connection.head_size):
                raise ResponseRejected("no memory is left for the response's long head")
            head = read_response_head(event.status_code, event.headers.raw_items())
            if head.attempt_id is None:
                raise ResponseRejected(
                    f"the response with status {head.status} lacks an attempt id"
                )
            if head.attempt_id == self.request.headers.attempt_id:
                return self.check_head(head)
            await self.connection.skip_response(self.request.left_s())
        raise ResponseRejected(
            "the target sent too many late responses to earlier requests"
        )

    def check_head(self, head: ResponseHead) -> ResponseHead:
        """Return the head if the response may be the target's.

        Raises
        ------
        ResponseRejected
            If something other than the target has sent or changed the response.
        """
        if head.encoded:
            raise ResponseRejected("the body was encoded on the way from the target")
        if head.not_run and head.status < 400:
            raise ResponseRejected(
                f"a response with status {head.status} states that nothing ran"
            )
        if not head.signed and 200 <= head.status < 300:
            raise ResponseRejected(
                "the success response has no signature of the target"
            )
        return head

    async def read_body(self, head: ResponseHead) -> bytes | bytearray:
        """Read the body, or only its start if it is large or memory is short.

        Raises
        ------
        ResponseRejected
            If a response that must not have a body has one.
        """
        assert self.connection is not None
        stream = ResponseStream(self.connection, max(0.01, self.request.left_s()))
        if self.request.line.method == "HEAD" or head.status in BODILESS_STATUSES:
            async for _ in stream:
                raise ResponseRejected(
                    "the response has a body, which it must not have"
                )
            return b""
        # A list of small parts would take many times their size in memory.
        body = bytearray()
        async for part in stream:
            body += part
            if len(body) >= WHOLE_RESPONSE_LIMIT_BYTES or not self.request.try_buffer(
                len(part)
            ):
                self.stream = stream
                break
        return body

    async def remaining_parts(self) -> AsyncIterator[bytes]:
        """Yield the remainder of a large body, then release or close the connection."""
        assert self.stream is not None
        try:
            async for part in self.stream:
                yield part
        except BaseException:
            self.close()
            raise
        self.finish()

    def finish(self) -> None:
        """Release the connection; the pool closes it if the exchange is unfinished."""
        connection, self.connection = self.connection, None
        if connection is not None:
            # An error here does not affect the response, which is complete.
            with contain_errors(self.events, "TargetPool.give_back"):
                self.pool.give_back(connection)

    def close(self) -> None:
        """Close the connection."""
        if self.connection is not None:
            self.received_bytes = self.connection.consumed_bytes - self.consumed_before
            self.pool.discard(self.connection)
            self.connection = None

    def describe_missing(self) -> str:
        """Return what was missing from the response when the attempt was cancelled."""
        if not self.received_bytes:
            return "no response in time"
        return f"the response had not ended after {self.received_bytes} bytes"

    def result_without_response(
        self, end: AttemptOutcome, detail: str
    ) -> AttemptResult:
        """Return a result without a response."""
        return AttemptResult(end, self.target, detail)


def outcome_of_head(head: ResponseHead) -> AttemptOutcome:
    """Return how an attempt with this response's head ends if the body arrives."""
    if head.misdirected:
        return AttemptOutcome.MISDIRECTED
    if head.not_run:
        return AttemptOutcome.NOT_RUN
    if head.status >= 500 or head.has_false_status:
        return AttemptOutcome.FAILED
    return AttemptOutcome.ANSWERED
