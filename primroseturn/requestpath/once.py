"""Forwards at-most-once requests, with a claim and a recorded outcome.

A request is sent again only after exchanges in which it did not run.
"""

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
from primroseturn.requestpath.forward import attempt_refusal, check_key, MAX_ATTEMPTS
from primroseturn.requestpath.headers import (
    forwarded_response_headers,
    HeaderList,
    IDEMPOTENCY_KEY,
    values_of,
)
from primroseturn.requestpath.refusals import (
    refusal_for,
    RequestRefused,
    ResponseBroken,
    unwrap,
)
from primroseturn.requestpath.responses import (
    forward_parts,
    forward_whole,
    MAX_WHOLE_RESPONSE_BYTES,
)
from primroseturn.requestpath.services import Services

# Longest time in seconds to record an outcome or to release a claim. Both also take
# place during a stop and after a deadline, and the store may be slow.
RECORD_TIMEOUT_S = 2.0
MAX_IDEMPOTENCY_KEY_BYTES = 256


def operation_of(context: RequestContext, headers: HeaderList) -> Operation:
    """Return the operation that the Idempotency-Key of a request names.

    Raises
    ------
    RequestRefused
        If the request has no valid Idempotency-Key or several of them.
    """
    keys = values_of(headers, IDEMPOTENCY_KEY)
    if len(keys) != 1 or not keys[0] or len(keys[0]) > MAX_IDEMPOTENCY_KEY_BYTES:
        detail = "the route needs one Idempotency-Key"
        raise RequestRefused(Refusal("idempotency-key-missing", 400, detail))
    request_line = context.method.encode() + b" " + context.path_and_query + b"\0"
    fingerprint = sha256(request_line + context.body.buffered).hexdigest()[:16]
    workspace = context.caller.workspace.name
    key = keys[0].decode("latin-1")
    return Operation(workspace, key, context.request_id, fingerprint)


class OnceForwarder:
    """Forwards at-most-once requests."""

    def __init__(self, services: Services) -> None:
        self.services = services

    async def forward(self, context: RequestContext, headers: HeaderList) -> None:
        """Run an operation, or respond with its recorded outcome.

        Raises
        ------
        RequestRefused, ResponseBroken
            If the caller gets no complete response.
        """
        claims = self.services.claims
        operation = operation_of(context, headers)
        claim = unwrap(await claims.claim(operation))
        if isinstance(claim, RecordedOutcome):
            await send_recorded_outcome(context, claim)
            return
        try:
            await self.forward_claimed(context, operation)
        finally:
            if not context.sent:
                await self.release(operation)

    async def forward_claimed(
        self, context: RequestContext, operation: Operation
    ) -> None:
        """Forward a claimed operation. It is sent again only if it did not run."""
        excluded: frozenset[str] = frozenset()
        last_refusal: RequestRefused | None = None
        for number in range(MAX_ATTEMPTS):
            slot_request = context.slot_request(excluded)
            async with self.services.dispatcher.acquire(slot_request) as choice:
                if choice.is_error():
                    if last_refusal is None:
                        raise RequestRefused(refusal_for(choice.error))
                    raise last_refusal
                check_key(self.services, context)
                last_refusal = await self.attempt(
                    context, operation, choice.ok, number > 0
                )
            if last_refusal is None:
                return
            if context.sent or not self.may_retry(context, last_refusal):
                raise last_refusal
            excluded |= {context.target_name}
        assert last_refusal is not None
        raise last_refusal

    def may_retry(self, context: RequestContext, refused: RequestRefused) -> bool:
        """Return whether an operation that did not run may be sent again."""
        if not context.body.is_resendable or context.is_expired():
            return False
        if refused.refusal.kind != "upstream-shed":
            return True
        service = context.route.service
        return self.services.retries.try_consume(service, current_time())

    async def attempt(
        self,
        context: RequestContext,
        operation: Operation,
        target: Any,
        must_be_new: bool,
    ) -> RequestRefused | None:
        """Perform one exchange and respond to the caller.

        Returns
        -------
        RequestRefused
            Why there is no response, or None if there is one. `context.sent` states
            whether the operation may have run.
        """
        try:
            async with run_exchange(self.services, context, target) as exchange:
                await exchange.start(must_be_new)
                if exchange.not_run:
                    context.sent = False
                    exchange.record_completion()
                    detail = "the upstream sheds load and did not run the request"
                    return RequestRefused(Refusal("upstream-shed", 503, detail))
                await self.record_and_respond(context, operation, exchange)
        except AttemptFailed as failure:
            if context.response_started:
                raise ResponseBroken(failure.outcome.value) from failure
            return attempt_refusal(failure)
        service = context.route.service
        if context.status < 500:
            self.services.retries.record_success(service, current_time())
        return None

    async def record_and_respond(
        self, context: RequestContext, operation: Operation, exchange: Exchange
    ) -> None:
        """Record the outcome, then respond to the caller.

        A repeat that arrives immediately after the response must find the outcome.
        """
        parts = exchange.body_parts()
        body_start = bytearray()
        try:
            async for part in parts:
                body_start += part
                if len(body_start) > MAX_WHOLE_RESPONSE_BYTES:
                    break
            else:
                exchange.record_completion()
        except AttemptFailed:
            await self.record(operation, outcome_to_record(exchange, None))
            raise
        is_whole = exchange.outcome is not None
        body = bytes(body_start)
        await self.record(
            operation, outcome_to_record(exchange, body if is_whole else None)
        )
        if is_whole:
            await forward_whole(context, exchange, body)
            return
        headers = forwarded_response_headers(exchange.headers)
        await context.start_response(exchange.status, headers)
        await context.send_part(body)
        await forward_parts(context, parts, None)
        exchange.record_completion()
        await context.end_response()

    async def record(self, operation: Operation, outcome: RecordedOutcome) -> None:
        """Record an outcome, whether or not the caller is still waiting."""
        is_recorded = False
        with move_on_after(RECORD_TIMEOUT_S, shield=True), self.contain("record"):
            try:
                await self.services.claims.record(operation, outcome)
                is_recorded = True
            except Failure:
                # The claim stays: a repeat is refused with "unknown" and never runs.
                pass
        if not is_recorded:
            self.services.events.emit(OUTCOME_NOT_RECORDED, request=operation.attempt)

    async def release(self, operation: Operation) -> None:
        """Release the claim of an operation that certainly did not run."""
        with move_on_after(RECORD_TIMEOUT_S, shield=True), self.contain("release"):
            try:
                await self.services.claims.release(operation)
            except Failure:
                # The claim stays: a repeat is refused and never runs again.
                pass

    def contain(self, step: str) -> AbstractContextManager[None]:
        """Return a context whose errors do not affect the response of the request."""
        return contain_errors(self.services.events, f"OnceForwarder.{step}")


def outcome_to_record(exchange: Exchange, body: bytes | None) -> RecordedOutcome:
    """Return the outcome that is recorded for a response.

    Parameters
    ----------
    body
        The whole body, or None if it is not recorded.
    """
    content_types = values_of(exchange.headers, b"content-type")
    content_type = content_types[0].decode("latin-1") if content_types else ""
    truncated = body is None or len(body) > OUTCOME_BODY_LIMIT_BYTES
    recorded_body = b"" if truncated else body or b""
    return RecordedOutcome(exchange.status, content_type, recorded_body, truncated)


async def send_recorded_outcome(
    context: RequestContext, outcome: RecordedOutcome
) -> None:
    """Respond to a repeat with the recorded outcome.

    Raises
    ------
    RequestRefused
        If the body of the outcome was not recorded.
    """
    if outcome.truncated:
        raise RequestRefused(refusal_for(OutcomeNotKept(outcome.status)))
    headers = [
        (b"content-length", str(len(outcome.body)).encode()),
        (b"idempotency-replayed", b"true"),
    ]
    if outcome.content_type:
        headers.append((b"content-type", outcome.content_type.encode("latin-1")))
    await context.send_whole_response(outcome.status, headers, outcome.body)
