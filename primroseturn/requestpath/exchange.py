"""One exchange: a request and its response on a connection to a target."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from anyio import current_time, get_cancelled_exc_class
from httpx import (
    ConnectError,
    ConnectTimeout,
    HTTPError,
    ReadTimeout,
    RemoteProtocolError,
    Request,
    Response,
    TimeoutException,
)

from primroseturn.configuration.models import Target
from primroseturn.detection.observations import Observation, Outcome
from primroseturn.failures import Failure
from primroseturn.requestpath.connection import (
    BODILESS_STATUSES,
    Connection,
    ExchangeTimeouts,
)
from primroseturn.requestpath.context import RequestContext
from primroseturn.requestpath.events import ATTEMPT_FAILED, CONNECTION_SILENT
from primroseturn.requestpath.headers import (
    CONTENT_LENGTH,
    HeaderList,
    RAN,
    REQUEST_ID,
    TRANSFER_ENCODING,
    values_of,
)
from primroseturn.requestpath.pool import ConnectionsExhausted, TargetPool
from primroseturn.requestpath.services import Services

SHED_STATUSES = (429, 503)
MIN_DEADLINE_FRACTION = 0.5


class AttemptFailed(Failure):
    """An exchange with a target did not deliver a complete response.

    Attributes
    ----------
    sent
        Whether any byte of this attempt may have reached the target.
    needs_no_retry_budget
        Whether a retry needs no budget, for example because nothing was sent.
    """

    code = "upstream-failed"

    def __init__(
        self, outcome: Outcome, detail: str, sent: bool, needs_no_retry_budget: bool
    ) -> None:
        super().__init__(detail)
        self.outcome = outcome
        self.sent = sent
        self.needs_no_retry_budget = needs_no_retry_budget


class Exchange:
    """Sends a request to a target and receives the response.

    Attributes
    ----------
    headers
        Lower-case response headers as the target sent them.
    not_run
        Whether the target states that it refused the request without running it.
    has_old_connection
        Whether the connection's last clean exchange was longer ago than
        `old_connection_s`.
    outcome
        What the exchange shows about the target, None if it shows nothing.
    """

    def __init__(
        self, services: Services, context: RequestContext, target: Target
    ) -> None:
        self.services = services
        self.context = context
        self.target = target
        self.started_at = current_time()
        self.connection: Connection | None = None
        self.connection_age_s = 0.0
        self.has_old_connection = False
        self.outcome: Outcome | None = None
        self.response: Response | None = None
        self.status = 0
        self.headers: HeaderList = []
        self.not_run = False

    async def start(
        self, must_be_new: bool, extra_headers: HeaderList | None = None
    ) -> None:
        """Send the request and wait for the head of the response.

        Raises
        ------
        AttemptFailed
            If there is no valid head.
        """
        pool = self.services.pools.pool_of(self.target)
        try:
            await self.connect(pool, must_be_new)
            assert self.connection is not None
            request = self.build_request(pool, extra_headers or [])
            self.response = await self.connection.handle_async_request(request)
        except (HTTPError, ConnectionsExhausted) as error:
            raise self.failure_of(error, pool) from error
        self.check_head()

    async def connect(self, pool: TargetPool, must_be_new: bool) -> None:
        """Acquire a connection that suits the request."""
        context = self.context
        # A request that cannot be sent again must not use a possibly dead connection.
        must_be_recent = not (
            context.route.repeatable and context.body.is_fully_buffered()
        )
        self.connection = await self.services.pools.acquire(
            self.target, must_be_recent, must_be_new
        )
        # The flag still describes the previous request on the connection.
        self.connection.sent = False
        now = current_time()
        self.connection_age_s = now - self.connection.opened_at
        self.has_old_connection = pool.is_old(self.connection, now)

    def build_request(self, pool: TargetPool, extra_headers: HeaderList) -> Request:
        """Return the request in the form that is sent to the target."""
        context = self.context
        upstreams = self.services.settings.upstreams
        head_s = upstreams.progress_limit_s
        if self.has_old_connection:
            head_s = min(head_s, upstreams.old_first_byte_limit_s)
        timeouts = ExchangeTimeouts(head_s, upstreams.progress_limit_s)
        headers = context.attempt_headers(pool.host)
        if extra_headers:
            names = {name for name, _ in extra_headers}
            headers = [item for item in headers if item[0] not in names]
            headers += extra_headers
        request = Request(
            context.method,
            pool.url,
            headers=headers,
            stream=context.body,
            extensions={
                "target": context.path_and_query,
                "limits": timeouts,
                "note_sent": context.note_sent,
            },
        )
        # httpx converts it to capitals, but methods are case-sensitive.
        request.method = context.method
        return request

    def check_head(self) -> None:
        """Read and check the head of the response."""
        assert self.response is not None
        self.status = self.response.status_code
        self.headers = [
            (name.lower(), value) for name, value in self.response.headers.raw
        ]
        is_shed = self.status in SHED_STATUSES
        self.not_run = is_shed and values_of(self.headers, RAN) == [b"no"]
        lengths = values_of(self.headers, CONTENT_LENGTH)
        encodings = values_of(self.headers, TRANSFER_ENCODING)
        request_ids = values_of(self.headers, REQUEST_ID)
        if any(value != self.context.request_id.encode() for value in request_ids):
            raise self.invalid_response_failure("the target answered another request")
        if len(lengths) + len(encodings) > 1:
            raise self.invalid_response_failure("the answer's length is ambiguous")
        if not lengths and not encodings and self.may_have_body():
            raise self.invalid_response_failure(
                "the answer's end cannot be told from a cut"
            )

    def may_have_body(self) -> bool:
        """Return whether the response may have a body."""
        return self.context.method != "HEAD" and self.status not in BODILESS_STATUSES

    def invalid_response_failure(self, detail: str) -> AttemptFailed:
        """Return the failure for a response that must not be forwarded."""
        self.outcome = Outcome.ERROR
        return AttemptFailed(Outcome.ERROR, detail, True, False)

    @property
    def length(self) -> int | None:
        """Return the stated length of the response's body, or None without one."""
        if not self.may_have_body():
            return 0
        lengths = values_of(self.headers, CONTENT_LENGTH)
        return int(lengths[0]) if lengths else None

    async def body_parts(self) -> AsyncIterator[bytes]:
        """Yield the body part by part.

        Raises
        ------
        AttemptFailed
            If it is cut off or stalls.
        """
        assert self.response is not None
        try:
            async for part in self.response.stream:  # type: ignore[union-attr]
                yield part
        except HTTPError as error:
            is_stalled = isinstance(error, TimeoutException)
            self.outcome = Outcome.STALL if is_stalled else Outcome.CUT
            detail = f"the answer ended early ({type(error).__name__})"
            raise AttemptFailed(self.outcome, detail, True, False) from error

    def failure_of(self, error: Exception, pool: TargetPool) -> AttemptFailed:
        """Return the failure for an error before the head of the response."""
        sent = self.connection is not None and self.connection.sent
        self.outcome = outcome_of(error)
        is_unresponsive = (
            isinstance(error, ReadTimeout)
            and self.has_old_connection
            and self.connection is not None
            and self.connection.first_byte_at is None
        )
        if is_unresponsive or (self.has_old_connection and sent):
            closed_count = pool.close_old(current_time())
            self.services.events.emit(
                CONNECTION_SILENT, target=self.target.name, closed=closed_count + 1
            )
        detail = f"the upstream did not answer ({type(error).__name__})"
        # The failure of an old connection shows little about its target, so a retry on
        # a new connection needs no budget. There are at most as many such retries as
        # old connections.
        return AttemptFailed(
            self.outcome, detail, sent, not sent or self.has_old_connection
        )

    def finish(self) -> None:
        """Return or close the connection, and report the outcome to the dispatcher."""
        connection = self.connection
        pool = self.services.pools.pool_of(self.target)
        first_byte_at = None
        if connection is not None:
            first_byte_at = connection.first_byte_at
            if self.outcome is None:
                pool.discard(connection)
            else:
                pool.give_back(connection)
        if self.outcome is None:
            return
        now = current_time()
        latency_s = now - self.started_at
        first_byte_s = first_byte_at - self.started_at if first_byte_at else latency_s
        route = self.context.route
        self.services.dispatcher.observe(
            Observation(
                route.service,
                self.target.name,
                route.route_class,
                self.outcome,
                latency_s,
                first_byte_s,
                self.connection_age_s,
                now,
            )
        )

    def had_enough_time(self) -> bool:
        """Return whether the target had at least half of the route's deadline.

        Otherwise a short deadline of a caller or a long wait for a slot would count as
        a failure of a healthy target.
        """
        elapsed_s = current_time() - self.started_at
        return elapsed_s >= MIN_DEADLINE_FRACTION * self.context.route.deadline_s

    def record_completion(self) -> None:
        """Set the outcome by the status, and add the duration to `upstream_s`."""
        self.context.upstream_s += current_time() - self.started_at
        if self.status in SHED_STATUSES and (
            self.not_run or values_of(self.headers, b"retry-after")
        ):
            self.outcome = Outcome.SHED
        else:
            self.outcome = Outcome.ERROR if self.status >= 500 else Outcome.OK


def outcome_of(error: Exception) -> Outcome:
    """Return the outcome for an error before the head of the response."""
    if isinstance(error, ConnectionsExhausted):
        return Outcome.SHED
    if isinstance(error, ConnectTimeout):
        return Outcome.TIMEOUT
    if isinstance(error, ConnectError):
        return Outcome.RESET
    if isinstance(error, TimeoutException):
        return Outcome.STALL
    if isinstance(error, RemoteProtocolError):
        return Outcome.CUT
    return Outcome.RESET


@asynccontextmanager
async def run_exchange(
    services: Services, context: RequestContext, target: Target
) -> AsyncIterator[Exchange]:
    """Run one exchange; its connection is reused only after a clean end."""
    exchange = Exchange(services, context, target)
    context.target_name = target.name
    try:
        yield exchange
    except AttemptFailed as failure:
        services.events.emit(
            ATTEMPT_FAILED,
            request=context.request_id,
            workspace=context.caller.workspace.name,
            target=target.name,
            outcome=failure.outcome.value,
            sent=failure.sent,
        )
        raise
    except get_cancelled_exc_class():
        if context.is_expired() and exchange.had_enough_time():
            exchange.outcome = Outcome.TIMEOUT
        elif context.has_selected_attempt:
            # The time so far is a lower bound of the latency. It is reported so that
            # hedging does not hide a slow target.
            exchange.outcome = Outcome.OK
        raise
    finally:
        exchange.finish()
