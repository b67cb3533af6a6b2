"""The ASGI application that carries a request from a caller to an upstream."""

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
    """Serves callers. One task runs each request from start to end."""

    def __init__(self, services: Services) -> None:
        self.services = services
        self.repeatable = Forwarder(services)
        self.once = OnceForwarder(services)
        self.numbers = count(1)

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Answer one request."""
        if scope["type"] == "websocket":
            detail = "the connection cannot be upgraded"
            refusal = Refusal("upgrade-unsupported", 501, detail)
            await send_refusal(send, refusal, "websocket.http")
            return
        if scope["type"] != "http":
            return
        events = self.services.events
        request_id = f"{events.vm}-{events.incarnation}-{next(self.numbers)}"
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
            await body.drain()
            await send_refusal(sender, refusal)
        except ResponseBroken as failure:
            # Without the end of the body, hypercorn closes the connection, and the
            # caller sees that the answer is not whole.
            events.emit(REQUEST_BROKEN, request=request_id, reason=str(failure))
        except CallerGone:
            events.emit(CALLER_GONE, request=request_id)
        except Exception as error:
            # The fault of one request must not look like "not run" to its caller.
            events.emit(REQUEST_FAILED, request=request_id, error=type(error).__name__)
            refusal = Refusal("internal-error", 500, "internal error", "unknown")
            with suppress(UnexpectedMessageError):
                await send_refusal(sender, refusal)

    async def serve(
        self, request_id: str, scope: dict[str, Any], body: RequestBody, send: Any
    ) -> None:
        """Check a request, then run it for its caller."""
        context = self.open_context(request_id, scope, body, send)
        failure: Exception | None = None
        link = context.link
        with CancelScope(deadline=context.deadline_at or inf) as limit:
            link.set_close_callback(lambda: end_abandoned(context, limit))
            try:
                await self.run(context, scope["headers"])
                self.note_finished(context)
                return
            except (RequestRefused, ResponseBroken, CallerGone) as error:
                failure = error
            finally:
                link.set_close_callback(None)
        raise self.explain(context, failure)

    def open_context(
        self, request_id: str, scope: dict[str, Any], body: RequestBody, send: Any
    ) -> RequestContext:
        """Match, identify and check a request.

        Raises
        ------
        RequestRefused
            If the request may not run.
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
        where = scope["raw_path"] + b"?" + scope["query_string"]
        if any(secret in where for secret in secrets):
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

    async def run(self, context: RequestContext, headers: HeaderList) -> None:
        """Admit and forward a request."""
        services = self.services
        wait_s = services.settings.limits.wait_limit_s
        workspace = context.caller.workspace
        unwrap(await services.admission.admit(workspace, wait_s))
        await context.body.preload()
        if context.route.repeatable:
            await self.repeatable.forward(context)
        else:
            await self.once.forward(context, headers)

    def explain(self, context: RequestContext, failure: Exception | None) -> Exception:
        """Return why a request was not answered, with a truthful `ran`."""
        if isinstance(failure, RequestRefused) and not context.answer_started:
            refusal = failure.refusal
            if context.sent:
                refusal = refusal._replace(ran="unknown")
            return RequestRefused(refusal)
        if isinstance(failure, RequestRefused):
            return ResponseBroken(failure.refusal.kind)
        if failure is not None:
            return failure
        if context.gone:
            return CallerGone()
        if context.answer_started:
            return ResponseBroken("deadline-exceeded")
        ran = "unknown" if context.sent else "no"
        detail = "the request's deadline has passed"
        return RequestRefused(Refusal("deadline-exceeded", 504, detail, ran))

    def note_finished(self, context: RequestContext) -> None:
        """Emit the event of an answered request."""
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


def end_abandoned(context: RequestContext, limit: CancelScope) -> None:
    """End a request whose caller has left.

    An operation that must not repeat goes on once it was sent, so that its outcome
    is recorded and a repeat gets it.
    """
    context.gone = True
    if context.route.repeatable or not context.sent:
        limit.cancel()
