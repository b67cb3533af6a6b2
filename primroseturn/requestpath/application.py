"""The ASGI application that forwards requests of callers to upstreams."""

from contextlib import suppress
from itertools import count
from math import inf
from typing import Any

from anyio import CancelScope, current_time
from hypercorn.utils import UnexpectedMessageError

from primroseturn.failures import Refusal
from primroseturn.kernel.background import raise_library_cancellation
from primroseturn.requestpath.body import CallerGone, RequestBody
from primroseturn.requestpath.checks import check_request, stated_deadline_s
from primroseturn.requestpath.context import RequestContext
from primroseturn.requestpath.events import (
    CALLER_GONE,
    REQUEST_BROKEN,
    REQUEST_FAILED,
    REQUEST_FINISHED,
    REQUEST_REFUSED,
)
from primroseturn.requestpath.forward import check_key, Forwarder
from primroseturn.requestpath.headers import (
    forwarded_request_headers,
    has_body,
    HeaderList,
)
from primroseturn.requestpath.identify import identify_caller, secrets_of
from primroseturn.requestpath.once import OnceForwarder
from primroseturn.requestpath.refusals import (
    RequestRefused,
    ResponseBroken,
    send_refusal,
    unwrap,
)
from primroseturn.requestpath.services import Services
from primroseturn.serving.http import closing_sender
from primroseturn.serving.protocol import CALLER_LINK


class Application:
    """Serves callers.

    Each request has one task, which starts others for the attempts of a hedged request.
    """

    def __init__(self, services: Services) -> None:
        self.services = services
        self.idempotent_forwarder = Forwarder(services)
        self.at_most_once_forwarder = OnceForwarder(services)
        self.request_numbers = count(1)

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one request."""
        if scope["type"] == "websocket":
            detail = "the connection cannot be upgraded"
            refusal = Refusal("upgrade-unsupported", 501, detail)
            await send_refusal(send, refusal, "websocket.http")
            return
        if scope["type"] != "http":
            return
        events = self.services.events
        request_id = f"{events.vm}-{events.incarnation}-{next(self.request_numbers)}"
        body = RequestBody(receive, has_body(scope["headers"]))
        sender = closing_sender(send, lambda: self.services.readiness.draining)
        try:
            with raise_library_cancellation():
                await self.serve(request_id, scope, body, sender)
        except RequestRefused as failure:
            refusal = failure.refusal
            events.emit(
                REQUEST_REFUSED,
                request=request_id,
                refusal=refusal.kind,
                ran=refusal.ran,
            )
            await body.discard_remainder()
            await send_refusal(sender, refusal)
        except ResponseBroken as failure:
            # Without the end of the body, hypercorn closes the connection, which shows
            # the caller that the response is incomplete.
            events.emit(REQUEST_BROKEN, request=request_id, reason=str(failure))
        except CallerGone:
            events.emit(CALLER_GONE, request=request_id)
        except Exception as error:
            # The refusal must not state "not run", since the request may have run.
            events.emit(REQUEST_FAILED, request=request_id, error=type(error).__name__)
            refusal = Refusal("internal-error", 500, "internal error", "unknown")
            with suppress(UnexpectedMessageError):
                await send_refusal(sender, refusal)

    async def serve(
        self, request_id: str, scope: dict[str, Any], body: RequestBody, send: Any
    ) -> None:
        """Check a request, then forward it and send its response."""
        context = self.open_context(request_id, scope, body, send)
        failure: Exception | None = None
        link = context.link
        with CancelScope(deadline=context.deadline_at or inf) as cancel_scope:
            link.set_close_callback(lambda: cancel_abandoned(context, cancel_scope))
            try:
                await self.admit_and_forward(context, scope["headers"])
                self.emit_finished(context)
                return
            except (RequestRefused, ResponseBroken, CallerGone) as error:
                failure = error
            finally:
                link.set_close_callback(None)
        raise self.final_failure(context, failure)

    def open_context(
        self, request_id: str, scope: dict[str, Any], body: RequestBody, send: Any
    ) -> RequestContext:
        """Check a request and return its context, with its route and its caller.

        Raises
        ------
        RequestRefused
            If the request is invalid, unauthorized or has no route.
        """
        services = self.services
        headers: HeaderList = scope["headers"]
        check_request(scope, services.settings.callers.header_limit_bytes)
        if not services.readiness.is_configured():
            detail = "this VM has no configuration yet"
            raise RequestRefused(Refusal("not-ready", 503, detail))
        route = unwrap(services.router.match(scope["method"], scope["path"]))
        caller = unwrap(identify_caller(route, headers, services.replica))
        secrets = secrets_of(headers)
        url = scope["raw_path"] + b"?" + scope["query_string"]
        if any(secret in url for secret in secrets):
            detail = "the key must not be part of the URL"
            raise RequestRefused(Refusal("key-misplaced", 400, detail))
        forwarded = forwarded_request_headers(headers, secrets)
        deadline_s = stated_deadline_s(headers)
        context = RequestContext(
            request_id, scope, forwarded, route, caller, body, send, deadline_s
        )
        context.link = scope["extensions"][CALLER_LINK]
        check_key(services, context)
        return context

    async def admit_and_forward(
        self, context: RequestContext, headers: HeaderList
    ) -> None:
        """Apply the workspace's limits to a request, then forward it."""
        services = self.services
        wait_s = services.settings.limits.wait_limit_s
        workspace = context.caller.workspace
        unwrap(await services.admission.admit(workspace, wait_s))
        await context.body.preload()
        if context.route.repeatable:
            await self.idempotent_forwarder.forward(context)
        else:
            await self.at_most_once_forwarder.forward(context, headers)

    def final_failure(
        self, context: RequestContext, failure: Exception | None
    ) -> Exception:
        """Return the exception with which a request ends.

        A refusal states "unknown" as `ran` if the request may have reached an upstream.
        """
        if isinstance(failure, RequestRefused) and not context.response_started:
            refusal = failure.refusal
            if context.sent:
                refusal = refusal._replace(ran="unknown")
            return RequestRefused(refusal)
        if isinstance(failure, RequestRefused):
            return ResponseBroken(failure.refusal.kind)
        if failure is not None:
            return failure
        if context.caller_left:
            return CallerGone()
        if context.response_started:
            return ResponseBroken("deadline-exceeded")
        ran = "unknown" if context.sent else "no"
        detail = "the request's deadline has passed"
        return RequestRefused(Refusal("deadline-exceeded", 504, detail, ran))

    def emit_finished(self, context: RequestContext) -> None:
        """Emit the event of a finished request."""
        self.services.events.emit(
            REQUEST_FINISHED,
            request=context.request_id,
            workspace=context.caller.workspace.name,
            route=context.route.name,
            target=context.target_name,
            status=context.status,
            latency_s=current_time() - context.started_at,
            upstream_s=context.upstream_s,
        )


def cancel_abandoned(context: RequestContext, cancel_scope: CancelScope) -> None:
    """Cancel a request whose caller has left.

    An at-most-once request that was sent continues, so that its outcome is recorded
    for a repeat.
    """
    context.caller_left = True
    if context.route.repeatable or not context.sent:
        cancel_scope.cancel()
