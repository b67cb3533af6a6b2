"""Chooses the target of each attempt by its expected duration and risk of failure.

It is designed for dozens to hundreds of VMs that share a few slots per target. Each VM
sees few requests, so it combines its own requests in flight, the load that targets
report and the outcomes that all VMs report. No target is excluded because of its
outcomes alone, so that every healthy target stays in use when many fail.

Used by `primroseturn entry`.
"""

from math import exp

from primroseturn.routing.choices import Choice, NoTargetReason, RequestTraits
from primroseturn.routing.models import Target
from primroseturn.routing.target_records import TargetRecords
from primroseturn.routing.target_state import (
    OVERDUE_FACTOR,
    TargetState,
)

# Cost of a failed attempt. An at-most-once request fails with its attempt; other
# requests are retried.
LOST_REQUEST_COST_S = 1.8
RETRIED_REQUEST_COST_S = 0.6
# Cost of a target in another data centre or region. Downloads load the links between
# them, which are narrow and paid by volume.
OTHER_CENTER_COST_S = 0.05
OTHER_REGION_COST_S = 0.8
DOWNLOAD_OTHER_CENTER_COST_S = 0.4
DOWNLOAD_OTHER_REGION_COST_S = 2.0
# A target whose expected duration or risk cost is higher by this much is drawn less
# often by a factor of e. The expected duration is a rough estimate, and all VMs make
# about the same one.
TIME_SPREAD_S = 0.2
RISK_SPREAD_S = 0.15
# Number of targets that are drawn; the least loaded of them is chosen (power of two
# choices).
DRAWS = 2
# Expected requests per slot above which a target is expected to slow down, and the
# fraction of its duration that is added for each request per slot above that.
CROWDED_LOAD_PER_SLOT = 0.5
CROWDED_SLOWDOWN = 0.6
# Fraction of the requests that become a trial while a target is due for one.
TRIAL_FRACTION = 0.5


class Placement(TargetRecords):
    """Chooses among the targets by their state."""

    def set_evacuated(self, data_centers: frozenset[str], now: float) -> None:
        """Set the data centres to whose targets no further requests are sent."""
        self.eligibility.evacuated = data_centers

    def choose(
        self,
        traits: RequestTraits,
        excluded: frozenset[str],
        now: float,
        allow_suspected: bool = False,
    ) -> Choice | None:
        """Return the target for an attempt, or None if there is none.

        Parameters
        ----------
        excluded
            Ids of the targets that were tried already.
        allow_suspected
            Whether the attempt may be a trial of a suspected target, if the request
            is idempotent.
        """
        states = self.eligible_states(traits, excluded)
        reachable = [state for state in states if state.is_available(now)]
        reachable = self.cold.select(reachable, now)
        if not reachable:
            return None
        trial = self.choose_trial(
            reachable, traits, now, allow_suspected and traits.repeatable
        )
        if trial is not None:
            self.cold.record_attempt(trial, now, is_trial=True)
            return Choice(trial.target, trial.is_suspected(now), 0.0)
        chosen = self.draw(reachable, traits, now)
        self.cold.record_attempt(chosen, now)
        return Choice(chosen.target, False, self.expected_wait_s(chosen, traits, now))

    def eligible_states(
        self, traits: RequestTraits, excluded: frozenset[str] = frozenset()
    ) -> list[TargetState]:
        """Return the targets that a request may be sent to, available or not."""
        states = self.states_by_service.get(traits.service, ())
        return self.eligibility.select(states, traits.allowed_regions, excluded)

    def find_obstacle(self, traits: RequestTraits, now: float) -> NoTargetReason | None:
        """Return why no target can be used, if regions or cold targets are why.

        Targets that want no requests for some time count as usable: they state a time
        of their own.
        """
        allowed = traits.allowed_regions
        if allowed is not None and not self.has_usable_target(
            traits.service, allowed, now
        ):
            return NoTargetReason.REGION
        if self.cold.limits_of(traits.service) is None:
            return None
        available = [
            state for state in self.eligible_states(traits) if state.is_available(now)
        ]
        if available and not any(self.cold.admits(state, now) for state in available):
            return NoTargetReason.COLD
        return None

    def has_usable_target(
        self, service: str, allowed_regions: frozenset[str] | None, now: float
    ) -> bool:
        """Return whether a target in an allowed region stays and can be reached."""
        states = self.states_by_service.get(service, ())
        return any(
            state.unreachable_until <= now
            for state in self.eligibility.select(states, allowed_regions)
        )

    def draw(
        self, states: list[TargetState], traits: RequestTraits, now: float
    ) -> TargetState:
        """Return a random target; a lower cost makes a target likelier.

        The draw is random so that VMs with the same view don't all choose the same
        target. Of two drawn targets, the one with fewer requests per slot is chosen.
        """
        even_load = self.even_load_of(traits.service)
        if even_load is not None:
            return even_load.draw(
                states,
                traits.service,
                traits.download,
                self.typical_duration_s(traits) / TIME_SPREAD_S,
                failure_cost_s(traits) / RISK_SPREAD_S,
                now,
            )
        costs = [
            self.expected_duration_s(state, traits, now) / TIME_SPREAD_S
            + self.risk_cost_s(state, traits, now) / RISK_SPREAD_S
            for state in states
        ]
        lowest = min(costs)
        weights = [exp(lowest - cost) for cost in costs]
        drawn = self.random.choices(states, weights, k=DRAWS)
        return min(
            drawn, key=lambda state: state.expected_load(now) / state.target.slots
        )

    def choose_trial(
        self,
        states: list[TargetState],
        traits: RequestTraits,
        now: float,
        allow_suspected: bool,
    ) -> TargetState | None:
        """Return a target that is due for a trial, or None.

        A suspected target is returned only if `allow_suspected`. Without trials,
        targets that are slow after their start or were suspected once would get no
        requests while others have free slots.
        """
        # With even load, the VMs of the target's data centre send the trials.
        even_load = self.even_load_of(traits.service)
        limit_s = 0.0 if even_load is not None else OTHER_CENTER_COST_S
        due = [
            state
            for state in states
            if self.cold.is_due_for_trial(state, now)
            and (allow_suspected or not state.is_suspected(now))
            and self.distance_cost_s(state.target, traits) <= limit_s
        ]
        fraction = TRIAL_FRACTION
        if due and even_load is not None:
            fraction = even_load.trial_fraction(len(due), traits.service, now)
        if not due or self.random.random() >= fraction:
            return None
        return self.random.choice(due)

    def expected_duration_s(
        self, state: TargetState, traits: RequestTraits, now: float
    ) -> float:
        """Return the expected duration of an attempt in seconds, including its wait."""
        expected_s = self.typical_duration_s(traits) * state.slowdown(now)
        crowded = max(
            0.0, state.expected_load(now) / state.target.slots - CROWDED_LOAD_PER_SLOT
        )
        wait_s = self.expected_wait_s(state, traits, now)
        return expected_s * (1.0 + CROWDED_SLOWDOWN * crowded) + wait_s

    def risk_cost_s(
        self, state: TargetState, traits: RequestTraits, now: float
    ) -> float:
        """Return the cost in seconds of the distance and of a likely failure."""
        distance_cost_s = self.distance_cost_s(state.target, traits)
        probability = state.failure_period_probability(now)
        return distance_cost_s + failure_cost_s(traits) * probability

    def expected_wait_s(
        self, state: TargetState, traits: RequestTraits, now: float
    ) -> float:
        """Return the expected wait for a slot of a target in seconds."""
        slots = state.target.slots
        ahead = state.expected_load(now) + 1.0 - slots
        if ahead <= 0:
            return 0.0
        return ahead / slots * self.typical_duration_s(traits) * state.slowdown(now)

    def distance_cost_s(self, target: Target, traits: RequestTraits) -> float:
        """Return the cost in seconds of the distance to a target."""
        if target.data_center == self.data_center:
            return 0.0
        if self.regions_by_data_center.get(target.data_center) == self.region:
            return (
                DOWNLOAD_OTHER_CENTER_COST_S if traits.download else OTHER_CENTER_COST_S
            )
        return DOWNLOAD_OTHER_REGION_COST_S if traits.download else OTHER_REGION_COST_S

    def start_attempt(self, target_id: str, traits: RequestTraits, now: float) -> int:
        """Count an attempt in flight and return its number."""
        self.last_attempt_number += 1
        state = self.states_by_id.get(target_id)
        if state is not None:
            # The wait is included, so that an overloaded target does not look faulty.
            expected_s = self.expected_duration_s(state, traits, now)
            state.started_by_attempt[self.last_attempt_number] = (now, expected_s)
            even_load = self.even_load_of(state.target.service)
            if even_load is not None:
                even_load.record_start(state, now)
        return self.last_attempt_number

    def end_attempt(self, target_id: str, attempt: int, now: float) -> bool:
        """Remove an attempt in flight and return whether it was overdue."""
        state = self.states_by_id.get(target_id)
        if state is None:
            return False
        started, expected_s = state.started_by_attempt.pop(attempt, (now, 0.0))
        return now - started > OVERDUE_FACTOR * expected_s

    def shortest_quiet_s(self, traits: RequestTraits, now: float) -> float | None:
        """Return when the first target that may get a request takes requests again.

        Returns
        -------
        float | None
            Seconds from now; None unless all these targets want no requests.
        """
        quiet_s = [state.quiet_until - now for state in self.eligible_states(traits)]
        if not quiet_s or min(quiet_s) <= 0:
            return None
        return min(quiet_s)


def failure_cost_s(traits: RequestTraits) -> float:
    """Return the cost in seconds of a failed attempt."""
    return RETRIED_REQUEST_COST_S if traits.repeatable else LOST_REQUEST_COST_S
