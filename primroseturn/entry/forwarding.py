"""Sends requests to targets: placing, repeats and hedging."""

from collections.abc import Callable

from anyio import (
    create_memory_object_stream,
    create_task_group,
    current_time,
    move_on_after,
)
from anyio.abc import TaskGroup
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

from primroseturn.entry.attempt import (
    Attempt,
    AttemptEnd,
    AttemptResult,
    RAN_ENDS,
    UNSENT_ENDS,
)
from primroseturn.entry.connections import TargetPools
from primroseturn.entry.digests import DigestExchange
from primroseturn.entry.events import ATTEMPT_ADDED, ATTEMPT_DENIED, ATTEMPT_ENDED
from primroseturn.entry.request import EntryRequest
from primroseturn.kernel.background import contain_errors
from primroseturn.observation.events import EventLog
from primroseturn.retries.repeats import RepeatBudget
from primroseturn.routing.placement import Choice, Placement, UNREACHABLE_BACKOFF_S

# An attempt that is late by this factor of the usual time gets a second one beside it.
HEDGE_FACTOR = 2.0
# The same for an attempt at a suspected target.
TRIAL_HEDGE_FACTOR = 1.3
# Part of the usual time that must be left for another attempt to be of use.
USEFUL_SHARE = 0.6
# Connections that are tried for one request before it is given up.
CONNECT_TRIES = 4


class Forwarder:
    """Runs the attempts of requests."""

    def __init__(
        self,
        placement: Placement,
        pools: TargetPools,
        budget: RepeatBudget,
        digests: DigestExchange,
        events: EventLog,
        may_run: Callable[[EntryRequest], bool],
    ) -> None:
        self.placement = placement
        self.pools = pools
        self.budget = budget
        self.digests = digests
        self.events = events
        self.may_run = may_run

    async def forward(self, request: EntryRequest) -> AttemptResult | None:
        """Return the best result of a request, or None if no target can take it."""
        self.budget.count_request(request.service, current_time())
        await request.body.preload()
        if request.route.repeatable and request.body.is_whole():
            return await self.forward_repeatable(request)
        return await self.forward_once(request)

    async def forward_once(self, request: EntryRequest) -> AttemptResult | None:
        """Send work that must not repeat.

        It goes to another target only after one that certainly did not run it.
        """
        result: AttemptResult | None = None
        for _ in range(CONNECT_TRIES):
            choice = self.next_choice(request, result)
            if choice is None:
                return result
            if result is not None:
                self.note_repeat(request, choice, result.end.value)
            result = await self.run_attempt(request, choice)
            if result.end in RAN_ENDS or not request.body.is_whole():
                return result
        return result

    async def forward_repeatable(self, request: EntryRequest) -> AttemptResult | None:
        """Send idempotent work, again after a failure or beside a late attempt."""
        choice = self.next_choice(request, None)
        if choice is None:
            return None
        sender, receiver = create_memory_object_stream[AttemptResult](CONNECT_TRIES)
        race = Race(self, request, sender, receiver)
        chosen: AttemptResult | None = None
        try:
            with sender, receiver:
                async with create_task_group() as tasks:
                    result = await race.run(choice, tasks)
                    tasks.cancel_scope.cancel()
            chosen = result
        finally:
            race.close_unused(chosen)
        return chosen

    def next_choice(
        self, request: EntryRequest, last: AttemptResult | None
    ) -> Choice | None:
        """Return the target of the next attempt if there may be one."""
        now = current_time()
        if not self.may_run(request):
            return None
        traits = request.traits
        first = last is None
        if not first and not self.may_repeat(request, last, now):
            return None
        allow_trial = (
            first
            and request.route.attempt_limit > 1
            and self.budget.available(request.service, now) >= 2.0
        )
        choice = self.placement.choose(
            traits, frozenset(request.tried), now, allow_trial
        )
        if choice is None or request.left_s() <= choice.wait_s:
            return None
        return choice

    def may_repeat(
        self, request: EntryRequest, last: AttemptResult | None, now: float
    ) -> bool:
        """Return whether a request may be sent to a further target.

        Parameters
        ----------
        last
            The failed attempt; None for a second attempt beside a late one.
        """
        unsent = last is not None and last.end in UNSENT_ENDS
        useful_s = USEFUL_SHARE * self.placement.typical_duration_s(request.traits)
        if not unsent and len(request.tried) >= request.route.attempt_limit:
            reason = f"the route allows {request.route.attempt_limit} targets"
        elif request.left_s() < useful_s:
            reason = f"{request.left_s():.3f} s are left and {useful_s:.3f} s needed"
        elif not unsent and not self.budget.try_consume(request.service, now):
            reason = self.budget.describe(request.service, now)
        else:
            return True
        self.events.emit(ATTEMPT_DENIED, reason=reason, **request.log_fields())
        return False

    def note_repeat(self, request: EntryRequest, choice: Choice, reason: str) -> None:
        """Log a further attempt."""
        self.events.emit(
            ATTEMPT_ADDED,
            target=choice.target.id,
            reason=reason,
            **request.log_fields(),
        )

    async def run_attempt(self, request: EntryRequest, choice: Choice) -> AttemptResult:
        """Run one attempt and take note of what it showed.

        An unexpected error ends the attempt, but neither the request nor an attempt
        beside it.
        """
        pool = self.pools.pool_of(choice.target)
        attempt = Attempt(request, choice.target, pool, self.events)
        with contain_errors(self.events, "Forwarder.run_attempt"):
            return await self.follow_attempt(request, choice, attempt)
        end = AttemptEnd.BROKEN if attempt.sent else AttemptEnd.ERROR
        return attempt.result(end, "internal error")

    async def follow_attempt(
        self, request: EntryRequest, choice: Choice, attempt: Attempt
    ) -> AttemptResult:
        """Run an attempt between the notes of its start and its end."""
        target, traits = choice.target, request.traits
        request.tried.add(target.id)
        placement = self.placement
        started_at = current_time()
        number = placement.start_attempt(target.id, traits, started_at)
        result: AttemptResult | None = None
        try:
            result = await attempt.run(self.pools.limit_of(target))
            return result
        finally:
            # The answer must reach the caller also if the notes about it fail.
            with contain_errors(self.events, "Forwarder.follow_attempt"):
                overdue = placement.end_attempt(target.id, number, current_time())
                missing = attempt.missing() if overdue else None
                self.note_end(request, choice, result, started_at, missing)

    def note_end(
        self,
        request: EntryRequest,
        choice: Choice,
        result: AttemptResult | None,
        started_at: float,
        missing: str | None,
    ) -> None:
        """Pass on what an attempt showed about its target.

        Parameters
        ----------
        missing
            What an overdue attempt still waited for; None if it was in time.
        """
        now = current_time()
        took_s = now - started_at
        target_id, placement = choice.target.id, self.placement
        if result is None:
            # The caller left, time was up or another attempt won.
            if missing is not None:
                placement.record_missing_response(target_id, now)
                self.log_end(request, choice, "overdue", missing, took_s)
            return
        if result.head is not None and result.head.load is not None:
            placement.record_load(target_id, result.head.load, now)
            self.digests.record_load(target_id, result.head.load)
        match result.end:
            case AttemptEnd.ANSWERED:
                placement.record_success(target_id, request.traits, took_s, now)
                self.digests.record_outcome(target_id, False)
                return
            case AttemptEnd.FAILED:
                placement.record_error_response(target_id, now)
                self.digests.record_outcome(target_id, True)
            case AttemptEnd.BROKEN:
                placement.record_missing_response(target_id, now)
            case AttemptEnd.NOT_RUN:
                placement.record_full(target_id, now)
            case AttemptEnd.UNREACHABLE | AttemptEnd.MISDIRECTED:
                # The chosen target got nothing, so the route still allows another one.
                request.tried.discard(target_id)
                placement.record_unreachable(target_id, now)
        self.log_end(request, choice, result.end.value, result.detail, took_s)

    def note_broken(
        self, request: EntryRequest, result: AttemptResult, detail: str
    ) -> None:
        """Take note that a large answer had no end after a good start."""
        now = current_time()
        target_id, end = result.target.id, AttemptEnd.BROKEN.value
        self.placement.record_missing_response(target_id, now)
        choice = Choice(result.target, False, 0.0)
        self.log_end(request, choice, end, detail, now - request.started_at)

    def log_end(
        self,
        request: EntryRequest,
        choice: Choice,
        end: str,
        detail: str,
        took_s: float,
    ) -> None:
        """Log an attempt that did not bring a good answer."""
        self.events.emit(
            ATTEMPT_ENDED,
            target=choice.target.id,
            end=end,
            detail=detail,
            took_s=round(took_s, 4),
            trial=choice.trial,
            **request.log_fields(),
        )


class Race:
    """The attempts of one idempotent request; the first good answer wins."""

    def __init__(
        self,
        forwarder: Forwarder,
        request: EntryRequest,
        sender: MemoryObjectSendStream[AttemptResult],
        receiver: MemoryObjectReceiveStream[AttemptResult],
    ) -> None:
        self.forwarder = forwarder
        self.request = request
        self.sender = sender
        self.receiver = receiver
        self.tasks: TaskGroup | None = None
        self.running = 0
        self.tries = 0
        self.results: list[AttemptResult] = []

    async def run(self, choice: Choice, tasks: TaskGroup) -> AttemptResult:
        """Run attempts until one brings a good answer or none may follow."""
        self.tasks = tasks
        self.start(choice)
        hedge_s = self.hedge_delay_s(choice)
        best: AttemptResult | None = None
        while True:
            result = await self.wait_result(hedge_s)
            hedge_s = None
            if result is None:
                self.try_to_add(None, "late")
                continue
            self.running -= 1
            if result.end is AttemptEnd.ANSWERED:
                return result
            best = better(best, result)
            self.try_to_add(result, result.end.value)
            if not self.running:
                return best
            if result.end is AttemptEnd.UNREACHABLE:
                # Its target may accept a connection while another attempt is late.
                hedge_s = max(UNREACHABLE_BACKOFF_S, self.hedge_delay_s(choice))

    async def wait_result(self, limit_s: float | None) -> AttemptResult | None:
        """Return the next result, or None after `limit_s`."""
        if limit_s is None:
            return await self.receiver.receive()
        with move_on_after(limit_s):
            return await self.receiver.receive()
        return None

    def hedge_delay_s(self, choice: Choice) -> float:
        """Return the time after which an attempt counts as late."""
        factor = TRIAL_HEDGE_FACTOR if choice.trial else HEDGE_FACTOR
        return factor * self.forwarder.placement.typical_duration_s(self.request.traits)

    def start(self, choice: Choice) -> None:
        """Start an attempt beside those that run."""
        assert self.tasks is not None
        self.running += 1
        self.tries += 1
        self.tasks.start_soon(self.run_attempt, choice)

    async def run_attempt(self, choice: Choice) -> None:
        """Run an attempt and hand over its result."""
        result = await self.forwarder.run_attempt(self.request, choice)
        self.results.append(result)
        await self.sender.send(result)

    def close_unused(self, chosen: AttemptResult | None) -> None:
        """Close the connections of large answers that nobody will read."""
        for result in self.results:
            if result is not chosen and result.rest is not None:
                result.rest.close()

    def try_to_add(self, last: AttemptResult | None, reason: str) -> None:
        """Start a further attempt; an error here ends no attempt that runs."""
        with contain_errors(self.forwarder.events, "Race.add_attempt"):
            self.add_attempt(last, reason)

    def add_attempt(self, last: AttemptResult | None, reason: str) -> None:
        """Start a further attempt if one may follow."""
        if self.tries >= CONNECT_TRIES:
            return
        forwarder, request = self.forwarder, self.request
        now = current_time()
        if not forwarder.may_run(request):
            return
        excluded = frozenset(request.tried)
        # Nothing follows a second attempt, so it is placed like work that can't repeat.
        traits = request.traits._replace(repeatable=False)
        choice = forwarder.placement.choose(traits, excluded, now)
        if choice is None or not forwarder.may_repeat(request, last, now):
            return
        forwarder.note_repeat(request, choice, reason)
        self.start(choice)


def better(first: AttemptResult | None, second: AttemptResult) -> AttemptResult:
    """Return the result that tells the caller more."""
    if first is None or second.end is AttemptEnd.FAILED:
        return second
    return first if first.end in RAN_ENDS else second
