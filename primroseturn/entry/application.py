"""The ASGI application that forwards requests of callers to targets."""

from collections.abc import Callable, Iterator
from contextlib import contextmanager, suppress
from random import Random
from typing import Any

from anyio import (
    CancelScope,
    current_time,
    get_cancelled_exc_class,
    move_on_after,
    sleep,
)
from httpx import HTTPError
from hypercorn.utils import UnexpectedMessageError

from primroseturn.clock import time_since_boot
from primroseturn.entry.attempt import AttemptOutcome, AttemptResult
from primroseturn.entry.delivery import body_parts, LargeResponse
from primroseturn.entry.events import (
    INTERNAL_ERROR,
)
from primroseturn.entry.forwarding import Forwarder
from primroseturn.entry.memory import Holder, MemoryBudget, Phase
from primroseturn.entry.metrics import RATE_REFUSALS
from primroseturn.entry.outcomes import OutcomeLog
from primroseturn.entry.refusals import (
    MEMORY_EXHAUSTED,
    RefusalBuilder,
    TOO_MANY_REQUESTS,
)
from primroseturn.entry.request import EntryRequest
from primroseturn.entry.stopping import DURATION_FACTOR, StopSchedule
from primroseturn.entry.validation import RequestValidator
from primroseturn.entry.view import VmView
from primroseturn.failures import Refusal
from primroseturn.kernel.background import contain_errors, raise_library_cancellation
from primroseturn.limits.quota import ADMISSION_WAIT_S, FleetQuota
from primroseturn.observation.events import EventLog
from primroseturn.platform.headers import (
    forwarded_response_headers,
)
from primroseturn.queueing.retry_after import retry_after_s
from primroseturn.requestpath.body import (
    CallerGone,
    RequestBody,
)
from primroseturn.requestpath.headers import (
    CONTENT_LENGTH,
    has_body,
    HeaderList,
)
from primroseturn.requestpath.refusals import (
    RequestRefused,
    ResponseBroken,
    send_refusal,
)
from primroseturn.serving.http import closing_sender

# Longest time in seconds that a request waits for the first view of a VM that has just
# started. It comes from the store or another VM within some tenths of a second.
FIRST_VIEW_TIMEOUT_S = 0.4
# Seconds between two checks whether the first view has arrived.
FIRST_VIEW_CHECK_INTERVAL_S = 0.02


class EntryApplication:
    """Serves callers. Each request has one task.

    An idempotent request starts further tasks, one for each of its attempts.

    Parameters
    ----------
    stop
        The time that requests have during the stop of this VM.
    store_responds
        Returns whether the store responds to this VM.
    memory
        The bytes that requests may hold.
    """

    def __init__(
        self,
        view: VmView,
        forwarder: Forwarder,
        quota: FleetQuota,
        events: EventLog,
        stop: StopSchedule,
        store_responds: Callable[[], bool],
        memory: MemoryBudget,
    ) -> None:
        self.memory = memory
        self.view = view
        self.forwarder = forwarder
        self.quota = quota
        self.events = events
        self.stop = stop
        self.store_responds = store_responds
        self.random = Random()
        self.refusals = RefusalBuilder(forwarder.placement, self.random)
        self.validator = RequestValidator(
            view, forwarder.placement, self.refusals, self.random
        )
        self.outcomes = OutcomeLog(view, events)

    async def __call__(self, scope: Any, receive: Any, send: Any) -> None:
        """Serve one request."""
        if scope["type"] == "websocket":
            await self.refuse_upgrade(scope["headers"], send)
            return
        if scope["type"] != "http":
            return
        headers: HeaderList = scope["headers"]
        body = RequestBody(receive, has_body(headers))
        sender = closing_sender(send, lambda: self.stop.has_begun)
        request: EntryRequest | None = None
        try:
            with raise_library_cancellation():
                await self.wait_first_view()
                request = self.validator.validate_request(scope, headers, body)
                self.check_stop(request)
                self.check_targets(request)
                with self.hold_memory(request):
                    await self.check_rate(request)
                    await self.forwarder.admitting.admit(request)
                    await self.serve(request, sender)
        except RequestRefused as failure:
            await self.refuse(request, headers, body, sender, failure.refusal)
        except ResponseBroken as failure:
            # Without the end of the body, hypercorn closes the connection, which shows
            # the caller that the response is incomplete.
            self.outcomes.record_broken(request, str(failure))
        except CallerGone:
            self.outcomes.record_caller_left(request)
        except get_cancelled_exc_class():
            # The request has not ended within the time for the VM's stop. Hypercorn
            # responds with 500, which does not state whether the request ran.
            self.outcomes.record_broken(request, "the VM stopped before the response")
            raise
        except Exception as error:
            # The refusal must not state that the request did not run: it may have run.
            self.events.emit(
                INTERNAL_ERROR,
                error=f"{type(error).__name__}: {error}",
                request=request.id if request else None,
            )
            refusal = Refusal("internal-error", 500, "internal error", "unknown")
            with suppress(UnexpectedMessageError):
                await send_refusal(sender, refusal)

    async def refuse_upgrade(self, headers: HeaderList, send: Any) -> None:
        """Refuse an offer to change to WebSocket."""
        refusal = Refusal(
            "upgrade-unsupported", 501, "the connection can't be upgraded"
        )
        self.outcomes.note_refusal(None, headers, refusal)
        await send_refusal(send, refusal, "websocket.http")

    async def wait_first_view(self) -> None:
        """Wait for the first view, for a bounded time and while the store responds."""
        with move_on_after(FIRST_VIEW_TIMEOUT_S):
            while not self.view.is_complete() and self.store_responds():
                await sleep(FIRST_VIEW_CHECK_INTERVAL_S)

    def check_stop(self, request: EntryRequest) -> None:
        """Refuse a request that may not end before this VM has stopped.

        Raises
        ------
        RequestRefused
            If it would be cut off. Other VMs can take it at once.
        """
        if not self.stop.has_begun:
            return
        typical_s = self.forwarder.placement.known_duration_s(request.traits)
        expected_s = request.route.objective_s
        if typical_s is not None:
            expected_s = DURATION_FACTOR * typical_s
        if not self.stop.accepts(request.left_s(), expected_s, current_time()):
            detail = "this VM stops before the request would have ended"
            raise self.refusals.retryable("stopping", detail, 0.0, request.left_s())

    def check_targets(self, request: EntryRequest) -> None:
        """Refuse a request that no target may get, before its body is read.

        Raises
        ------
        RequestRefused
            If no target in its allowed regions can be used, or only cold ones that this
            VM may not use.
        """
        placement = self.forwarder.placement
        obstacle = placement.find_obstacle(request.traits, current_time())
        if obstacle is not None:
            raise self.refusals.obstacle(request, obstacle)

    @contextmanager
    def hold_memory(self, request: EntryRequest) -> Iterator[None]:
        """Hold the bytes of a request during the context.

        Raises
        ------
        RequestRefused
            If they do not fit.
        """
        workspace = request.workspace.name if request.workspace else None
        with self.memory.hold(
            Holder(request.id, workspace),
            request.body_bytes(),
            request.evict,
            request.link.unsent_bytes,
        ) as holding:
            if holding is None:
                raise self.refusals.memory(request)
            request.holding = holding
            yield

    async def check_rate(self, request: EntryRequest) -> None:
        """Admit a request under its workspace's rate, after a short wait if needed.

        Raises
        ------
        RequestRefused
            If it is not admitted within `ADMISSION_WAIT_S`.
        """
        if request.workspace is None:
            return
        name, rank = request.workspace.name, request.workspace.priority
        if rank is None:
            rank = request.route.priority
        wait_s = self.quota.admit(name, current_time(), rank=rank)
        if 0 < wait_s <= ADMISSION_WAIT_S:
            await sleep(wait_s)
            wait_s = self.quota.admit(name, current_time(), True, rank)
        if wait_s > 0:
            reason, detail = self.quota.explain_refusal(name, current_time(), rank)
            delay_s = retry_after_s(wait_s, request.left_s(), self.random)
            RATE_REFUSALS.labels(reason.value).inc()
            raise RequestRefused(
                Refusal(
                    "rate-exceeded",
                    TOO_MANY_REQUESTS,
                    detail,
                    "no",
                    delay_s,
                    reason.value,
                )
            )

    def may_send(self, request: EntryRequest) -> bool:
        """Return whether a request may still be sent to a target.

        A request may not be sent after its caller has left, after its deadline, or when
        its key was withdrawn or may have been.
        """
        if request.caller_left or request.left_s() <= 0:
            return False
        if request.workspace is None:
            return True
        configuration = self.view.configuration
        assert configuration is not None
        workspace = configuration.workspaces_by_key.get(request.headers.key or "")
        is_valid = workspace is not None and workspace.name == request.workspace.name
        return is_valid and self.view.can_check_keys(time_since_boot())

    async def serve(self, request: EntryRequest, send: Any) -> None:
        """Forward a request and deliver the response.

        Raises
        ------
        RequestRefused
            If no target gave a valid response.
        ResponseBroken
            If a large response was not delivered whole.
        CallerGone
            If the caller left.
        """
        result: AttemptResult | None = None
        with self.stop.limit(request.deadline_at) as deadline_scope:
            request.scope = deadline_scope
            request.link.set_close_callback(
                lambda: handle_caller_left(request, deadline_scope)
            )
            try:
                result = await self.forwarder.forward(request)
            finally:
                request.link.set_close_callback(None)
        if request.caller_left:
            close_remainder(result)
            raise CallerGone
        if deadline_scope.cancelled_caught and result is None:
            if request.is_evicted and not request.may_have_run:
                raise self.refusals.memory(request)
            raise self.refusals.timeout(request, self.stop.has_begun)
        if result is None:
            if not self.may_send(request):
                detail = "the key can't be checked any more"
                raise self.refusals.retryable(
                    "keys-stale", detail, left_s=request.left_s()
                )
            raise self.refusals.no_target(request)
        if result.head is None or not is_deliverable(result):
            close_remainder(result)
            wait_s = self.forwarder.admitting.expected_wait_s(request)
            raise self.refusals.no_response(request, result, wait_s)
        if result.remainder is None:
            await self.deliver(request, result, send)
        else:
            await self.deliver_large(request, result, send)
        self.outcomes.record_served(request, result)

    async def deliver(
        self, request: EntryRequest, result: AttemptResult, send: Any
    ) -> None:
        """Send a target's response, or the start of a large one, to the caller.

        Raises
        ------
        CallerGone
            If the caller left before the last part.
        """
        assert result.head is not None
        head = result.head
        headers = forwarded_response_headers(head)
        if result.remainder is None and request.line.method != "HEAD":
            headers.append((CONTENT_LENGTH, str(len(result.body)).encode()))
        elif head.length is not None:
            headers.append((CONTENT_LENGTH, str(head.length).encode()))
        request.link.hold_head = True
        await send(
            {
                "type": "http.response.start",
                "status": head.status,
                "headers": headers,
            }
        )
        request.enter_phase(Phase.DELIVERING)
        has_more = result.remainder is not None
        for part, is_last in body_parts(result.body):
            more_body = has_more or not is_last
            await send(
                {"type": "http.response.body", "body": part, "more_body": more_body}
            )
            request.record_progress()
            if more_body and request.link.has_closed:
                raise CallerGone

    async def deliver_large(
        self, request: EntryRequest, result: AttemptResult, send: Any
    ) -> None:
        """Forward a large response as it arrives, until the request's deadline.

        Raises
        ------
        ResponseBroken
            If the response is cut off, cannot be sent or has not ended in time.
        CallerGone
            If the caller left.
        """
        assert result.remainder is not None
        response = LargeResponse(request, result.remainder)
        with CancelScope(deadline=request.deadline_at) as deadline_scope:
            request.link.set_close_callback(deadline_scope.cancel)
            try:
                await self.deliver(request, result, send)
                await response.forward(send)
            except CallerGone:
                raise
            except HTTPError as error:
                detail = f"the response ended early: {error}"
                self.forwarder.record_broken_response(request, result, detail)
                raise ResponseBroken(detail) from error
            except Exception as error:
                raise ResponseBroken(
                    f"sending to the caller failed: {error}"
                ) from error
            finally:
                request.link.set_close_callback(None)
                result.remainder.close()
        if request.link.has_closed:
            raise CallerGone
        if deadline_scope.cancelled_caught:
            detail = f"the response had not ended after {response.sent_bytes} bytes"
            if response.waited_for_target():
                self.forwarder.record_broken_response(request, result, detail)
            raise ResponseBroken(detail)
        await send({"type": "http.response.body", "body": b""})

    async def refuse(
        self,
        request: EntryRequest | None,
        headers: HeaderList,
        body: RequestBody,
        send: Any,
        refusal: Refusal,
    ) -> None:
        """Send a refusal, and log its reason."""
        with contain_errors(self.events, "OutcomeLog.note_refusal"):
            self.outcomes.note_refusal(request, headers, refusal)
        await body.discard_remainder()
        if refusal.kind == MEMORY_EXHAUSTED:
            send = closing_sender(send, lambda: True)
        await send_refusal(send, refusal)


def close_remainder(result: AttemptResult | None) -> None:
    """Close the connection from which the remainder of a large response is read."""
    if result is not None and result.remainder is not None:
        result.remainder.close()


def is_deliverable(result: AttemptResult) -> bool:
    """Return whether the response of an attempt may be sent to the caller.

    A status that tells callers that a request did not run is kept from them unless the
    target states so.
    """
    assert result.head is not None
    has_response = result.end in (AttemptOutcome.ANSWERED, AttemptOutcome.FAILED)
    return has_response and not result.head.has_false_status


def handle_caller_left(request: EntryRequest, deadline_scope: CancelScope) -> None:
    """Record that the caller has left, and cancel the request unless it must go on.

    An at-most-once request that may have reached a target runs to its end there.
    """
    request.caller_left = True
    if request.route.repeatable or not request.may_have_run:
        deadline_scope.cancel()
