"""Probability that a target, or the network path to it, is in a failure period.

A target is modelled as a two-state Markov chain whose state is observed only through
the outcomes of requests. Bayes' rule updates the probability with each outcome. Between
outcomes it decays to the prior, the fraction of time spent in failure periods.

This detects targets that fail a part of their requests for some seconds while their
health endpoint reports no fault. Used by `primroseturn entry`.
"""

from math import exp
from typing import NamedTuple


class FailureModel(NamedTuple):
    """Frequency of failure periods, and fractions of failed requests in them.

    Attributes
    ----------
    prior
        Fraction of time in failure periods that is assumed without evidence.
    decay_rate_per_s
        Rate per second at which the probability returns to the prior.
    failed_fraction_unhealthy, failed_fraction_healthy
        Fractions of requests that fail in a failure period and outside of one.
    overdue_ratio
        Likelihood of an overdue response in a failure period relative to that outside.
    """

    prior: float
    decay_rate_per_s: float
    failed_fraction_unhealthy: float
    failed_fraction_healthy: float
    overdue_ratio: float


# Error responses of targets, which affect all VMs alike. According to the platform's
# description, targets fail a part of their requests for periods of several seconds.
ERROR_RESPONSE_MODEL = FailureModel(0.15, 0.25, 0.75, 0.02, 1.0)
# Missing responses, for instance in a one-way partition, which affects the network path
# of one VM only. A healthy target rarely takes several times the typical time.
MISSING_RESPONSE_MODEL = FailureModel(0.03, 0.2, 0.8, 0.01, 12.0)
# Missing responses that other VMs of the data centre report, and at a low rate those of
# other data centres. The target may be at fault, or the path of the VM that reports.
PEER_MISSING_MODEL = FailureModel(0.1, 0.25, 0.75, 0.03, 1.0)

# Bounds of the probability. A failure period may start at any time, however many
# requests were served before.
MIN_PROBABILITY = 0.02
MAX_PROBABILITY = 0.995


class Suspicion:
    """Probability that one target is in a failure period.

    Attributes
    ----------
    probability, at
        Probability, and the monotonic time in seconds for which it was computed.
    last_outcome_at
        Monotonic time in seconds of the last outcome; None before the first.
    """

    def __init__(self, model: FailureModel, now: float) -> None:
        self.model = model
        self.probability = model.prior
        self.at = now
        self.last_outcome_at: float | None = None

    def probability_at(self, now: float) -> float:
        """Decay the probability up to `now` and return it."""
        elapsed = now - self.at
        if elapsed > 0:
            prior = self.model.prior
            remaining = exp(-self.model.decay_rate_per_s * elapsed)
            self.probability = prior + (self.probability - prior) * remaining
            self.at = now
        return self.probability

    def record_outcomes(self, failed: bool, now: float, count: int = 1) -> None:
        """Update the probability with `count` requests of the same outcome."""
        model = self.model
        if failed:
            ratio = model.failed_fraction_unhealthy / model.failed_fraction_healthy
        else:
            ratio = (1.0 - model.failed_fraction_unhealthy) / (
                1.0 - model.failed_fraction_healthy
            )
        self.probability = self.posterior(ratio**count, now)
        self.last_outcome_at = now

    def probability_with_overdue(self, count: int, now: float) -> float:
        """Return the probability given a number of overdue attempts."""
        return self.posterior(self.model.overdue_ratio**count, now)

    def posterior(self, ratio: float, now: float) -> float:
        """Return the probability after multiplying its odds by a likelihood ratio."""
        probability = self.probability_at(now)
        odds = probability / (1.0 - probability) * ratio
        probability = odds / (1.0 + odds)
        return min(MAX_PROBABILITY, max(MIN_PROBABILITY, probability))
