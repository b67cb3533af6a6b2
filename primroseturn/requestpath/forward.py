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
from primroseturn.requestpath.answers import deliver, deliver_rest, Extent
from primroseturn.requestpath.events import ANSWER_RESUMED, REQUEST_HEDGED
from primroseturn.requestpath.exchange import AttemptFailed, Exchange, run_exchange
from primroseturn.requestpath.identify import KeyRefused
from primroseturn.requestpath.passage import AnswerBroken, Passage
from primroseturn.requestpath.refusals import refuse, RequestRefused, unwrap
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

    def __init__(self, passage: Passage) -> None:
        self.passage = passage
        self.scopes: list[CancelScope] = []
        self.winner: CancelScope | None = None
        self.failure: Exception | None = None
        self.failed: CancelScope | None = None
        self.changed = Event()

    def win(self, scope: CancelScope) -> None:
        """Let one attempt answer and end the others."""
        self.winner = scope
        self.passage.outrun = True
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


def check_key(services: Services, passage: Passage) -> None:
    """Refuse a request whose key was withdrawn while it waited."""
    key_id = passage.caller.key_id
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

    async def forward(self, passage: Passage) -> None:
        """Forward a request until the caller has a whole answer.

        Raises
        ------
        RequestRefused
            If no answer could be started.
        AnswerBroken
            If a started answer could not be completed.
        """
        excluded: frozenset[str] = frozenset()
        last: AttemptFailed | None = None
        for number in range(ATTEMPT_LIMIT):
            final = number == ATTEMPT_LIMIT - 1
            try:
                await self.attempt_hedged(passage, excluded, last, final)
            except AttemptFailed as failure:
                if passage.answer_started:
                    raise AnswerBroken(failure.outcome.value) from failure
                if final or not self.may_retry(passage, failure):
                    raise refuse_failure(failure) from failure
                excluded |= {passage.target_name}
                last = failure
                continue
            route = passage.route
            if passage.status < 500:
                self.services.retries.note_success(route.service, current_time())
            return

    def may_retry(self, passage: Passage, failure: AttemptFailed) -> bool:
        """Return whether the request may be sent once more."""
        if not passage.body.repeatable or passage.expired():
            return False
        return failure.free or self.take_retry(passage)

    def take_retry(self, passage: Passage) -> bool:
        """Take a retry from the budget."""
        return self.services.retries.take(passage.route.service, current_time())

    async def attempt_hedged(
        self,
        passage: Passage,
        excluded: frozenset[str],
        last: AttemptFailed | None,
        final: bool,
    ) -> None:
        """Make one attempt, with a second one if the first is late."""
        route = passage.route
        delay_s = None
        if route.hedge and last is None and passage.body.is_whole():
            delay_s = self.services.hedging.delay_s(route.service, route.route_class)
        if delay_s is None:
            await self.attempt(passage, excluded, last, final)
            return
        race = Race(passage)
        async with create_task_group() as tasks:
            tasks.start_soon(self.run_racer, race, passage, excluded, False)
            with move_on_after(delay_s):
                await race.changed.wait()
            if not race.changed.is_set() and self.take_retry(passage):
                self.services.events.emit(REQUEST_HEDGED, request=passage.request_id)
                others = excluded | {passage.target_name}
                tasks.start_soon(self.run_racer, race, passage, others, True)
        passage.outrun = False
        if race.failure is not None and (
            race.winner is None or race.winner is race.failed
        ):
            raise race.failure

    async def run_racer(
        self, race: Race, passage: Passage, excluded: frozenset[str], hedge: bool
    ) -> None:
        """Run one attempt of a hedged request."""
        with CancelScope() as scope:
            race.scopes.append(scope)
            try:
                await self.attempt(
                    passage, excluded, None, False, hedge, lambda: race.win(scope)
                )
            except Exception as failure:  # Raised again by the task that waits.
                race.lose(scope, failure)

    async def attempt(
        self,
        passage: Passage,
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
                if not hedge and self.may_retry(passage, failure):
                    failure.free = True
                    raise failure
            win()
            extent = await deliver(passage, exchange)

        extent: Extent | None = None
        await self.with_target(passage, excluded, use, last, hedge)
        if extent is not None:
            await self.resume(passage, extent)

    async def with_target(
        self,
        passage: Passage,
        excluded: frozenset[str],
        use: Use,
        last: AttemptFailed | None,
        hedge: bool = False,
        deadline_at: float = 0.0,
    ) -> None:
        """Run `use` with an exchange in a slot of a target.

        Where no other target is left, the excluded ones are tried again.
        """
        demand = passage.demand(excluded, deadline_at)
        async with AsyncExitStack() as stack:
            slot = self.services.dispatcher.acquire(demand)
            choice = None
            if hedge:
                with move_on_after(HEDGE_SLOT_LIMIT_S):
                    choice = await stack.enter_async_context(slot)
            else:
                choice = await stack.enter_async_context(slot)
            if choice is not None and choice.is_ok():
                await self.use_target(passage, choice.ok, use)
                return
        if hedge:
            return
        if excluded:
            await self.with_target(
                passage, frozenset(), use, last, deadline_at=deadline_at
            )
            return
        if last is not None:
            raise refuse_failure(last)
        raise RequestRefused(refuse(choice.error))

    async def use_target(self, passage: Passage, target: Target, use: Use) -> None:
        """Run `use` with an exchange with a target whose slot is held."""
        check_key(self.services, passage)
        async with run_exchange(self.services, passage, target) as exchange:
            await use(exchange)

    async def resume(self, passage: Passage, extent: Extent) -> None:
        """Fetch the rest of a cut download from other targets.

        Raises
        ------
        AnswerBroken
            If no target continues the answer.
        """

        async def use(exchange: Exchange) -> None:
            await exchange.start(new=True, extra_headers=extent.resume_headers())
            await deliver_rest(passage, exchange, extent)

        fruitless = 0
        for _ in range(RESUME_LIMIT):
            before = extent.received
            excluded = frozenset((passage.target_name,))
            deadline_at = current_time() + passage.route.deadline_s
            try:
                await self.with_target(
                    passage, excluded, use, None, deadline_at=deadline_at
                )
                self.services.events.emit(
                    ANSWER_RESUMED,
                    request=passage.request_id,
                    target=passage.target_name,
                    from_byte=extent.first + before,
                )
                return
            except RequestRefused as refused:
                if refused.refusal.kind == KeyRefused.code:
                    raise AnswerBroken(KeyRefused.code) from refused
            except AttemptFailed:
                pass
            fruitless = 0 if extent.received > before else fruitless + 1
            if fruitless == FRUITLESS_RESUME_LIMIT:
                break
            await sleep(RESUME_DELAY_S * fruitless)
        raise AnswerBroken("cut")
