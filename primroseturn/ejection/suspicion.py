"""Probability that a target, or the way to it, is in a spell of failures.

A target is modelled as a two-state Markov chain that is seen through the outcomes of
requests. Bayes' rule adds each outcome; between outcomes the probability returns to
the share of time that is spent in spells.

Answers the load of targets that fail part of their requests for some seconds while
their health path says that all is well.
"""

from math import exp
from typing import NamedTuple


class SpellModel(NamedTuple):
    """How often spells come and what is seen in them.

    Attributes
    ----------
    share
        Share of time in spells that is assumed without evidence.
    change_rate
        Rate per second at which old evidence loses its weight.
    failing, sound_failing
        Shares of requests that fail in a spell and outside.
    overdue_ratio
        How much likelier an overdue answer is in a spell.
    """

    share: float
    change_rate: float
    failing: float
    sound_failing: float
    overdue_ratio: float


# Failures that targets state themselves; they concern all VMs alike. The platform
# speaks of spells of several seconds in which a part of the requests fails.
STATED_FAILURES = SpellModel(0.15, 0.25, 0.75, 0.02, 1.0)
# Answers that stay away; a one-way partition concerns the way from one VM only. An
# answer that takes several times the usual time is rare at a sound target.
MISSING_ANSWERS = SpellModel(0.03, 0.2, 0.8, 0.01, 12.0)

# A spell may begin at any time, however many requests were served before.
LEAST_PROBABILITY = 0.02
MOST_PROBABILITY = 0.995


class Suspicion:
    """What the outcomes of requests say about one target.

    Attributes
    ----------
    probability
        Of a spell, at the time `at`.
    evidence_at
        Monotonic time in seconds of the last outcome; None before the first.
    """

    def __init__(self, model: SpellModel, now: float) -> None:
        self.model = model
        self.probability = model.share
        self.at = now
        self.evidence_at: float | None = None

    def advance(self, now: float) -> float:
        """Return the probability at a time."""
        elapsed = now - self.at
        if elapsed > 0:
            share = self.model.share
            kept = exp(-self.model.change_rate * elapsed)
            self.probability = share + (self.probability - share) * kept
            self.at = now
        return self.probability

    def note(self, failed: bool, now: float, count: int = 1) -> None:
        """Add outcomes of requests."""
        model = self.model
        if failed:
            ratio = model.failing / model.sound_failing
        else:
            ratio = (1.0 - model.failing) / (1.0 - model.sound_failing)
        self.probability = self.weighed(ratio**count, now)
        self.evidence_at = now

    def with_overdue(self, count: int, now: float) -> float:
        """Return the probability if so many answers are overdue."""
        return self.weighed(self.model.overdue_ratio**count, now)

    def weighed(self, ratio: float, now: float) -> float:
        """Return the probability after the odds are multiplied by a ratio."""
        probability = self.advance(now)
        odds = probability / (1.0 - probability) * ratio
        probability = odds / (1.0 + odds)
        return min(MOST_PROBABILITY, max(LEAST_PROBABILITY, probability))
