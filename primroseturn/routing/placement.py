"""Chooses the target of each attempt by the time and the loss that it will cost.

Answers the load of some dozens of VMs that share a few slots per target: each VM sees
few requests, so it combines its own requests in flight, the load that targets report
and the outcomes that all VMs see. No target is excluded for its outcomes alone, which
keeps every sound target in use when many fail.
"""

from collections.abc import Iterable
from math import exp
from random import Random
from typing import NamedTuple

from primroseturn.ejection.suspicion import (
    ERROR_RESPONSE_MODEL,
    MISSING_RESPONSE_MODEL,
    Suspicion,
)
from primroseturn.entry.models import Target

# Time in seconds that a failed attempt is taken to cost. Work that must not repeat is
# lost with it; other work is tried again.
LOST_WORK_S = 1.8
REPEATED_WORK_S = 0.6
# Time in seconds that a target in another data centre or region is taken to cost.
# Downloads load the links between them, which are narrow and paid by volume.
OTHER_CENTER_S = 0.05
OTHER_REGION_S = 0.8
DOWNLOAD_OTHER_CENTER_S = 0.4
DOWNLOAD_OTHER_REGION_S = 2.0
# Reported load returns to the usual one within about the time of a request.
REPORT_LIFE_S = 0.25
USUAL_LOAD_WEIGHT = 0.02
# Attempts that are late by this factor of the usual time count as overdue.
OVERDUE_FACTOR = 2.5
# A target is chosen less often by a factor of e for each such difference of the
# expected time, which is known roughly and alike at all VMs, and of the risk.
TIME_SPREAD_S = 0.2
RISK_SPREAD_S = 0.15
# Targets that are drawn, of which the least loaded is taken: power of two choices.
DRAWS = 2
# Share of slots in use from which a target is taken to slow down, and by how much of
# the usual time when all are in use.
CROWDED_SHARE = 0.5
CROWDED_COST = 0.6
# A target that refused a connection gets no attempt for this long, then twice as long.
UNREACHABLE_BACKOFF_S = 0.5
UNREACHABLE_BACKOFF_LIMIT_S = 4.0
# Speed of a target relative to its service: weight of one answer, life and bounds.
SLOWNESS_WEIGHT = 0.3
SLOWNESS_LIFE_S = 4.0
SLOWNESS_LIMIT = 8.0
# Weight of one answer in the usual time of a route.
USUAL_WEIGHT = 0.05
# Targets are used again after this long without an outcome at any VM, suspected ones
# with repeatable work only, so that they return soon after their spell.
TRIAL_SUSPICION = 0.3
TRIAL_GAP_S = 0.8
TRIAL_SHARE = 0.5
# A target that is still cold after its start takes about this many times as long.
COLD_SLOWNESS = 2.0


class RequestTraits(NamedTuple):
    """What is asked of a target.

    Attributes
    ----------
    kind
        Name under which usual times are kept, such as the route.
    default_duration_s
        Time that it usually takes, while nothing is known.
    """

    service: str
    kind: str
    repeatable: bool
    download: bool
    default_duration_s: float


class Choice(NamedTuple):
    """A chosen target.

    Attributes
    ----------
    trial
        Whether it is suspected and gets the request to be tried again.
    wait_s
        Expected wait for a slot in seconds.
    """

    target: Target
    trial: bool
    wait_s: float


class UsualLoad:
    """Requests of other VMs that a target of a service usually holds."""

    def __init__(self) -> None:
        self.others = 0.0

    def add(self, others: float) -> None:
        """Add a report."""
        self.others += USUAL_LOAD_WEIGHT * (others - self.others)


class TargetState:
    """What this VM knows of one target.

    Attributes
    ----------
    error_suspicion
        Suspicion that it fails requests, from the outcomes that all VMs see.
    path_suspicion
        Suspicion that its answers stay away, from this VM's attempts.
    started_by_attempt
        Start and expected time in seconds of this VM's attempts in flight.
    usual_load
        Shared by the targets of a service.
    others, others_at
        Requests of other VMs by the last report, and its time.
    slowness
        Time of its answers as a multiple of the usual time.
    """

    def __init__(self, target: Target, usual_load: "UsualLoad", now: float) -> None:
        self.target = target
        self.usual_load = usual_load
        self.error_suspicion = Suspicion(ERROR_RESPONSE_MODEL, now)
        self.path_suspicion = Suspicion(MISSING_RESPONSE_MODEL, now)
        self.started_by_attempt: dict[int, tuple[float, float]] = {}
        self.others = 0.0
        self.others_at = now
        self.slowness = 1.0
        self.slowness_at = now
        self.cold_until = now + target.cold_s
        self.unreachable_until = 0.0
        self.unreachable_s = 0.0

    def busy(self, now: float) -> float:
        """Return the requests that the target is likely to hold."""
        kept = exp((self.others_at - now) / REPORT_LIFE_S)
        usual = self.usual_load.others
        return len(self.started_by_attempt) + usual + (self.others - usual) * kept

    def relative_time(self, now: float) -> float:
        """Return the expected multiple of the usual time."""
        kept = exp((self.slowness_at - now) / SLOWNESS_LIFE_S)
        cold = COLD_SLOWNESS if now < self.cold_until else 1.0
        return cold * (1.0 + (self.slowness - 1.0) * kept)

    def note_time(self, ratio: float, now: float) -> None:
        """Add the time of an answer as a multiple of the usual time."""
        if now < self.cold_until:
            return
        ratio = min(SLOWNESS_LIMIT, ratio)
        current = self.relative_time(now)
        self.slowness = current + SLOWNESS_WEIGHT * (ratio - current)
        self.slowness_at = now

    def loss_probability(self, now: float) -> float:
        """Return the probability that the target is in a spell of any kind."""
        missing = self.path_suspicion.probability_with_overdue(self.overdue(now), now)
        return 1.0 - (1.0 - self.error_suspicion.probability_at(now)) * (1.0 - missing)

    def is_due(self, now: float) -> bool:
        """Return whether no VM has seen an outcome of the target for a while."""
        seen_at = self.error_suspicion.last_outcome_at
        if self.started_by_attempt:
            return False
        return seen_at is None or now - seen_at >= TRIAL_GAP_S

    def is_suspected(self, now: float) -> bool:
        """Return whether the target is likely to be in a spell."""
        return self.loss_probability(now) >= TRIAL_SUSPICION

    def overdue(self, now: float) -> int:
        """Return the number of this VM's attempts that are late."""
        return sum(
            now - started > OVERDUE_FACTOR * expected_s
            for started, expected_s in self.started_by_attempt.values()
        )


class Placement:
    """Keeps what is known of all targets and chooses among them."""

    def __init__(
        self,
        data_center: str,
        regions_by_data_center: dict[str, str],
        random: Random | None = None,
    ) -> None:
        self.data_center = data_center
        self.regions_by_data_center = regions_by_data_center
        self.region = regions_by_data_center.get(data_center, "")
        self.random = random or Random()
        self.states_by_id: dict[str, TargetState] = {}
        self.states_by_service: dict[str, list[TargetState]] = {}
        self.typical_s_by_kind: dict[str, float] = {}
        self.loads_by_service: dict[str, UsualLoad] = {}
        self.attempts = 0

    def update_targets(self, targets: Iterable[Target], now: float) -> None:
        """Take over the listed targets; what is known of those that stay is kept."""
        states: dict[str, TargetState] = {}
        for target in targets:
            known = self.states_by_id.get(target.id)
            if known is None or is_other_start(known.target, target):
                load = self.loads_by_service.setdefault(target.service, UsualLoad())
                known = TargetState(target, load, now)
            known.target = target
            states[target.id] = known
        self.states_by_id = states
        self.states_by_service = {}
        for state in states.values():
            service = state.target.service
            self.states_by_service.setdefault(service, []).append(state)

    def typical_duration_s(self, traits: RequestTraits) -> float:
        """Return the time that work usually takes in seconds."""
        return self.typical_s_by_kind.get(traits.kind, traits.default_duration_s)

    def choose(
        self,
        traits: RequestTraits,
        excluded: frozenset[str],
        now: float,
        allow_trial: bool = False,
    ) -> Choice | None:
        """Return the target for an attempt, or None if there is none.

        Parameters
        ----------
        excluded
            Ids of the targets that were tried already.
        allow_trial
            Whether a suspected target may get the attempt to be tried again.
        """
        states = [
            state
            for state in self.states_by_service.get(traits.service, ())
            if not state.target.leaving and state.target.id not in excluded
        ]
        reachable = [state for state in states if state.unreachable_until <= now]
        if not reachable:
            return None
        trial = self.choose_trial(
            reachable, traits, now, allow_trial and traits.repeatable
        )
        if trial is not None:
            return Choice(trial.target, trial.is_suspected(now), 0.0)
        chosen = self.draw(reachable, traits, now)
        return Choice(chosen.target, False, self.wait_s(chosen, traits, now))

    def draw(
        self, states: list[TargetState], traits: RequestTraits, now: float
    ) -> TargetState:
        """Return one of the targets, the likelier the lower its cost.

        VMs with the same view must not all choose the same target. Of two that are
        drawn, the one with fewer requests per slot is taken.
        """
        costs = [
            self.time_s(state, traits, now) / TIME_SPREAD_S
            + self.risk_s(state, traits, now) / RISK_SPREAD_S
            for state in states
        ]
        lowest = min(costs)
        weights = [exp(lowest - cost) for cost in costs]
        drawn = self.random.choices(states, weights, k=DRAWS)
        return min(drawn, key=lambda state: state.busy(now) / state.target.slots)

    def choose_trial(
        self,
        states: list[TargetState],
        traits: RequestTraits,
        now: float,
        allow_trial: bool,
    ) -> TargetState | None:
        """Return a target that no VM has used for a while.

        Without it, targets that are slow after their start or were suspected once
        would get nothing while others have room.
        """
        due = [
            state
            for state in states
            if state.is_due(now)
            and (allow_trial or not state.is_suspected(now))
            and self.distance_s(state.target, traits) <= OTHER_CENTER_S
        ]
        if not due or self.random.random() >= TRIAL_SHARE:
            return None
        return self.random.choice(due)

    def time_s(self, state: TargetState, traits: RequestTraits, now: float) -> float:
        """Return the expected time of an attempt in seconds, with its wait."""
        usual = self.typical_duration_s(traits) * state.relative_time(now)
        crowded = max(0.0, state.busy(now) / state.target.slots - CROWDED_SHARE)
        wait_s = self.wait_s(state, traits, now)
        return usual * (1.0 + CROWDED_COST * crowded) + wait_s

    def risk_s(self, state: TargetState, traits: RequestTraits, now: float) -> float:
        """Return the cost of the way and of a likely loss in seconds."""
        loss = REPEATED_WORK_S if traits.repeatable else LOST_WORK_S
        way = self.distance_s(state.target, traits)
        return way + loss * state.loss_probability(now)

    def wait_s(self, state: TargetState, traits: RequestTraits, now: float) -> float:
        """Return the expected wait for a slot of a target in seconds."""
        slots = state.target.slots
        ahead = state.busy(now) + 1.0 - slots
        if ahead <= 0:
            return 0.0
        return (
            ahead / slots * self.typical_duration_s(traits) * state.relative_time(now)
        )

    def distance_s(self, target: Target, traits: RequestTraits) -> float:
        """Return the cost of the way to a target in seconds."""
        if target.data_center == self.data_center:
            return 0.0
        if self.regions_by_data_center.get(target.data_center) == self.region:
            return DOWNLOAD_OTHER_CENTER_S if traits.download else OTHER_CENTER_S
        return DOWNLOAD_OTHER_REGION_S if traits.download else OTHER_REGION_S

    def start_attempt(self, target_id: str, traits: RequestTraits, now: float) -> int:
        """Count an attempt in flight and return its number."""
        self.attempts += 1
        state = self.states_by_id.get(target_id)
        if state is not None:
            # With its wait, so that a target in an overload does not look broken.
            expected_s = self.time_s(state, traits, now)
            state.started_by_attempt[self.attempts] = (now, expected_s)
        return self.attempts

    def end_attempt(self, target_id: str, attempt: int, now: float) -> bool:
        """Count an attempt in flight less and return whether it was overdue."""
        state = self.states_by_id.get(target_id)
        if state is None:
            return False
        started, expected_s = state.started_by_attempt.pop(attempt, (now, 0.0))
        return now - started > OVERDUE_FACTOR * expected_s

    def record_success(
        self, target_id: str, traits: RequestTraits, took_s: float, now: float
    ) -> None:
        """Take note of a whole and good answer."""
        usual = self.typical_duration_s(traits)
        self.typical_s_by_kind[traits.kind] = usual + USUAL_WEIGHT * (took_s - usual)
        state = self.states_by_id.get(target_id)
        if state is not None:
            state.note_time(took_s / usual, now)
            state.error_suspicion.record_outcomes(False, now)
            state.path_suspicion.record_outcomes(False, now)
            state.unreachable_s = 0.0

    def record_error_response(self, target_id: str, now: float) -> None:
        """Take note that a target answered with a failure of its own."""
        state = self.states_by_id.get(target_id)
        if state is not None:
            state.error_suspicion.record_outcomes(True, now)
            state.path_suspicion.record_outcomes(False, now)

    def record_missing_response(self, target_id: str, now: float) -> None:
        """Take note that a whole answer stayed away."""
        state = self.states_by_id.get(target_id)
        if state is not None:
            state.path_suspicion.record_outcomes(True, now)

    def record_peer_outcomes(
        self, target_id: str, failed: int, succeeded: int, now: float
    ) -> None:
        """Take note of outcomes that other VMs saw."""
        state = self.states_by_id.get(target_id)
        if state is not None:
            if succeeded:
                state.error_suspicion.record_outcomes(False, now, succeeded)
            if failed:
                state.error_suspicion.record_outcomes(True, now, failed)

    def record_unreachable(self, target_id: str, now: float) -> None:
        """Take note that a target accepted no connection."""
        state = self.states_by_id.get(target_id)
        if state is not None:
            longer = max(UNREACHABLE_BACKOFF_S, 2.0 * state.unreachable_s)
            state.unreachable_s = min(UNREACHABLE_BACKOFF_LIMIT_S, longer)
            state.unreachable_until = now + state.unreachable_s

    def record_load(self, target_id: str, held: int, now: float) -> None:
        """Take note of the requests that a target reports to hold.

        The report was made while the answered attempt still counted.
        """
        state = self.states_by_id.get(target_id)
        if state is not None:
            state.others = max(0.0, held - len(state.started_by_attempt))
            state.others_at = now
            state.usual_load.add(state.others)

    def record_full(self, target_id: str, now: float) -> None:
        """Take note that a target had no room for a request."""
        state = self.states_by_id.get(target_id)
        if state is not None:
            state.others = max(state.others, 1.5 * state.target.slots)
            state.others_at = now


def is_other_start(known: Target, listed: Target) -> bool:
    """Return whether an entry is that of a later start of a target."""
    return (known.born_ms, known.host, known.port) != (
        listed.born_ms,
        listed.host,
        listed.port,
    )
