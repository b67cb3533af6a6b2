"""What a VM knows of the limit of one workspace over the whole fleet."""

from collections import deque
from math import inf
from random import Random

from primroseturn.limits.demand import FleetDemand, MIN_DEMAND_PER_S, RANKS
from primroseturn.limits.models import Workspace
from primroseturn.limits.window import AdmissionWindow, QuotaTerms

MIN_WAIT_S = 0.05
# A VM admits at most this many requests, or an equal part of the room in the window,
# before the other VMs know of them, since demand may grow at all VMs at once.
MIN_UNREPORTED = 6
# Time after which most of the other VMs know of an admission.
REPORT_DELAY_S = 0.3
# Time after which all other VMs know of it.
UNREPORTED_S = 0.5
# Part of the even rate up to which urgent requests are admitted at the expense of less
# urgent ones.
MAX_COVERED_PART = 0.9
# Part of the limit below which room counts as scatter of the number admitted.
TIGHT_PART = 0.15


class WorkspaceQuota:
    """What this VM knows of one workspace over the whole fleet.

    Attributes
    ----------
    window
        Requests that the fleet has admitted in the last window.
    demand
        Requests per second that arrive at the fleet.
    credits
        Fraction of a request of each rank that this VM may admit: each request that
        arrives adds the admitted fraction, and each one that is admitted subtracts one.
    created_at
        Monotonic time in seconds at which this VM began to count.
    unreported_at
        Times of own admissions that other VMs may not know yet.
    requested, admitted
        Own requests since the last digest.
    requested_by_rank
        Own requests of ranks 1 and 2 among them.
    """

    def __init__(
        self, workspace: Workspace, terms: QuotaTerms, random: Random, now: float
    ) -> None:
        self.workspace = workspace
        self.window = AdmissionWindow(terms, terms.limit(workspace), now)
        self.demand = FleetDemand(now)
        self.credits = [random.random() for _ in range(RANKS)]
        self.created_at = now
        self.unreported_at: deque[float] = deque()
        self.requested = 0
        self.admitted = 0
        self.requested_by_rank = [0] * (RANKS - 1)

    def demand_up_to(self, rank: int, demand: float, now: float) -> tuple[float, float]:
        """Return the demand of more urgent ranks, and that of a rank."""
        average = demand - self.demand.growth_per_s
        by_rank = self.demand.by_rank.split(demand, average, now)
        return sum(by_rank[:rank]), max(MIN_DEMAND_PER_S, by_rank[rank])

    def admitted_fraction(self, rank: int, demand: float, now: float) -> float:
        """Return the fraction of the requests of a rank that all VMs admit now.

        Parameters
        ----------
        demand
            Requests per second of all ranks at the reachable VMs.
        """
        unreported = self.demand.growth_per_s * REPORT_DELAY_S
        admissible = self.window.admissible_per_s(now, unreported)
        more_urgent, of_rank = self.demand_up_to(rank, demand, now)
        if self.is_covered(more_urgent + of_rank, demand, unreported, now):
            return 1.0
        window = self.window
        even_per_s = window.limit * window.fraction / window.window_s
        is_tight = window.room(now) < TIGHT_PART * window.limit * window.fraction
        if is_tight and more_urgent >= MAX_COVERED_PART * even_per_s:
            # Room that scatter leaves belongs to the more urgent ranks.
            admissible = min(admissible, even_per_s)
        return min(1.0, max(0.0, admissible - more_urgent) / of_rank)

    def is_covered(
        self, urgent: float, demand: float, unreported: float, now: float
    ) -> bool:
        """Return whether less urgent requests can make room for the urgent ones.

        The number admitted in a window scatters, and urgent requests are not refused
        for that.
        """
        window = self.window
        even_per_s = window.limit * window.fraction / window.window_s
        return (
            demand - urgent >= MIN_DEMAND_PER_S
            and urgent <= MAX_COVERED_PART * even_per_s
            and window.room(now) - unreported > -window.prompt_room * window.fraction
        )

    def may_admit_unreported(self, fleet_size: int, now: float) -> bool:
        """Return whether this VM may admit a request before other VMs know of it."""
        while self.unreported_at and self.unreported_at[0] < now - UNREPORTED_S:
            self.unreported_at.popleft()
        limit = max(MIN_UNREPORTED, self.window.room(now) / fleet_size)
        return len(self.unreported_at) < limit

    def expected_wait_s(self, rank: int, demand: float, now: float) -> float:
        """Return the seconds until there is room, at least `MIN_WAIT_S`.

        The result is infinite while the demand of this rank and the more urgent ones is
        at or above the reachable VMs' part of the limit.
        """
        part = self.window.limit * self.window.fraction / self.window.window_s
        if part <= sum(self.demand_up_to(rank, demand, now)):
            return inf
        return max(MIN_WAIT_S, -self.window.room(now) / part)
