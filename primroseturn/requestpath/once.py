"""Runs operations that must not repeat: claim, one exchange, recorded outcome."""

from contextlib import AbstractContextManager
from hashlib import sha256
from typing import Any

from anyio import current_time, move_on_after

from primroseturn.claims.models import (
    Operation,
    OUTCOME_BODY_LIMIT_BYTES,
    OutcomeNotKept,
    RecordedOutcome,
)
from primroseturn.failures import Failure, Refusal
from primroseturn.kernel.background import contain_errors
from primroseturn.requestpath.context import RequestContext
from primroseturn.requestpath.events import OUTCOME_NOT_RECORDED
from primroseturn.requestpath.exchange import AttemptFailed, Exchange, run_exchange
from primroseturn.requestpath.forward import ATTEMPT_LIMIT, check_key, refuse_failure
from primroseturn.requestpath.headers import (
    forwarded_response_headers,
    HeaderList,
    IDEMPOTENCY_KEY,
    values_of,
)
from primroseturn.requestpath.refusals import (
    refuse,
    RequestRefused,
    ResponseBroken,
    unwrap,
)
from primroseturn.requestpath.responses import (
    pass_parts,
    send_whole,
    WHOLE_ANSWER_LIMIT_BYTES,
)
from primroseturn.requestpath.services import Services

# Time that a stop, a deadline or a slow store leaves for a claim's record.
RECORD_LIMIT_S = 2.0
KEY_LIMIT_BYTES = 256


def operation_of(context: RequestContext, headers: HeaderList) -> Operation:
    """Return the operation that a request names.

    Raises
    ------
    RequestRefused
        If it names none.
    """
    keys = values_of(headers, IDEMPOTENCY_KEY)
    if len(keys) != 1 or not keys[0] or len(keys[0]) > KEY_LIMIT_BYTES:
        detail = "the route needs one Idempotency-Key"
        raise RequestRefused(Refusal("idempotency-key-missing", 400, detail))
    line = context.method.encode() + b" " + context.target + b"\0"
    fingerprint = sha256(line + context.body.buffered).hexdigest()[:16]
    workspace = context.caller.workspace.name
    key = keys[0].decode("latin-1")
    return Operation(workspace, key, context.request_id, fingerprint)


class OnceForwarder:
    """Forwards operations that must not repeat."""

    def __init__(self, services: Services) -> None:
        self.services = services

    async def forward(self, context: RequestContext, headers: HeaderList) -> None:
        """Run an operation, or answer with what is recorded of it.

        Raises
        ------
        RequestRefused, ResponseBroken
            If the caller gets no whole answer.
        """
        claims = self.services.claims
        operation = operation_of(context, headers)
        claim = unwrap(await claims.claim(operation))
        if isinstance(claim, RecordedOutcome):
            await send_outcome(context, claim)
            return
        try:
            await self.run(context, operation)
        finally:
            if not context.sent:
                await self.release(operation)

    async def run(self, context: RequestContext, operation: Operation) -> None:
        """Forward a claimed operation. It is sent again only if it did not run."""
        excluded: frozenset[str] = frozenset()
        last: RequestRefused | None = None
        for number in range(ATTEMPT_LIMIT):
            demand = context.demand(excluded)
            async with self.services.dispatcher.acquire(demand) as choice:
                if choice.is_error():
                    if last is None:
                        raise RequestRefused(refuse(choice.error))
                    raise last
                check_key(self.services, context)
                last = await self.attempt(context, operation, choice.ok, number > 0)
            if last is None:
                return
            if context.sent or not self.may_retry(context, last):
                raise last
            excluded |= {context.target_name}
        assert last is not None
        raise last

    def may_retry(self, context: RequestContext, refused: RequestRefused) -> bool:
        """Return whether an operation that did not run may be sent once more."""
        if not context.body.repeatable or context.expired():
            return False
        if refused.refusal.kind != "upstream-shed":
            return True
        service = context.route.service
        return self.services.retries.try_consume(service, current_time())

    async def attempt(
        self, context: RequestContext, operation: Operation, target: Any, new: bool
    ) -> RequestRefused | None:
        """Make one exchange and answer the caller.

        Returns
        -------
        RequestRefused
            Why there is no answer; `context.sent` tells whether it may have run.
        """
        try:
            async with run_exchange(self.services, context, target) as exchange:
                await exchange.start(new)
                if exchange.not_run:
                    context.sent = False
                    exchange.conclude()
                    detail = "the upstream sheds load and did not run the request"
                    return RequestRefused(Refusal("upstream-shed", 503, detail))
                await self.answer(context, operation, exchange)
        except AttemptFailed as failure:
            if context.answer_started:
                raise ResponseBroken(failure.outcome.value) from failure
            return refuse_failure(failure)
        service = context.route.service
        if context.status < 500:
            self.services.retries.record_success(service, current_time())
        return None

    async def answer(
        self, context: RequestContext, operation: Operation, exchange: Exchange
    ) -> None:
        """Record the outcome, then answer the caller.

        A repeat that follows the answer at once must find the outcome.
        """
        parts = exchange.parts()
        start = bytearray()
        try:
            async for part in parts:
                start += part
                if len(start) > WHOLE_ANSWER_LIMIT_BYTES:
                    break
            else:
                exchange.conclude()
        except AttemptFailed:
            await self.record(operation, outcome_of(exchange, None))
            raise
        whole = exchange.outcome is not None
        body = bytes(start)
        await self.record(operation, outcome_of(exchange, body if whole else None))
        if whole:
            await send_whole(context, exchange, body)
            return
        headers = forwarded_response_headers(exchange.headers)
        await context.start_answer(exchange.status, headers)
        await context.send_part(body)
        await pass_parts(context, parts, None)
        exchange.conclude()
        await context.end_answer()

    async def record(self, operation: Operation, outcome: RecordedOutcome) -> None:
        """Record an outcome, whether or not the caller still waits."""
        done = False
        with move_on_after(RECORD_LIMIT_S, shield=True), self.contain("record"):
            try:
                await self.services.claims.record(operation, outcome)
                done = True
            except Failure:
                # The claim stays: a repeat is answered "unknown" and never runs.
                pass
        if not done:
            self.services.events.emit(OUTCOME_NOT_RECORDED, request=operation.attempt)

    async def release(self, operation: Operation) -> None:
        """Release the claim of an operation that certainly did not run."""
        with move_on_after(RECORD_LIMIT_S, shield=True), self.contain("release"):
            try:
                await self.services.claims.release(operation)
            except Failure:
                # The claim stays, which refuses a repeat but never runs one twice.
                pass

    def contain(self, step: str) -> AbstractContextManager[None]:
        """Return a context whose errors don't take the order's answer."""
        return contain_errors(self.services.events, f"OnceForwarder.{step}")


def outcome_of(exchange: Exchange, body: bytes | None) -> RecordedOutcome:
    """Return what is recorded of an answer; None stands for a body not kept."""
    types = values_of(exchange.headers, b"content-type")
    content_type = types[0].decode("latin-1") if types else ""
    truncated = body is None or len(body) > OUTCOME_BODY_LIMIT_BYTES
    kept = b"" if truncated else body or b""
    return RecordedOutcome(exchange.status, content_type, kept, truncated)


async def send_outcome(context: RequestContext, outcome: RecordedOutcome) -> None:
    """Answer a repeat with the recorded outcome."""
    if outcome.truncated:
        raise RequestRefused(refuse(OutcomeNotKept(outcome.status)))
    headers = [
        (b"content-length", str(len(outcome.body)).encode()),
        (b"idempotency-replayed", b"true"),
    ]
    if outcome.content_type:
        headers.append((b"content-type", outcome.content_type.encode("latin-1")))
    await context.send_whole(outcome.status, headers, outcome.body)
