"""Forwards requests to targets, with retries and hedges.

A retry is a further attempt of this VM after a failed one, and a hedge is one beside a
late one; a repeat is either. A request that a caller sends again is a new request here.
"""

from collections.abc import Callable

from anyio import (
    create_memory_object_stream,
    create_task_group,
    current_time,
    move_on_after,
)
from anyio.abc import TaskGroup
from anyio.streams.memory import MemoryObjectReceiveStream, MemoryObjectSendStream

from primroseturn.entry.admitting import Admitting
from primroseturn.entry.attempt import (
    Attempt,
    AttemptOutcome,
    AttemptResult,
    MAY_HAVE_RUN_OUTCOMES,
    UNSENT_OUTCOMES,
)
from primroseturn.entry.connections import TargetPools
from primroseturn.entry.digests import DigestExchange
from primroseturn.entry.events import (
    ATTEMPT_ADDED,
    ATTEMPT_DENIED,
    ATTEMPT_ENDED,
    STATEMENT_INVALID,
    TARGET_LEAVING,
    TARGET_QUIET,
)
from primroseturn.entry.memory import ATTEMPT_BYTES
from primroseturn.entry.metrics import INVALID_STATEMENTS
from primroseturn.entry.request import EntryRequest
from primroseturn.kernel.background import contain_errors
from primroseturn.observation.events import EventLog
from primroseturn.platform.headers import parse_delay, ResponseHead
from primroseturn.retries.repeats import RepeatBudget
from primroseturn.routing.choices import Choice
from primroseturn.routing.models import Target
from primroseturn.routing.placement import Placement
from primroseturn.routing.target_records import UNREACHABLE_BACKOFF_S

# Multiple of the typical duration after which an attempt is hedged by a second one.
HEDGE_FACTOR = 2.0
# Multiple of the typical duration after which a trial of a suspected target is hedged.
TRIAL_HEDGE_FACTOR = 1.3
# Fraction of the typical duration that must be left before the deadline for another
# attempt to be worth its load.
MIN_TIME_LEFT_SHARE = 0.6
# Largest number of attempts of one request, including those that get no connection.
MAX_ATTEMPTS = 4
# Bytes of an invalid header that are logged.
MAX_LOGGED_BYTES = 60


class Forwarder:
    """Runs the attempts of requests.

    Parameters
    ----------
    may_send
        Returns whether a request may still be sent to a target.
    """

    def __init__(
        self,
        placement: Placement,
        pools: TargetPools,
        budget: RepeatBudget,
        digests: DigestExchange,
        events: EventLog,
        may_send: Callable[[EntryRequest], bool],
        admitting: Admitting,
    ) -> None:
        self.admitting = admitting
        self.placement = placement
        self.pools = pools
        self.budget = budget
        self.digests = digests
        self.events = events
        self.may_send = may_send

    async def forward(self, request: EntryRequest) -> AttemptResult | None:
        """Forward a request and return its best result.

        Returns
        -------
        AttemptResult | None
            None if no target could be chosen, or if the request could no longer be
            sent, as its caller had left, its deadline passed or its key became invalid.
        """
        self.budget.count_request(request.service, current_time())
        await request.body.preload()
        if request.route.repeatable and request.body.is_fully_buffered():
            return await self.forward_repeatable(request)
        return await self.forward_once(request)

    async def forward_once(self, request: EntryRequest) -> AttemptResult | None:
        """Forward a request so that it runs at most once.

        It is sent to another target only after one that certainly did not run it.
        """
        result: AttemptResult | None = None
        for _ in range(MAX_ATTEMPTS):
            choice = self.choose_target(request, result)
            if choice is None:
                return result
            if result is not None:
                self.log_added_attempt(request, choice, result.end.value)
            result = await self.run_attempt(request, choice)
            if (
                result.end in MAY_HAVE_RUN_OUTCOMES
                or not request.body.is_fully_buffered()
            ):
                return result
        return result

    async def forward_repeatable(self, request: EntryRequest) -> AttemptResult | None:
        """Forward an idempotent request, with retries and hedges."""
        choice = self.choose_target(request, None)
        if choice is None:
            return None
        sender, receiver = create_memory_object_stream[AttemptResult](MAX_ATTEMPTS)
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

    def choose_target(
        self, request: EntryRequest, last: AttemptResult | None
    ) -> Choice | None:
        """Return the target of the next attempt, or None if no target is available.

        None is also returned if no attempt may follow.

        Parameters
        ----------
        last
            Result of the previous attempt, None before the first one.
        """
        now = current_time()
        if not self.may_send(request):
            return None
        traits = request.traits
        is_first = last is None
        if not is_first and not self.try_reserve_attempt(request, last, now):
            return None
        allow_suspected = (
            is_first
            and request.route.max_targets > 1
            and self.budget.available(request.service, now) >= 2.0
        )
        choice = self.placement.choose(
            traits, frozenset(request.tried_targets), now, allow_suspected
        )
        if choice is None or request.left_s() <= choice.wait_s:
            return None
        return choice

    def try_reserve_attempt(
        self, request: EntryRequest, last: AttemptResult | None, now: float
    ) -> bool:
        """Return whether another attempt may follow, and charge it to the budget.

        Enough time must be left. If the last attempt was sent or is still running, the
        route must also allow another target, the repeat must be worth it where ranks
        are in force, and the budget must allow it, which is then charged. A denial is
        logged.

        Parameters
        ----------
        last
            Result of the failed attempt; None if the further attempt is a hedge.
        """
        was_unsent = last is not None and last.end in UNSENT_OUTCOMES
        needed_s = MIN_TIME_LEFT_SHARE * self.placement.typical_duration_s(
            request.traits
        )
        if not was_unsent and len(request.tried_targets) >= request.route.max_targets:
            reason = f"the route allows {request.route.max_targets} targets"
        elif request.left_s() < needed_s:
            reason = (
                f"{request.left_s():.3f} s are left and {needed_s:.3f} s are needed"
            )
        elif not was_unsent and (
            denial := self.admitting.judge_repeat(request, last, self.budget, now)
        ):
            reason = denial
        elif last is None and not request.try_buffer(ATTEMPT_BYTES):
            reason = "the requests under way hold all memory"
        elif not was_unsent and not self.budget.try_consume(request.service, now):
            reason = self.budget.describe(request.service, now)
        else:
            return True
        self.events.emit(ATTEMPT_DENIED, reason=reason, **request.log_fields())
        return False

    def log_added_attempt(
        self, request: EntryRequest, choice: Choice, reason: str
    ) -> None:
        """Log a further attempt of a request and the reason for it."""
        self.events.emit(
            ATTEMPT_ADDED,
            target=choice.target.id,
            reason=reason,
            **request.log_fields(),
        )

    async def run_attempt(self, request: EntryRequest, choice: Choice) -> AttemptResult:
        """Run one attempt and return its result.

        An unexpected error ends the attempt, but neither the request nor a concurrent
        attempt.
        """
        pool = self.pools.pool_of(choice.target)
        attempt = Attempt(request, choice.target, pool, self.events)
        with contain_errors(self.events, "Forwarder.run_attempt"):
            return await self.follow_attempt(request, choice, attempt)
        end = AttemptOutcome.BROKEN if attempt.sent else AttemptOutcome.ERROR
        return attempt.result_without_response(end, "internal error")

    async def follow_attempt(
        self, request: EntryRequest, choice: Choice, attempt: Attempt
    ) -> AttemptResult:
        """Run an attempt and report its start and its end to the placement."""
        target, traits = choice.target, request.traits
        request.tried_targets.add(target.id)
        if request.holding is not None:
            request.holding.target = target.id
        placement = self.placement
        started_at = current_time()
        attempt_number = placement.start_attempt(target.id, traits, started_at)
        result: AttemptResult | None = None
        try:
            result = await attempt.run(self.pools.limit_of(target))
            return result
        finally:
            # An error in reporting must not keep the response from the caller.
            with contain_errors(self.events, "Forwarder.follow_attempt"):
                is_overdue = placement.end_attempt(
                    target.id, attempt_number, current_time()
                )
                missing = attempt.describe_missing() if is_overdue else None
                self.report_outcome(request, choice, result, started_at, missing)

    def report_outcome(
        self,
        request: EntryRequest,
        choice: Choice,
        result: AttemptResult | None,
        started_at: float,
        missing: str | None,
    ) -> None:
        """Report the outcome of an attempt to placement, fleet digests and log.

        Parameters
        ----------
        result
            None if the attempt was cancelled or ended with an unexpected error.
        started_at
            Monotonic time in seconds of the attempt's start.
        missing
            What an overdue attempt had not received; None if it was not overdue.
        """
        now = current_time()
        duration_s = now - started_at
        target_id, placement = choice.target.id, self.placement
        if result is None:
            # The caller left, the deadline passed, another attempt succeeded first, or
            # an unexpected error ended this one.
            if missing is not None:
                placement.record_missing_response(target_id, now)
                self.digests.record_missing(target_id, now)
                self.log_outcome(request, choice, "overdue", missing, duration_s)
            return
        if result.head is not None and result.end is not AttemptOutcome.MISDIRECTED:
            self.record_statements(request, choice.target, result.head, now)
        if result.end in (AttemptOutcome.ANSWERED, AttemptOutcome.FAILED):
            self.digests.witnesses.record_answer(target_id, now)
        self.admitting.record_attempt(request, result, now, self.digests.record_refusal)
        match result.end:
            case AttemptOutcome.ANSWERED:
                placement.record_success(target_id, request.traits, duration_s, now)
                self.digests.record_outcome(target_id, False)
                return
            case AttemptOutcome.FAILED:
                placement.record_error_response(target_id, now)
                self.digests.record_outcome(target_id, True)
            case AttemptOutcome.BROKEN:
                placement.record_missing_response(target_id, now)
                self.digests.record_missing(target_id, now)
            case AttemptOutcome.NOT_RUN:
                placement.record_full(target_id, now)
            case AttemptOutcome.UNREACHABLE | AttemptOutcome.MISDIRECTED:
                # The target did not receive the request, which does not count towards
                # the targets that the route allows.
                request.tried_targets.discard(target_id)
                placement.record_unreachable(target_id, now)
        self.log_outcome(request, choice, result.end.value, result.detail, duration_s)

    def record_statements(
        self, request: EntryRequest, target: Target, head: ResponseHead, now: float
    ) -> None:
        """Record what a target states of itself in a response."""
        if head.load is not None:
            self.placement.record_load(target.id, head.load, now)
            self.digests.record_load(target.id, head.load)
        if head.leaving and self.pools.view.record_leaving(target):
            self.events.emit(TARGET_LEAVING, target=target.id, request=request.id)
        if head.retry_after is None:
            return
        quiet_s = parse_delay(head.retry_after)
        if quiet_s is None:
            value = head.retry_after[:MAX_LOGGED_BYTES].decode("latin-1")
            INVALID_STATEMENTS.labels("retry-after").inc()
            self.events.emit(STATEMENT_INVALID, target=target.id, retry_after=value)
            return
        applied_s = self.placement.record_quiet(target.id, quiet_s, now)
        self.events.emit(
            TARGET_QUIET, target=target.id, stated_s=quiet_s, applied_s=applied_s
        )

    def record_broken_response(
        self, request: EntryRequest, result: AttemptResult, detail: str
    ) -> None:
        """Record that a large response did not end after a successful start."""
        now = current_time()
        target_id, end = result.target.id, AttemptOutcome.BROKEN.value
        self.placement.record_missing_response(target_id, now)
        self.digests.record_missing(target_id, now)
        choice = Choice(result.target, False, 0.0)
        self.log_outcome(request, choice, end, detail, now - request.started_at)

    def log_outcome(
        self,
        request: EntryRequest,
        choice: Choice,
        end: str,
        detail: str,
        duration_s: float,
    ) -> None:
        """Log an attempt that did not end with a successful response."""
        self.events.emit(
            ATTEMPT_ENDED,
            target=choice.target.id,
            end=end,
            detail=detail,
            took_s=round(duration_s, 4),
            trial=choice.is_suspected_trial,
            **request.log_fields(),
        )


class Race:
    """Runs the attempts of one idempotent request until one succeeds.

    Attributes
    ----------
    running_count
        Number of attempts that have not ended.
    started_count
        Number of attempts that were started.
    results
        Results of the attempts that ended.
    """

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
        self.running_count = 0
        self.started_count = 0
        self.results: list[AttemptResult] = []

    async def run(self, choice: Choice, tasks: TaskGroup) -> AttemptResult:
        """Run attempts until one succeeds or no further one may follow.

        Parameters
        ----------
        choice
            Target of the first attempt.

        Returns
        -------
        AttemptResult
            The successful result, otherwise the preferred one of those that failed.
        """
        self.tasks = tasks
        self.start_attempt(choice)
        hedge_delay_s = self.hedge_delay_s(choice)
        best: AttemptResult | None = None
        while True:
            result = await self.wait_result(hedge_delay_s)
            hedge_delay_s = None
            if result is None:
                self.add_attempt_safely(None, "late")
                continue
            self.running_count -= 1
            if result.end is AttemptOutcome.ANSWERED:
                return result
            best = preferred_result(best, result)
            self.add_attempt_safely(result, result.end.value)
            if not self.running_count:
                return best
            if result.end is AttemptOutcome.UNREACHABLE:
                # The unreachable target may accept connections again by the time that
                # the remaining attempt is late, so a hedge is tried then.
                hedge_delay_s = max(UNREACHABLE_BACKOFF_S, self.hedge_delay_s(choice))

    async def wait_result(self, timeout_s: float | None) -> AttemptResult | None:
        """Return the next result, or None if there is none within `timeout_s`."""
        if timeout_s is None:
            return await self.receiver.receive()
        with move_on_after(timeout_s):
            return await self.receiver.receive()
        return None

    def hedge_delay_s(self, choice: Choice) -> float:
        """Return the time in seconds after which an attempt is hedged."""
        factor = TRIAL_HEDGE_FACTOR if choice.is_suspected_trial else HEDGE_FACTOR
        return factor * self.forwarder.placement.typical_duration_s(self.request.traits)

    def start_attempt(self, choice: Choice) -> None:
        """Start an attempt concurrently with those that run."""
        assert self.tasks is not None
        self.running_count += 1
        self.started_count += 1
        self.tasks.start_soon(self.run_attempt, choice)

    async def run_attempt(self, choice: Choice) -> None:
        """Run an attempt and send its result to the waiting task."""
        result = await self.forwarder.run_attempt(self.request, choice)
        self.results.append(result)
        await self.sender.send(result)

    def close_unused(self, chosen: AttemptResult | None) -> None:
        """Close the connections of large responses that were not chosen."""
        for result in self.results:
            if result is not chosen and result.remainder is not None:
                result.remainder.close()

    def add_attempt_safely(self, last: AttemptResult | None, reason: str) -> None:
        """Start a further attempt; an error in this does not end running attempts."""
        with contain_errors(self.forwarder.events, "Race.add_attempt"):
            self.add_attempt(last, reason)

    def add_attempt(self, last: AttemptResult | None, reason: str) -> None:
        """Start a further attempt if the request may be retried or hedged.

        Parameters
        ----------
        last
            Result of the failed attempt; None for a hedge.
        reason
            Reason for the log.
        """
        if self.started_count >= MAX_ATTEMPTS:
            return
        forwarder, request = self.forwarder, self.request
        now = current_time()
        if not forwarder.may_send(request):
            return
        excluded = frozenset(request.tried_targets)
        # The target is chosen as for an at-most-once request, whatever the route
        # allows: on a route that allows two targets, no attempt may follow this one
        # once it was sent.
        traits = request.traits._replace(repeatable=False)
        choice = forwarder.placement.choose(traits, excluded, now)
        if choice is None or not forwarder.try_reserve_attempt(request, last, now):
            return
        forwarder.log_added_attempt(request, choice, reason)
        self.start_attempt(choice)


def preferred_result(
    first: AttemptResult | None, second: AttemptResult
) -> AttemptResult:
    """Return the result that is more informative for the caller.

    A target's error response comes first, then a result after which the request may
    have run.
    """
    if first is None or second.end is AttemptOutcome.FAILED:
        return second
    return first if first.end in MAY_HAVE_RUN_OUTCOMES else second
