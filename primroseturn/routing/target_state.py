"""What a VM knows of one target: its load, its speed and whether it fails.

Used by the placement of `primroseturn entry`.
"""

from collections import deque
from math import exp, inf

from primroseturn.ejection.suspicion import (
    ERROR_RESPONSE_MODEL,
    MISSING_RESPONSE_MODEL,
    PEER_MISSING_MODEL,
    Suspicion,
)
from primroseturn.routing.load_estimate import CenterFlow, RateEstimate
from primroseturn.routing.models import Target

# Time constant with which a reported load returns to the typical one, about the
# duration of a request.
REPORT_TIME_CONSTANT_S = 0.25
# Latest load reports of a target that are kept.
KEPT_LOAD_REPORTS = 3
# Time constant with which recent attempts at a target are forgotten; about a dozen.
ARRIVALS_TIME_CONSTANT_S = 4.0
# Weight of one report in the typical load of a service.
TYPICAL_LOAD_WEIGHT = 0.02
# Multiple of the expected duration after which an attempt is treated as overdue.
OVERDUE_FACTOR = 2.5
# Slowness of a target (see `TargetState.slowness`): weight of one response, time
# constant of the decay, and upper bound of the slowness of one response.
SLOWNESS_WEIGHT = 0.3
SLOWNESS_TIME_CONSTANT_S = 4.0
SLOWNESS_LIMIT = 8.0
# Least probability of a failure period at which a target counts as suspected.
SUSPECTED_PROBABILITY = 0.3
# A target gets a trial after this time without an outcome at any VM, a suspected one
# only with an idempotent request, so that targets return soon after a failure period.
TRIAL_IDLE_S = 0.8
# Multiple of the typical duration at a target that is still cold after its start.
COLD_SLOWNESS = 2.0


class TypicalPeerLoad:
    """Typical number of requests of other VMs at a target of a service."""

    def __init__(self) -> None:
        self.peer_load = 0.0

    def add(self, peer_load: float) -> None:
        """Update the moving average with a report of a target."""
        self.peer_load += TYPICAL_LOAD_WEIGHT * (peer_load - self.peer_load)


class TargetState:
    """State of one target as this VM knows it. Times are monotonic, in seconds.

    Attributes
    ----------
    error_suspicion
        Probability that the target fails requests, by the outcomes of all VMs.
    path_suspicion
        Probability that responses are lost, by the attempts of this VM.
    peer_suspicion
        Probability that responses are lost, by the attempts of the other VMs of this
        data centre and by single reports of other data centres.
    remote_missing_at
        Time of the last report of a missing response by another data centre that was
        counted.
    started_by_attempt
        Start and expected duration in seconds of this VM's attempts in flight.
    typical_peer_load
        Shared by the targets of a service.
    peer_load, peer_load_at
        Requests of other VMs by the last report, and the time of the report.
    recent_loads
        Times and numbers of requests of the latest load reports, the last at the end.
    flow
        Flow of attempts to the targets of its data centre; None unless the load between
        reports is estimated from it.
    arrivals
        Attempts of the VMs of this region; counted only with a flow.
    slowness, slowness_at
        Moving average of the duration of its responses as a multiple of the typical
        duration of such requests, and the time of the last response in the average.
    cold_until
        Time until which the target is slow after its start.
    known_at
        Time at which this VM learned of this start of the target.
    heard_at
        Time of the last outcome or load that any VM reported, None before the first.
    possibly_cold_until
        Time until which the target may be cold, since it may have restarted.
    unreachable_until, unreachable_s
        End and duration of the last backoff after the target could not be reached.
    quiet_until
        Time until which the target wants no requests of this VM.
    """

    def __init__(
        self, target: Target, typical_peer_load: "TypicalPeerLoad", now: float
    ) -> None:
        self.target = target
        self.typical_peer_load = typical_peer_load
        self.error_suspicion = Suspicion(ERROR_RESPONSE_MODEL, now)
        self.path_suspicion = Suspicion(MISSING_RESPONSE_MODEL, now)
        self.peer_suspicion = Suspicion(PEER_MISSING_MODEL, now)
        self.remote_missing_at = -inf
        self.started_by_attempt: dict[int, tuple[float, float]] = {}
        self.peer_load = 0.0
        self.peer_load_at = now
        self.recent_loads: deque[tuple[float, int]] = deque(maxlen=KEPT_LOAD_REPORTS)
        self.flow: CenterFlow | None = None
        self.arrivals = RateEstimate(ARRIVALS_TIME_CONSTANT_S)
        self.slowness = 1.0
        self.slowness_at = now
        self.cold_until = now + target.cold_s
        self.known_at = now
        self.heard_at: float | None = None
        self.possibly_cold_until = now
        self.unreachable_until = 0.0
        self.unreachable_s = 0.0
        self.quiet_until = 0.0

    def is_available(self, now: float) -> bool:
        """Return whether an attempt may be sent to the target now."""
        return self.unreachable_until <= now and self.quiet_until <= now

    def expected_load(self, now: float) -> float:
        """Return the expected number of requests at the target."""
        if self.flow is not None:
            age_s = max(0.0, now - self.peer_load_at)
            slots = self.target.slots
            return len(self.started_by_attempt) + self.flow.expected_load(
                self.peer_load, slots, age_s, now
            )
        remaining = exp((self.peer_load_at - now) / REPORT_TIME_CONSTANT_S)
        typical = self.typical_peer_load.peer_load
        return (
            len(self.started_by_attempt)
            + typical
            + (self.peer_load - typical) * remaining
        )

    def slowdown(self, now: float) -> float:
        """Return the expected multiple of the typical duration."""
        remaining = exp((self.slowness_at - now) / SLOWNESS_TIME_CONSTANT_S)
        cold_factor = COLD_SLOWNESS if now < self.cold_until else 1.0
        return cold_factor * (1.0 + (self.slowness - 1.0) * remaining)

    def record_duration(self, ratio: float, now: float) -> None:
        """Add the duration of a response as a multiple of the typical duration."""
        if now < self.cold_until:
            return
        ratio = min(SLOWNESS_LIMIT, ratio)
        current = self.slowdown(now)
        self.slowness = current + SLOWNESS_WEIGHT * (ratio - current)
        self.slowness_at = now

    def failure_period_probability(self, now: float) -> float:
        """Return the probability of a failure period of the target or of its path."""
        path_probability = self.path_suspicion.probability_with_overdue(
            self.overdue_attempts(now), now
        )
        return 1.0 - (
            (1.0 - self.error_suspicion.probability_at(now))
            * (1.0 - path_probability)
            * (1.0 - self.peer_suspicion.probability_at(now))
        )

    def is_due_for_trial(self, now: float, idle_s: float = TRIAL_IDLE_S) -> bool:
        """Return whether the target has no attempt of this VM and no recent outcome."""
        seen_at = self.error_suspicion.last_outcome_at
        if self.started_by_attempt:
            return False
        return seen_at is None or now - seen_at >= idle_s

    def is_suspected(self, now: float) -> bool:
        """Return whether the target is likely to be in a failure period."""
        return self.failure_period_probability(now) >= SUSPECTED_PROBABILITY

    def overdue_attempts(self, now: float) -> int:
        """Return the number of this VM's attempts that are overdue."""
        return sum(
            now - started > OVERDUE_FACTOR * expected_s
            for started, expected_s in self.started_by_attempt.values()
        )


def has_restarted(known: Target, listed: Target) -> bool:
    """Return whether the listed start time or address differ from the known ones."""
    return (known.start_unix_ms, known.host, known.port) != (
        listed.start_unix_ms,
        listed.host,
        listed.port,
    )
