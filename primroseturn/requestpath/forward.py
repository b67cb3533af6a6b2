"""Forwards idempotent requests, with retries, hedging and resumed downloads."""

from collections.abc import Awaitable, Callable
from contextlib import AsyncExitStack

from anyio import (
    CancelScope,
    create_task_group,
    current_time,
    Event,
    move_on_after,
    sleep,
)

from primroseturn.configuration.models import Target
from primroseturn.detection.observations import Outcome
from primroseturn.failures import Refusal
from primroseturn.kernel.background import raise_library_cancellation
from primroseturn.requestpath.context import RequestContext
from primroseturn.requestpath.events import ANSWER_RESUMED, REQUEST_HEDGED
from primroseturn.requestpath.exchange import AttemptFailed, Exchange, run_exchange
from primroseturn.requestpath.identify import KeyRefused
from primroseturn.requestpath.refusals import (
    refusal_for,
    RequestRefused,
    ResponseBroken,
    unwrap,
)
from primroseturn.requestpath.responses import deliver, deliver_remainder, Extent
from primroseturn.requestpath.services import Services

MAX_ATTEMPTS = 3
# A hedge uses a slot only if one is free, so it does not wait for one.
HEDGE_SLOT_TIMEOUT_S = 0.002
RETRIED_STATUSES = frozenset((429, 500, 502, 503, 504))
MAX_RESUMPTIONS = 32
# Consecutive resumptions that deliver no byte.
MAX_FRUITLESS_RESUMPTIONS = 4
# Delay before a resumption, for each fruitless one just before it.
RESUME_DELAY_S = 0.1

ExchangeHandler = Callable[[Exchange], Awaitable[None]]


class Race:
    """Selects the one attempt of a hedged request that responds to the caller.

    Attributes
    ----------
    selected_scope
        Scope of the selected attempt.
    failure, failed_scope
        The failure to raise, and the scope of the attempt that raised it.
    changed
        Set when an attempt was selected or `failure` was set.
    """

    def __init__(self, context: RequestContext) -> None:
        self.context = context
        self.scopes: list[CancelScope] = []
        self.selected_scope: CancelScope | None = None
        self.failure: Exception | None = None
        self.failed_scope: CancelScope | None = None
        self.changed = Event()

    def select(self, scope: CancelScope) -> None:
        """Let one attempt respond and cancel the other ones."""
        self.selected_scope = scope
        self.context.has_selected_attempt = True
        for other in self.scopes:
            if other is not scope:
                other.cancel()
        self.changed.set()

    def record_failure(self, scope: CancelScope, failure: Exception) -> None:
        """Keep the failure of the selected attempt or, without one, of the first."""
        if scope is self.selected_scope or (
            self.selected_scope is None and scope is self.scopes[0]
        ):
            self.failure = failure
            self.failed_scope = scope
            self.changed.set()


def check_key(services: Services, context: RequestContext) -> None:
    """Check that the key of a request is not withdrawn.

    This is called again after each wait.

    Raises
    ------
    RequestRefused
        If the key is withdrawn, or if this VM may have missed a withdrawal.
    """
    key_id = context.caller.key_id
    if key_id is None:
        return
    if services.replica.is_withdrawn_or_unknown(key_id):
        raise RequestRefused(refusal_for(KeyRefused("the key is not in force")))
    unwrap(services.isolation.check(current_time()))


def attempt_refusal(failure: AttemptFailed) -> RequestRefused:
    """Return the refusal for a failed attempt."""
    ran = "unknown" if failure.sent else "no"
    if failure.outcome is Outcome.SHED:
        return RequestRefused(Refusal(failure.code, 503, str(failure), ran))
    status = 504 if failure.outcome in (Outcome.STALL, Outcome.TIMEOUT) else 502
    return RequestRefused(Refusal(failure.code, status, str(failure), ran))


class Forwarder:
    """Forwards idempotent requests."""

    def __init__(self, services: Services) -> None:
        self.services = services

    async def forward(self, context: RequestContext) -> None:
        """Forward a request until the caller has a complete response.

        Raises
        ------
        RequestRefused
            If no response was started.
        ResponseBroken
            If a response that had started could not be completed.
        """
        excluded: frozenset[str] = frozenset()
        last_failure: AttemptFailed | None = None
        for number in range(MAX_ATTEMPTS):
            is_final = number == MAX_ATTEMPTS - 1
            try:
                await self.attempt_hedged(context, excluded, last_failure, is_final)
            except AttemptFailed as failure:
                if context.response_started:
                    raise ResponseBroken(failure.outcome.value) from failure
                if is_final or not self.may_retry(context, failure):
                    raise attempt_refusal(failure) from failure
                excluded |= {context.target_name}
                last_failure = failure
                continue
            route = context.route
            if context.status < 500:
                self.services.retries.record_success(route.service, current_time())
            return

    def may_retry(self, context: RequestContext, failure: AttemptFailed) -> bool:
        """Return whether to send the request again; consume a retry if it needs one."""
        if not context.body.is_resendable or context.is_expired():
            return False
        return failure.needs_no_retry_budget or self.try_consume_retry(context)

    def try_consume_retry(self, context: RequestContext) -> bool:
        """Consume a retry of the budget and return whether there was one."""
        return self.services.retries.try_consume(context.route.service, current_time())

    async def attempt_hedged(
        self,
        context: RequestContext,
        excluded: frozenset[str],
        last_failure: AttemptFailed | None,
        is_final: bool,
    ) -> None:
        """Make one attempt, and a second one beside it if the first is late."""
        route = context.route
        delay_s = None
        if route.hedge and last_failure is None and context.body.is_fully_buffered():
            delay_s = self.services.hedging.delay_s(route.service, route.route_class)
        if delay_s is None:
            await self.attempt(context, excluded, last_failure, is_final)
            return
        race = Race(context)
        async with create_task_group() as tasks:
            tasks.start_soon(self.run_hedged_attempt, race, context, excluded, False)
            with move_on_after(delay_s):
                await race.changed.wait()
            if not race.changed.is_set() and self.try_consume_retry(context):
                self.services.events.emit(REQUEST_HEDGED, request=context.request_id)
                hedge_excluded = excluded | {context.target_name}
                tasks.start_soon(
                    self.run_hedged_attempt, race, context, hedge_excluded, True
                )
        context.has_selected_attempt = False
        if race.failure is not None and (
            race.selected_scope is None or race.selected_scope is race.failed_scope
        ):
            raise race.failure

    async def run_hedged_attempt(
        self,
        race: Race,
        context: RequestContext,
        excluded: frozenset[str],
        is_hedge: bool,
    ) -> None:
        """Run one of the concurrent attempts of a hedged request."""
        with CancelScope() as scope:
            race.scopes.append(scope)
            try:
                with raise_library_cancellation():
                    await self.attempt(
                        context,
                        excluded,
                        None,
                        False,
                        is_hedge,
                        lambda: race.select(scope),
                    )
            except Exception as failure:  # `attempt_hedged` raises it.
                race.record_failure(scope, failure)

    async def attempt(
        self,
        context: RequestContext,
        excluded: frozenset[str],
        last_failure: AttemptFailed | None,
        is_final: bool,
        is_hedge: bool = False,
        on_response: Callable[[], None] = lambda: None,
    ) -> None:
        """Send the request to one target and forward the response.

        Parameters
        ----------
        last_failure
            Failure of the previous attempt, None for the first one.
        is_final
            Whether no further attempt is allowed.
        on_response
            Called before the response is forwarded to the caller.
        """

        async def handle(exchange: Exchange) -> None:
            nonlocal extent
            await exchange.start(must_be_new=last_failure is not None)
            if not is_final and exchange.status in RETRIED_STATUSES:
                exchange.record_completion()
                failure = AttemptFailed(
                    exchange.outcome, f"status {exchange.status}", True, False
                )
                if not is_hedge and self.may_retry(context, failure):
                    # The budget is used already; `forward` must not use it again.
                    failure.needs_no_retry_budget = True
                    raise failure
            on_response()
            extent = await deliver(context, exchange)

        extent: Extent | None = None
        await self.run_on_target(context, excluded, handle, last_failure, is_hedge)
        if extent is not None:
            await self.resume(context, extent)

    async def run_on_target(
        self,
        context: RequestContext,
        excluded: frozenset[str],
        handle: ExchangeHandler,
        last_failure: AttemptFailed | None,
        is_hedge: bool = False,
        deadline_at: float = 0.0,
    ) -> None:
        """Acquire a slot of a target and call `handle` with an exchange.

        If no other target is available, the excluded ones are tried again.

        Parameters
        ----------
        last_failure
            Failure of the previous attempt, which is raised if there is no slot.
        deadline_at
            Monotonic time in seconds until which to wait for a slot; 0 for the deadline
            in `context`.
        """
        slot_request = context.slot_request(excluded, deadline_at)
        async with AsyncExitStack() as stack:
            slot = self.services.dispatcher.acquire(slot_request)
            choice = None
            if is_hedge:
                with move_on_after(HEDGE_SLOT_TIMEOUT_S):
                    choice = await stack.enter_async_context(slot)
            else:
                choice = await stack.enter_async_context(slot)
            if choice is not None and choice.is_ok():
                await self.run_in_slot(context, choice.ok, handle)
                return
        if is_hedge:
            return
        if excluded:
            await self.run_on_target(
                context, frozenset(), handle, last_failure, deadline_at=deadline_at
            )
            return
        if last_failure is not None:
            raise attempt_refusal(last_failure)
        raise RequestRefused(refusal_for(choice.error))

    async def run_in_slot(
        self, context: RequestContext, target: Target, handle: ExchangeHandler
    ) -> None:
        """Call `handle` with an exchange with a target whose slot was acquired."""
        check_key(self.services, context)
        async with run_exchange(self.services, context, target) as exchange:
            await handle(exchange)

    async def resume(self, context: RequestContext, extent: Extent) -> None:
        """Fetch the remainder of a cut-off download, preferably from other targets.

        Raises
        ------
        ResponseBroken
            If no target continues the response.
        """

        async def handle(exchange: Exchange) -> None:
            await exchange.start(
                must_be_new=True, extra_headers=extent.resume_headers()
            )
            await deliver_remainder(context, exchange, extent)

        fruitless_count = 0
        for _ in range(MAX_RESUMPTIONS):
            forwarded_before = extent.forwarded_bytes
            excluded = frozenset((context.target_name,))
            deadline_at = current_time() + context.route.deadline_s
            try:
                await self.run_on_target(
                    context, excluded, handle, None, deadline_at=deadline_at
                )
                self.services.events.emit(
                    ANSWER_RESUMED,
                    request=context.request_id,
                    target=context.target_name,
                    from_byte=extent.first + forwarded_before,
                )
                return
            except RequestRefused as refused:
                if refused.refusal.kind == KeyRefused.code:
                    raise ResponseBroken(KeyRefused.code) from refused
            except AttemptFailed:
                pass
            fruitless_count = (
                0 if extent.forwarded_bytes > forwarded_before else fruitless_count + 1
            )
            if fruitless_count == MAX_FRUITLESS_RESUMPTIONS:
                break
            await sleep(RESUME_DELAY_S * fruitless_count)
        raise ResponseBroken("cut")
