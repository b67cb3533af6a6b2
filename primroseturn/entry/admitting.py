"""Connects the admission under load to the requests and digests of an entry VM."""

from collections.abc import Callable
from random import Random

from anyio import current_time, sleep
from msgspec.structs import replace

from primroseturn.admission.control import AdmissionControl
from primroseturn.admission.metrics import INVALID_RANKS, LIMITED_REPORTS
from primroseturn.admission.models import Decision, Verdict
from primroseturn.admission.reports import ReportLimit
from primroseturn.entry.attempt import AttemptOutcome, AttemptResult
from primroseturn.entry.digest_messages import Digest, RefusalCount
from primroseturn.entry.events import ADMISSION_REFUSED, RANK_INVALID
from primroseturn.entry.models import Configuration
from primroseturn.entry.request import EntryRequest
from primroseturn.failures import Refusal
from primroseturn.limits.models import Workspace
from primroseturn.observation.events import EventLog
from primroseturn.requestpath.body import CallerGone
from primroseturn.requestpath.refusals import RequestRefused
from primroseturn.retries.metrics import REPEATS_DENIED, REPEATS_GRANTED
from primroseturn.retries.repeats import RepeatBudget
from primroseturn.retries.value import judge_repeat, RepeatCase
from primroseturn.routing.models import Route
from primroseturn.routing.placement import Placement

# Interval at which the loads of services are sampled, that of the digests.
SAMPLE_INTERVAL_S = 0.1
# Answers of targets, which show that they took the request.
ANSWERED_OUTCOMES = frozenset((AttemptOutcome.ANSWERED, AttemptOutcome.FAILED))


class Admitting:
    """Admits requests where the configuration distinguishes ranks.

    Attributes
    ----------
    is_enabled
        Whether the configuration distinguishes ranks; if not, nothing is decided,
        limited or reported.
    """

    def __init__(
        self, placement: Placement, events: EventLog, random: Random | None = None
    ) -> None:
        self.placement = placement
        self.events = events
        self.is_enabled = False
        self.control = AdmissionControl(
            lambda service: placement.states_by_service.get(service, ()), random
        )
        self.limit = ReportLimit()

    def apply_configuration(self, configuration: Configuration) -> None:
        """Follow a version of the configuration."""
        self.is_enabled = configuration.has_ranks
        self.control.set_ranks(ranks_of(configuration) if self.is_enabled else {})
        if not self.is_enabled:
            return
        for item in configuration.rank_problems:
            INVALID_RANKS.labels(item.problem).inc()
            self.events.emit(RANK_INVALID, **item._asdict())

    async def sample_forever(self) -> None:
        """Sample the loads of services, so that all VMs have about the same levels."""
        while True:
            await sleep(SAMPLE_INTERVAL_S)
            self.control.sample(current_time())

    async def admit(self, request: EntryRequest) -> None:
        """Return when a request may be sent to a target.

        Raises
        ------
        RequestRefused
            If it is not admitted while it can still be served.
        CallerGone
            If the caller left while the request waited.
        """
        if not self.is_enabled:
            return
        decision = self.decide(request, None)
        while decision.verdict is Verdict.WAIT:
            await sleep(decision.wait_s)
            if request.link.has_closed:
                raise CallerGone
            decision = self.decide(request, decision.ticket)
        if decision.verdict is Verdict.REFUSE:
            raise self.refusal(request, decision)

    def decide(self, request: EntryRequest, ticket: float | None) -> Decision:
        """Decide on a request; `ticket` is that of an earlier decision."""
        now = current_time()
        return self.control.decide(
            request.service,
            rank_of(request.route, request.workspace),
            request.workspace.name if request.workspace else "",
            request.left_s(),
            request.started_at + request.route.objective_s - now,
            self.placement.typical_duration_s(request.traits),
            now,
            ticket,
        )

    def refusal(self, request: EntryRequest, decision: Decision) -> RequestRefused:
        """Log a refusal and return it."""
        assert decision.reason is not None
        reason = decision.reason.value
        self.events.emit(
            ADMISSION_REFUSED,
            reason=reason,
            rank=rank_of(request.route, request.workspace),
            level=round(decision.level, 3),
            knowledge_age_s=(
                None if decision.age_s is None else round(decision.age_s, 3)
            ),
            **request.log_fields(),
        )
        detail = "the service has less capacity than requests"
        return RequestRefused(
            Refusal("overloaded", 503, detail, "no", decision.retry_after_s, reason)
        )

    def record_attempt(
        self,
        request: EntryRequest,
        result: AttemptResult,
        now: float,
        report: Callable[[str], None],
    ) -> None:
        """Record whether a target took an attempt of this VM.

        Parameters
        ----------
        report
            Reports a refusal for a service to the other VMs.
        """
        if not self.is_enabled:
            return
        is_refused = result.end is AttemptOutcome.NOT_RUN
        if is_refused:
            report(request.service)
        elif result.end not in ANSWERED_OUTCOMES:
            return
        self.control.record_outcomes(
            request.service, int(not is_refused), int(is_refused), now
        )

    def judge_repeat(
        self,
        request: EntryRequest,
        last: AttemptResult | None,
        budget: RepeatBudget,
        now: float,
    ) -> str:
        """Return why a retry or hedge is not worth its part of the budget.

        Parameters
        ----------
        last
            Result of the failed attempt; None if the further attempt is a hedge.

        Returns
        -------
        str
            Empty if it may be charged to the budget.
        """
        service = request.service
        if not self.is_enabled:
            return ""
        rank = rank_of(request.route, request.workspace)
        control = self.control
        case = RepeatCase(
            service,
            control.position_of(service, rank),
            last is None,
            not request.may_have_run,
            request.left_s(),
            self.placement.typical_duration_s(request.traits),
            control.queue_s(service),
            control.refused_share(service, now),
            control.level(service, now),
        )
        denial = judge_repeat(case, budget, now)
        if denial is None:
            REPEATS_GRANTED.labels(service, str(rank)).inc()
            return ""
        REPEATS_DENIED.labels(service, str(rank), denial.value).inc()
        return (
            f"{denial.value}: rank {rank}, {case.left_s:.3f} s left, "
            f"{case.refused_share:.2f} refused, level {case.level:.2f}; "
            f"{budget.describe(service, now)}"
        )

    def expected_wait_s(self, request: EntryRequest) -> float:
        """Return the time in seconds after which a refused request may find capacity.

        It is longer the more of the service's attempts are refused.
        """
        typical_s = self.placement.typical_duration_s(request.traits)
        if not self.is_enabled:
            return typical_s
        level = self.control.level(request.service, current_time())
        return (1.0 + level) * typical_s + self.control.queue_s(request.service)

    def limit_reports(self, vm: str, digest: Digest, now: float) -> Digest:
        """Return a digest of one VM without what exceeds the reports of a VM."""
        if not self.is_enabled:
            return digest
        allowed = self.limit.allow(f"loads {vm}", len(digest.loads), now)
        refusals = []
        for item in digest.refusals:
            count = self.limit.allow(f"refusals {vm}", item.refused, now)
            refusals.append(RefusalCount(item.service, count))
        LIMITED_REPORTS.labels("loads").inc(len(digest.loads) - allowed)
        left_out = sum(item.refused for item in digest.refusals) - sum(
            item.refused for item in refusals
        )
        LIMITED_REPORTS.labels("refusals").inc(left_out)
        return replace(digest, loads=digest.loads[:allowed], refusals=tuple(refusals))

    def apply_reports(self, digest: Digest, now: float) -> None:
        """Record what other VMs report of refused and answered attempts."""
        if not self.is_enabled:
            return
        for item in digest.refusals:
            self.control.record_outcomes(item.service, 0, item.refused, now)
        for outcome in (*digest.outcomes, *digest.remote_outcomes):
            state = self.placement.states_by_id.get(outcome.target)
            if state is not None:
                answered = outcome.failed + outcome.succeeded
                service = state.target.service
                self.control.record_outcomes(service, answered, 0, now)


def rank_of(route: Route, workspace: Workspace | None) -> int:
    """Return the rank of requests; a workspace's own takes precedence."""
    if workspace is not None and workspace.priority is not None:
        return workspace.priority
    return route.priority


def ranks_of(configuration: Configuration) -> dict[str, tuple[int, ...]]:
    """Return the ranks that requests for each service may have, in ascending order."""
    own = {
        workspace.priority
        for workspace in configuration.workspaces_by_name.values()
        if workspace.priority is not None
    }
    found: dict[str, set[int]] = {}
    for routes in configuration.routes_by_host.values():
        for route in routes:
            for item in route.weighted_services:
                found.setdefault(item.service, set(own)).add(route.priority)
    return {service: tuple(sorted(ranks)) for service, ranks in found.items()}
