"""The ASGI application that carries a request from a caller to an upstream."""

from collections.abc import AsyncIterator
from contextlib import AsyncExitStack
from hashlib import sha256
from itertools import count
from typing import Any, NamedTuple

from anyio import current_time, fail_after
from expression import Result
from httpx import AsyncClient, HTTPError, Response

from primroseturn.claims.claims import Claims
from primroseturn.claims.models import (
    ClaimGranted,
    Operation,
    OUTCOME_BODY_LIMIT_BYTES,
    RecordedOutcome,
)
from primroseturn.configuration.models import Route, Target
from primroseturn.configuration.replica import Replica
from primroseturn.detection.observations import Observation, Outcome
from primroseturn.failures import Failure, Refusal, StoreUnavailable
from primroseturn.limits.admission import Admission
from primroseturn.observation.catalogue import REQUEST_FINISHED, REQUEST_REFUSED
from primroseturn.observation.events import EventLog
from primroseturn.requestpath.headers import (
    forwarded_request_headers,
    forwarded_response_headers,
)
from primroseturn.requestpath.identify import Caller, identify_caller
from primroseturn.requestpath.refusals import refuse, send_refusal
from primroseturn.routing.dispatcher import Demand, Dispatcher
from primroseturn.routing.router import Router

IDEMPOTENCY_KEY = b"idempotency-key"


class RequestRefused(Exception):
    """Carries a refusal up to the place that sends it."""

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.kind)
        self.refusal = refusal


class AnswerCut(Failure):
    """The upstream's answer ended before its stated length."""

    code = "answer-cut"

    def __init__(self) -> None:
        super().__init__("the upstream's answer ended early")


class Services(NamedTuple):
    """What the application needs from the kernel."""

    replica: Replica
    router: Router
    admission: Admission
    dispatcher: Dispatcher
    claims: Claims
    http: AsyncClient
    events: EventLog
    wait_limit_s: float


def unwrap(result: Result[Any, Failure]) -> Any:
    """Return the value of a result or raise its failure as a refusal."""
    if result.is_error():
        raise RequestRefused(refuse(result.error))
    return result.ok


class Application:
    """Serves callers. One task runs each request from start to end."""

    def __init__(self, services: Services) -> None:
        self.services = services
        self.numbers = count(1)

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Answer one request."""
        if scope["type"] != "http":
            return
        events = self.services.events
        request_id = f"{events.vm}-{events.incarnation}-{next(self.numbers)}"
        try:
            await self.serve(request_id, scope, receive, send)
        except RequestRefused as failure:
            refusal = failure.refusal
            events.emit(REQUEST_REFUSED, request=request_id, refusal=refusal.kind)
            await send_refusal(send, refusal)

    async def serve(self, request_id: str, scope: Any, receive: Any, send: Any) -> None:
        """Match, identify, admit and forward a request."""
        services = self.services
        route = unwrap(services.router.match(scope["method"], scope["path"]))
        headers = scope["headers"]
        caller = unwrap(identify_caller(route, headers, services.replica))
        unwrap(await services.admission.admit(caller.workspace, services.wait_limit_s))
        body = read_request(receive)
        if route.repeatable:
            await self.forward(request_id, caller, route, scope, body, send)
            return
        operation = self.operation_of(request_id, caller, scope)
        claim = unwrap(await services.claims.claim(operation))
        if isinstance(claim, ClaimGranted):
            await self.run_once(operation, request_id, caller, route, scope, body, send)
        else:
            await send_outcome(send, claim)

    def operation_of(self, request_id: str, caller: Caller, scope: Any) -> Operation:
        """Return the operation that a must-not-repeat request names."""
        keys = [value for name, value in scope["headers"] if name == IDEMPOTENCY_KEY]
        if len(keys) != 1 or not keys[0]:
            detail = "the route needs one Idempotency-Key"
            raise RequestRefused(Refusal("idempotency-key-missing", 400, detail))
        line = f"{scope['method']} {scope['raw_path']!r} {scope['query_string']!r}"
        fingerprint = sha256(line.encode()).hexdigest()[:16]
        key = keys[0].decode("latin-1")
        return Operation(caller.workspace.name, key, request_id, fingerprint)

    async def run_once(
        self,
        operation: Operation,
        request_id: str,
        caller: Caller,
        route: Route,
        scope: Any,
        body: AsyncIterator[bytes],
        send: Any,
    ) -> None:
        """Forward a claimed operation and record its outcome."""
        claims = self.services.claims
        try:
            outcome = await self.forward(request_id, caller, route, scope, body, send)
        except RequestRefused as failure:
            if failure.refusal.ran == "no":
                await claims.release(operation)
            raise
        try:
            await claims.record(operation, outcome)
        except StoreUnavailable:
            # The claim stays, so a repeat is answered "unknown" and never runs.
            return

    async def forward(
        self,
        request_id: str,
        caller: Caller,
        route: Route,
        scope: Any,
        body: AsyncIterator[bytes],
        send: Any,
    ) -> RecordedOutcome:
        """Send the request to one target and stream its answer to the caller."""
        dispatcher = self.services.dispatcher
        started = current_time()
        demand = Demand(
            caller.workspace.name,
            caller.workspace.share,
            route.service,
            route.route_class,
            started + route.deadline_s,
            frozenset(),
            route.repeatable,
            route.download,
        )
        async with AsyncExitStack() as stack:
            choice = await stack.enter_async_context(dispatcher.acquire(demand))
            target: Target = unwrap(choice)
            try:
                with fail_after(route.deadline_s):
                    response = await stack.enter_async_context(
                        self.open_exchange(target, scope, body)
                    )
            except (HTTPError, TimeoutError) as error:
                detail = f"the upstream did not answer ({type(error).__name__})"
                refusal = Refusal("upstream-failed", 502, detail, "unknown")
                raise RequestRefused(refusal) from error
            outcome = await stream_answer(response, send)
        ended = current_time()
        latency = ended - started
        seen = Outcome.OK if outcome.status < 500 else Outcome.ERROR
        dispatcher.observe(
            Observation(
                route.service,
                target.name,
                route.route_class,
                seen,
                latency,
                latency,
                0.0,
                ended,
            )
        )
        self.services.events.emit(
            REQUEST_FINISHED,
            request=request_id,
            target=target.name,
            status=outcome.status,
            latency_s=latency,
        )
        return outcome

    def open_exchange(self, target: Target, scope: Any, body: AsyncIterator[bytes]):
        """Return the context of an exchange with a target."""
        path = scope["raw_path"].decode("latin-1")
        query = scope["query_string"].decode("latin-1")
        url = f"{target.url}{path}{'?' + query if query else ''}"
        headers = forwarded_request_headers(scope["headers"])
        has_body = any(
            name in (b"content-length", b"transfer-encoding")
            for name, _ in scope["headers"]
        )
        content = body if has_body else None
        return self.services.http.stream(
            scope["method"], url, headers=headers, content=content
        )


async def read_request(receive: Any) -> AsyncIterator[bytes]:
    """Yield the parts of a request body as they arrive."""
    while True:
        event = await receive()
        if event["type"] == "http.disconnect":
            return
        yield event.get("body", b"")
        if not event.get("more_body", False):
            return


async def stream_answer(response: Response, send: Any) -> RecordedOutcome:
    """Pass an answer on part by part and return what is recorded of it."""
    headers = forwarded_response_headers(response.headers.raw)
    start = {
        "type": "http.response.start",
        "status": response.status_code,
        "headers": headers,
    }
    await send(start)
    kept = bytearray()
    async for part in response.aiter_raw():
        if len(kept) <= OUTCOME_BODY_LIMIT_BYTES:
            kept += part
        await send({"type": "http.response.body", "body": part, "more_body": True})
    await send({"type": "http.response.body", "body": b""})
    content_type = response.headers.get("content-type", "")
    truncated = len(kept) > OUTCOME_BODY_LIMIT_BYTES
    body = b"" if truncated else bytes(kept)
    return RecordedOutcome(response.status_code, content_type, body, truncated)


async def send_outcome(send: Any, outcome: RecordedOutcome) -> None:
    """Answer a repeat with the recorded outcome."""
    headers = [
        (b"content-type", outcome.content_type.encode("latin-1")),
        (b"content-length", str(len(outcome.body)).encode()),
        (b"idempotency-replayed", b"true"),
    ]
    start = {
        "type": "http.response.start",
        "status": outcome.status,
        "headers": headers,
    }
    await send(start)
    await send({"type": "http.response.body", "body": outcome.body})
