"""Decides which requests of a service are admitted, wait at the VM or are refused.

Each VM decides on its own. It knows the load of the targets from their reports, which
reach all VMs of a region, and the share of attempts that targets refuse. From both it
derives a level, and from the level the share of each rank that is withheld. A withheld
request waits at the VM if it has time and the level is likely to fall far enough;
otherwise it is refused, so that its caller can try again while it still waits.
"""

from collections.abc import Callable, Sequence
from random import Random

from primroseturn.admission.metrics import DECISIONS, LEVEL, REFUSALS
from primroseturn.admission.models import (
    Decision,
    RefusalReason,
    Verdict,
)
from primroseturn.admission.shares import AdmittedShare, WorkspaceCounts
from primroseturn.admission.threshold import (
    FLOOR_FACTOR,
    withheld_share,
)
from primroseturn.admission.use import ServiceUse
from primroseturn.queueing.retry_after import retry_after_s
from primroseturn.routing.target_state import TargetState

# Seconds between two decisions on a request that waits.
WAIT_STEP_S = 0.1
# Multiple of the expected duration that a request keeps until its objective when it
# waits, so that it can still be on time.
KEPT_DURATIONS = 1.5
# Time in which a service may recover from full withholding. A request that can wait for
# a part of it waits if that part of the withheld share is all that keeps it back.
RECOVERY_S = 2.0
# Releases of a waiting request within its remaining time, on average, once its ticket
# is admitted. Without the spread, the requests that wait would be sent together.
RELEASES = 2.0
# Fraction of the expected duration below which the time left is too short.
MIN_LEFT_FRACTION = 0.6
# Fraction of the estimated wait in the targets' queues that is counted for this; the
# estimate is rough.
QUEUE_FRACTION = 0.8
# Weight of one request in the mean duration of a service.
WORK_WEIGHT = 0.02
# Least mean duration in seconds that is assumed.
MIN_WORK_S = 0.01


class ServiceAdmission:
    """What a VM knows of one service."""

    def __init__(self, ranks: tuple[int, ...]) -> None:
        self.ranks = ranks
        self.use = ServiceUse()
        self.admitted_share = AdmittedShare()
        self.counts_by_rank = {rank: WorkspaceCounts() for rank in ranks}
        self.work_s: float | None = None

    def record_expected(self, expected_s: float) -> None:
        """Update the mean duration with that of a request.

        A shorter one counts more, as durations under load include waits.
        """
        if self.work_s is None:
            self.work_s = expected_s
        factor = 5.0 if expected_s < self.work_s else 1.0
        self.work_s += factor * WORK_WEIGHT * (expected_s - self.work_s)

    def queue_s(self) -> float:
        """Return the expected wait in the queues of targets in seconds."""
        return max(0.0, self.use.load - 1.0) * (self.work_s or 0.0)


class AdmissionControl:
    """Decides on requests by service, rank and workspace.

    Parameters
    ----------
    states_of
        Returns the states of a service's targets.
    """

    def __init__(
        self,
        states_of: Callable[[str], Sequence[TargetState]],
        random: Random | None = None,
    ) -> None:
        self.states_of = states_of
        self.random = random or Random()
        self.services: dict[str, ServiceAdmission] = {}

    def set_ranks(self, ranks_by_service: dict[str, tuple[int, ...]]) -> None:
        """Set the ranks of each service; one with a single rank has no admission.

        What is known of the load of services that stay is kept.
        """
        services = {}
        for name, ranks in ranks_by_service.items():
            if len(ranks) < 2:
                continue
            known = self.services.get(name)
            if known is None or known.ranks != ranks:
                changed = ServiceAdmission(ranks)
                if known is not None:
                    changed.use = known.use
                known = changed
            services[name] = known
        self.services = services

    def record_outcomes(
        self, service: str, answered: int, refused: int, now: float
    ) -> None:
        """Record attempts, of any VM, that targets answered or refused."""
        known = self.services.get(service)
        if known is not None:
            known.use.record_outcomes(answered, refused, now)

    def level(self, service: str, now: float) -> float:
        """Return the level of load of a service, 0 if nothing is withheld."""
        known = self.services.get(service)
        if known is None:
            return 0.0
        known.use.sample(self.states_of(service), now)
        return known.use.level(now)

    def sample(self, now: float) -> None:
        """Sample the loads, so that the levels follow without requests as well."""
        for service, known in self.services.items():
            known.use.sample(self.states_of(service), now)

    def refused_share(self, service: str, now: float) -> float:
        """Return the share of a service's attempts that targets refuse at present."""
        known = self.services.get(service)
        return 0.0 if known is None else known.use.refused_share(now)

    def queue_s(self, service: str) -> float:
        """Return the expected wait in the queues of a service's targets in seconds."""
        known = self.services.get(service)
        return 0.0 if known is None else known.queue_s()

    def position_of(self, service: str, rank: int) -> int:
        """Return how many ranks of a service are more urgent than a rank."""
        known = self.services.get(service)
        if known is None:
            return 0
        return sum(other < rank for other in known.ranks)

    def decide(
        self,
        service: str,
        rank: int,
        workspace: str,
        left_s: float,
        objective_s: float,
        expected_s: float,
        now: float,
        ticket: float | None = None,
    ) -> Decision:
        """Decide on a request.

        Parameters
        ----------
        left_s, objective_s
            Seconds until the request's deadline and until its latency objective.
        expected_s
            Expected duration of an attempt in seconds.
        ticket
            The ticket of the earlier decision on a request that has waited.
        """
        is_new = ticket is None
        if ticket is None:
            ticket = self.random.random()
        known = self.services.get(service)
        if known is None or rank not in known.counts_by_rank:
            return Decision(Verdict.ADMIT, ticket, 0.0, None)
        if is_new:
            known.record_expected(max(MIN_WORK_S, expected_s))
            known.admitted_share.requests.add(1.0, now)
            known.counts_by_rank[rank].add(workspace, now)
        level = self.level(service, now)
        decision = self.judge(
            known,
            Decision(Verdict.ADMIT, ticket, level, known.use.age_s),
            (rank, workspace),
            (left_s, objective_s, expected_s),
            now,
            is_new,
        )
        if decision.verdict is Verdict.ADMIT:
            known.admitted_share.admitted.add(1.0, now)
        self.count(service, rank, decision, is_new)
        return decision

    def judge(
        self,
        known: ServiceAdmission,
        admit: Decision,
        sender: tuple[int, str],
        times: tuple[float, float, float],
        now: float,
        is_new: bool,
    ) -> Decision:
        """Return the decision; `admit` is that for a request that is admitted."""
        level, ticket = admit.level, admit.ticket
        if level <= 0.0:
            return admit
        rank, workspace = sender
        left_s, objective_s, expected_s = times
        queue_s = known.queue_s()
        needed_s = MIN_LEFT_FRACTION * expected_s
        if left_s < max(needed_s, QUEUE_FRACTION * queue_s + needed_s / 2):
            return self.refuse(admit, RefusalReason.DEADLINE, queue_s, left_s)
        floor = FLOOR_FACTOR * known.admitted_share.at(now)
        of_rank = 1.0 - withheld_share(level, rank, known.ranks)
        counts = known.counts_by_rank[rank]
        share = max(floor, counts.admitted_share(workspace, of_rank, now))
        patience_s = objective_s - KEPT_DURATIONS * expected_s - queue_s
        is_released = (
            is_new or self.random.random() * patience_s < WAIT_STEP_S * RELEASES
        )
        if ticket <= share and is_released:
            return admit
        if patience_s >= WAIT_STEP_S and ticket <= share + patience_s / RECOVERY_S:
            return admit._replace(verdict=Verdict.WAIT, wait_s=WAIT_STEP_S)
        reason = RefusalReason.RANK
        if share < of_rank and ticket <= of_rank:
            reason = RefusalReason.WORKSPACE
        work_s = known.work_s or expected_s
        return self.refuse(admit, reason, (1.0 + level) * work_s + queue_s, left_s)

    def refuse(
        self, admit: Decision, reason: RefusalReason, wait_s: float, left_s: float
    ) -> Decision:
        """Return a refusal whose delay is spread around the expected wait."""
        wait_s *= 0.5 + self.random.random()
        return admit._replace(
            verdict=Verdict.REFUSE,
            retry_after_s=retry_after_s(wait_s, max(0.0, left_s), self.random),
            reason=reason,
        )

    def count(self, service: str, rank: int, decision: Decision, is_new: bool) -> None:
        """Count a decision; a request that waits is counted as such once."""
        LEVEL.labels(service).set(decision.level)
        label = str(rank)
        if is_new or decision.verdict is not Verdict.WAIT:
            DECISIONS.labels(service, label, decision.verdict.value).inc()
        if decision.reason is not None:
            REFUSALS.labels(service, label, decision.reason.value).inc()
