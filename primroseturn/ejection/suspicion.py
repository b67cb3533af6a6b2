"""Probability that a target, or the way to it, is in a spell of failures.

A target is modelled as a two-state Markov chain that is seen through the outcomes of
requests. Bayes' rule adds each outcome; between outcomes the probability returns to
the share of time that is spent in spells.

Answers the load of targets that fail part of their requests for some seconds while
their health path says that all is well.
"""

from math import exp
from typing import NamedTuple


class FailureModel(NamedTuple):
    """How often spells come and what is seen in them.

    Attributes
    ----------
    prior
        Share of time in spells that is assumed without evidence.
    decay_rate_per_s
        Rate per second at which old evidence loses its weight.
    failed_share_unhealthy, failed_share_healthy
        Shares of requests that fail in a spell and outside.
    overdue_ratio
        How much likelier an overdue answer is in a spell.
    """

    prior: float
    decay_rate_per_s: float
    failed_share_unhealthy: float
    failed_share_healthy: float
    overdue_ratio: float


# Failures that targets state themselves; they concern all VMs alike. The platform
# speaks of spells of several seconds in which a part of the requests fails.
ERROR_RESPONSE_MODEL = FailureModel(0.15, 0.25, 0.75, 0.02, 1.0)
# Answers that stay away; a one-way partition concerns the way from one VM only. An
# answer that takes several times the usual time is rare at a sound target.
MISSING_RESPONSE_MODEL = FailureModel(0.03, 0.2, 0.8, 0.01, 12.0)

# A spell may begin at any time, however many requests were served before.
LEAST_PROBABILITY = 0.02
MOST_PROBABILITY = 0.995


class Suspicion:
    """What the outcomes of requests say about one target.

    Attributes
    ----------
    probability
        Of a spell, at the time `at`.
    last_outcome_at
        Monotonic time in seconds of the last outcome; None before the first.
    """

    def __init__(self, model: FailureModel, now: float) -> None:
        self.model = model
        self.probability = model.prior
        self.at = now
        self.last_outcome_at: float | None = None

    def probability_at(self, now: float) -> float:
        """Return the probability at a time."""
        elapsed = now - self.at
        if elapsed > 0:
            prior = self.model.prior
            kept = exp(-self.model.decay_rate_per_s * elapsed)
            self.probability = prior + (self.probability - prior) * kept
            self.at = now
        return self.probability

    def record_outcomes(self, failed: bool, now: float, count: int = 1) -> None:
        """Add outcomes of requests."""
        model = self.model
        if failed:
            ratio = model.failed_share_unhealthy / model.failed_share_healthy
        else:
            ratio = (1.0 - model.failed_share_unhealthy) / (
                1.0 - model.failed_share_healthy
            )
        self.probability = self.posterior(ratio**count, now)
        self.last_outcome_at = now

    def probability_with_overdue(self, count: int, now: float) -> float:
        """Return the probability if so many answers are overdue."""
        return self.posterior(self.model.overdue_ratio**count, now)

    def posterior(self, ratio: float, now: float) -> float:
        """Return the probability after the odds are multiplied by a ratio."""
        probability = self.probability_at(now)
        odds = probability / (1.0 - probability) * ratio
        probability = odds / (1.0 + odds)
        return min(MOST_PROBABILITY, max(LEAST_PROBABILITY, probability))
