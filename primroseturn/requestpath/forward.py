"""Forwards idempotent requests: retries, hedging and resumption."""

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
    refuse,
    RequestRefused,
    ResponseBroken,
    unwrap,
)
from primroseturn.requestpath.responses import deliver, deliver_rest, Extent
from primroseturn.requestpath.services import Services

ATTEMPT_LIMIT = 3
# A hedged request may use a free slot only, so it does not wait for one.
HEDGE_SLOT_LIMIT_S = 0.002
RETRIED_STATUSES = frozenset((429, 500, 502, 503, 504))
RESUME_LIMIT = 32
FRUITLESS_RESUME_LIMIT = 4
RESUME_DELAY_S = 0.1

Use = Callable[[Exchange], Awaitable[None]]


class Race:
    """Lets exactly one of the attempts of a hedged request answer the caller."""

    def __init__(self, context: RequestContext) -> None:
        self.context = context
        self.scopes: list[CancelScope] = []
        self.winner: CancelScope | None = None
        self.failure: Exception | None = None
        self.failed: CancelScope | None = None
        self.changed = Event()

    def win(self, scope: CancelScope) -> None:
        """Let one attempt answer and end the others."""
        self.winner = scope
        self.context.superseded = True
        for other in self.scopes:
            if other is not scope:
                other.cancel()
        self.changed.set()

    def lose(self, scope: CancelScope, failure: Exception) -> None:
        """Keep the failure of the winner, or else that of the first attempt."""
        if scope is self.winner or (self.winner is None and scope is self.scopes[0]):
            self.failure = failure
            self.failed = scope
            self.changed.set()


def check_key(services: Services, context: RequestContext) -> None:
    """Refuse a request whose key was withdrawn while it waited."""
    key_id = context.caller.key_id
    if key_id is None:
        return
    if services.replica.is_withdrawn(key_id):
        raise RequestRefused(refuse(KeyRefused("the key is not in force")))
    unwrap(services.isolation.check(current_time()))


def refuse_failure(failure: AttemptFailed) -> RequestRefused:
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
        """Forward a request until the caller has a whole answer.

        Raises
        ------
        RequestRefused
            If no answer could be started.
        ResponseBroken
            If a started answer could not be completed.
        """
        excluded: frozenset[str] = frozenset()
        last: AttemptFailed | None = None
        for number in range(ATTEMPT_LIMIT):
            final = number == ATTEMPT_LIMIT - 1
            try:
                await self.attempt_hedged(context, excluded, last, final)
            except AttemptFailed as failure:
                if context.answer_started:
                    raise ResponseBroken(failure.outcome.value) from failure
                if final or not self.may_retry(context, failure):
                    raise refuse_failure(failure) from failure
                excluded |= {context.target_name}
                last = failure
                continue
            route = context.route
            if context.status < 500:
                self.services.retries.record_success(route.service, current_time())
            return

    def may_retry(self, context: RequestContext, failure: AttemptFailed) -> bool:
        """Return whether the request may be sent once more."""
        if not context.body.repeatable or context.expired():
            return False
        return failure.free or self.take_retry(context)

    def take_retry(self, context: RequestContext) -> bool:
        """Take a retry from the budget."""
        return self.services.retries.try_consume(context.route.service, current_time())

    async def attempt_hedged(
        self,
        context: RequestContext,
        excluded: frozenset[str],
        last: AttemptFailed | None,
        final: bool,
    ) -> None:
        """Make one attempt, with a second one if the first is late."""
        route = context.route
        delay_s = None
        if route.hedge and last is None and context.body.is_fully_buffered():
            delay_s = self.services.hedging.delay_s(route.service, route.route_class)
        if delay_s is None:
            await self.attempt(context, excluded, last, final)
            return
        race = Race(context)
        async with create_task_group() as tasks:
            tasks.start_soon(self.run_racer, race, context, excluded, False)
            with move_on_after(delay_s):
                await race.changed.wait()
            if not race.changed.is_set() and self.take_retry(context):
                self.services.events.emit(REQUEST_HEDGED, request=context.request_id)
                others = excluded | {context.target_name}
                tasks.start_soon(self.run_racer, race, context, others, True)
        context.superseded = False
        if race.failure is not None and (
            race.winner is None or race.winner is race.failed
        ):
            raise race.failure

    async def run_racer(
        self, race: Race, context: RequestContext, excluded: frozenset[str], hedge: bool
    ) -> None:
        """Run one attempt of a hedged request."""
        with CancelScope() as scope:
            race.scopes.append(scope)
            try:
                with raise_library_cancellation():
                    await self.attempt(
                        context, excluded, None, False, hedge, lambda: race.win(scope)
                    )
            except Exception as failure:  # Raised again by the task that waits.
                race.lose(scope, failure)

    async def attempt(
        self,
        context: RequestContext,
        excluded: frozenset[str],
        last: AttemptFailed | None,
        final: bool,
        hedge: bool = False,
        win: Callable[[], None] = lambda: None,
    ) -> None:
        """Send the request to one target and pass its answer on."""

        async def use(exchange: Exchange) -> None:
            nonlocal extent
            await exchange.start(new=last is not None)
            if not final and exchange.status in RETRIED_STATUSES:
                exchange.conclude()
                failure = AttemptFailed(
                    exchange.outcome, f"status {exchange.status}", True, False
                )
                if not hedge and self.may_retry(context, failure):
                    failure.free = True
                    raise failure
            win()
            extent = await deliver(context, exchange)

        extent: Extent | None = None
        await self.with_target(context, excluded, use, last, hedge)
        if extent is not None:
            await self.resume(context, extent)

    async def with_target(
        self,
        context: RequestContext,
        excluded: frozenset[str],
        use: Use,
        last: AttemptFailed | None,
        hedge: bool = False,
        deadline_at: float = 0.0,
    ) -> None:
        """Run `use` with an exchange in a slot of a target.

        Where no other target is left, the excluded ones are tried again.
        """
        demand = context.demand(excluded, deadline_at)
        async with AsyncExitStack() as stack:
            slot = self.services.dispatcher.acquire(demand)
            choice = None
            if hedge:
                with move_on_after(HEDGE_SLOT_LIMIT_S):
                    choice = await stack.enter_async_context(slot)
            else:
                choice = await stack.enter_async_context(slot)
            if choice is not None and choice.is_ok():
                await self.use_target(context, choice.ok, use)
                return
        if hedge:
            return
        if excluded:
            await self.with_target(
                context, frozenset(), use, last, deadline_at=deadline_at
            )
            return
        if last is not None:
            raise refuse_failure(last)
        raise RequestRefused(refuse(choice.error))

    async def use_target(
        self, context: RequestContext, target: Target, use: Use
    ) -> None:
        """Run `use` with an exchange with a target whose slot is held."""
        check_key(self.services, context)
        async with run_exchange(self.services, context, target) as exchange:
            await use(exchange)

    async def resume(self, context: RequestContext, extent: Extent) -> None:
        """Fetch the rest of a cut download from other targets.

        Raises
        ------
        ResponseBroken
            If no target continues the answer.
        """

        async def use(exchange: Exchange) -> None:
            await exchange.start(new=True, extra_headers=extent.resume_headers())
            await deliver_rest(context, exchange, extent)

        fruitless = 0
        for _ in range(RESUME_LIMIT):
            before = extent.received
            excluded = frozenset((context.target_name,))
            deadline_at = current_time() + context.route.deadline_s
            try:
                await self.with_target(
                    context, excluded, use, None, deadline_at=deadline_at
                )
                self.services.events.emit(
                    ANSWER_RESUMED,
                    request=context.request_id,
                    target=context.target_name,
                    from_byte=extent.first + before,
                )
                return
            except RequestRefused as refused:
                if refused.refusal.kind == KeyRefused.code:
                    raise ResponseBroken(KeyRefused.code) from refused
            except AttemptFailed:
                pass
            fruitless = 0 if extent.received > before else fruitless + 1
            if fruitless == FRUITLESS_RESUME_LIMIT:
                break
            await sleep(RESUME_DELAY_S * fruitless)
        raise ResponseBroken("cut")
