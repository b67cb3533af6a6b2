"""Draws targets so that their load is even although reports of it are late.

The data centre is drawn first, by the demand of the region's data centres, then a
target in it by its expected load and by the attempts that the fleet has sent it lately.
It takes `now` and does no I/O.
"""

from math import exp
from random import Random

from primroseturn.routing.load_estimate import CenterFlow
from primroseturn.routing.metrics import ATTEMPTS_BY_DISTANCE, SPILLOVER_SHARE
from primroseturn.routing.models import Target
from primroseturn.routing.spillover import ServiceDemand
from primroseturn.routing.target_state import SUSPECTED_PROBABILITY, TargetState

# Load per slot by which a target must exceed another to be drawn less often by a factor
# of e: the error of the estimate, since about one request arrives at a target of a few
# slots before the report of it does.
LOAD_SPREAD_PER_SLOT = 0.3
# Weight of a target's recent attempts relative to the mean. Where most targets have
# free slots, reports of the load alone do not tell which targets get fewer requests.
ARRIVALS_GAIN = 4.0
# Least ratio to the mean that counts. A target that returns has had no attempts, and
# all VMs would send to it before they know its load.
MIN_ARRIVALS_RATIO = 0.7
# Failure probability of a target up to which a lower load attracts requests fully; from
# there to that of a suspected target the attraction falls to none.
HEALTHY_RISK = 0.1
# Time in seconds until the other VMs of the data centre know the outcome of a trial.
TRIAL_REPORT_S = 0.4
MAX_TRIAL_FRACTION = 0.5
DISTANCES = ("data-center", "region", "elsewhere")
LOCAL, NEAR, FAR = range(3)


class EvenLoad:
    """Tracks the flow of attempts to each service and draws targets by it.

    Attributes
    ----------
    flows_by_center
        Flow to the targets of a service in a data centre.
    services
        Services with enough targets; the others are drawn as without even load.
    """

    def __init__(
        self,
        data_center: str,
        regions_by_data_center: dict[str, str],
        random: Random,
        min_targets_per_center: int = 0,
    ) -> None:
        self.min_targets_per_center = min_targets_per_center
        self.services: set[str] = set()
        self.data_center = data_center
        self.regions_by_data_center = regions_by_data_center
        self.region = regions_by_data_center.get(data_center, "")
        self.random = random
        self.demand_by_service: dict[str, ServiceDemand] = {}
        self.flows_by_center: dict[tuple[str, str], CenterFlow] = {}

    def update_targets(self, states_by_service: dict[str, list[TargetState]]) -> None:
        """Assign each target the flow of its data centre."""
        known, self.flows_by_center = self.flows_by_center, {}
        self.services = {
            service
            for service, states in states_by_service.items()
            if len(states)
            >= self.min_targets_per_center * len(self.regions_by_data_center)
        }
        for service, states in states_by_service.items():
            if service not in self.services:
                for state in states:
                    state.flow = None
                continue
            demand = self.demand_by_service.setdefault(service, ServiceDemand())
            for state in states:
                center = (service, state.target.data_center)
                flow = self.flows_by_center.get(center)
                if flow is None:
                    flow = known.get(center) or CenterFlow(demand.durations)
                    flow.slots = 0
                    self.flows_by_center[center] = flow
                state.flow = flow
                if not state.target.leaving:
                    flow.slots += state.target.slots

    def distance(self, target: Target) -> int:
        """Return whether a target is in this data centre, its region or elsewhere."""
        if target.data_center == self.data_center:
            return LOCAL
        region = self.regions_by_data_center.get(target.data_center)
        return NEAR if region == self.region else FAR

    def draw(
        self,
        states: list[TargetState],
        service: str,
        is_download: bool,
        slowness_cost: float,
        failure_cost: float,
        now: float,
    ) -> TargetState:
        """Return a random target.

        Parameters
        ----------
        slowness_cost
            Cost of a target that takes twice as long as usual, in the unit in which a
            target is drawn less often by a factor of e.
        failure_cost
            Cost of a target that is certain to fail, in the same unit.
        """
        groups: tuple[list[TargetState], ...] = ([], [], [])
        for state in states:
            groups[self.distance(state.target)].append(state)
        failing = {
            state.target.id: state.failure_period_probability(now)
            for state in (*groups[LOCAL], *groups[NEAR])
        }
        usable = [
            sum(
                state.target.slots
                * (1.0 - failing.get(state.target.id, 0.0))
                / max(1.0, state.slowdown(now))
                for state in group
            )
            for group in groups
        ]
        demand = self.demand_by_service[service]
        near, far = shares = demand.shares(*usable, is_download, now)
        for distance, share in zip(DISTANCES[NEAR:], shares, strict=True):
            SPILLOVER_SHARE.labels(service, distance).set(share)
        number = self.random.random()
        drawn = FAR if number < far else NEAR if number < far + near else LOCAL
        group = groups[drawn] or next(filter(None, groups))
        load_costs = self.load_costs(group, now)
        mean = sum(load_costs) / len(load_costs)
        costs = []
        for state, cost in zip(group, load_costs, strict=True):
            risk = state.failure_period_probability(now)
            # A failing target has few requests, which must not attract further ones.
            doubt = (risk - HEALTHY_RISK) / (SUSPECTED_PROBABILITY - HEALTHY_RISK)
            cost += min(1.0, max(0.0, doubt)) * max(0.0, mean - cost)
            slowness = state.slowdown(now) - 1.0
            costs.append(cost + slowness_cost * slowness + failure_cost * risk)
        lowest = min(costs)
        weights = [exp(lowest - cost) for cost in costs]
        return self.random.choices(group, weights)[0]

    def load_costs(self, states: list[TargetState], now: float) -> list[float]:
        """Return costs that are lower with a lower load and fewer recent attempts."""
        rates = [state.arrivals.per_s(now) / state.target.slots for state in states]
        mean = sum(rates) / len(rates) or 1.0
        return [
            state.expected_load(now) / state.target.slots / LOAD_SPREAD_PER_SLOT
            + ARRIVALS_GAIN * max(MIN_ARRIVALS_RATIO, rate / mean)
            for state, rate in zip(states, rates, strict=True)
        ]

    def trial_fraction(self, due_count: int, service: str, now: float) -> float:
        """Return the fraction of the requests of which one is tried per due target.

        All VMs of the data centre together then send about one trial to each target
        before they know its outcome.
        """
        local_per_s = self.demand_by_service[service].local.per_s(now)
        shared = due_count / max(1.0, local_per_s * TRIAL_REPORT_S)
        return min(MAX_TRIAL_FRACTION, shared)

    def record_start(self, state: TargetState, now: float) -> None:
        """Count an attempt of this VM."""
        distance = self.distance(state.target)
        ATTEMPTS_BY_DISTANCE.labels(state.target.service, DISTANCES[distance]).inc()
        self.record_arrivals(state, 1, False, now)

    def record_arrivals(
        self, state: TargetState, count: int, is_remote: bool, now: float
    ) -> None:
        """Count attempts that VMs of this or another data centre sent to a target."""
        if not count or state.flow is None:
            return
        demand = self.demand_by_service[state.target.service]
        (demand.near if is_remote else demand.local).add(count, now)
        state.flow.arrivals.add(count, now)
        state.arrivals.add(count, now)

    def record_duration(self, state: TargetState, took_s: float, now: float) -> None:
        """Record the duration of a response, unless it may include a wait in a queue.

        A wait would make the demand look higher, and send requests to other regions.
        """
        is_half_used = state.expected_load(now) <= state.target.slots / 2
        if state.flow is not None and is_half_used:
            state.flow.durations.add(took_s)

    def record_load(
        self, state: TargetState, request_count: int, now: float, age_s: float
    ) -> None:
        """Record a load that a target has reported some time ago.

        The responding attempt is part of the number, and ended with the response.
        """
        written_at = now - age_s
        if written_at < state.peer_load_at:
            return
        left = request_count - 1.0
        state.peer_load = max(0.0, left - len(state.started_by_attempt))
        state.peer_load_at = written_at
        if self.distance(state.target) == FAR:
            demand = self.demand_by_service[state.target.service]
            demand.record_far_load(left / state.target.slots, written_at)
