"""Probability that a target is in a spell in which it fails most requests.

A target is modelled as a two-state Markov chain that is seen through the outcomes of
requests, of all VMs together. Bayes' rule adds each outcome; between outcomes the
probability returns to the share of time that targets spend in spells.

Answers the load of targets that fail part of their requests for some seconds while
their health path says that all is well.
"""

from math import exp

# Share of time in spells that is assumed of a target without evidence.
SPELL_SHARE = 0.15
# Rate per second at which old evidence loses its weight; the pages speak of spells of
# several seconds.
CHANGE_RATE_PER_S = 0.25
# Share of requests that fail in a spell; between part and all of them.
FAILING_SHARE = 0.75
# Share of requests that fail at a sound target; a floor, because few outcomes are seen.
SOUND_FAILING_SHARE = 0.02
# How much likelier an answer is to be overdue in a spell than at a sound target.
OVERDUE_RATIO = 4.0
LEAST_PROBABILITY = 0.002
MOST_PROBABILITY = 0.995


class Suspicion:
    """What the outcomes of requests say about one target.

    Attributes
    ----------
    probability
        Of a spell, at the time `at`.
    evidence_at
        Monotonic time in seconds of the last outcome, of any VM.
    """

    def __init__(self, now: float) -> None:
        self.probability = SPELL_SHARE
        self.at = now
        self.evidence_at = now

    def advance(self, now: float) -> float:
        """Return the probability at a time."""
        elapsed = now - self.at
        if elapsed > 0:
            kept = exp(-CHANGE_RATE_PER_S * elapsed)
            self.probability = SPELL_SHARE + (self.probability - SPELL_SHARE) * kept
            self.at = now
        return self.probability

    def note(self, failed: bool, now: float, count: int = 1) -> None:
        """Add outcomes of requests that a target ran."""
        if failed:
            ratio = FAILING_SHARE / SOUND_FAILING_SHARE
        else:
            ratio = (1.0 - FAILING_SHARE) / (1.0 - SOUND_FAILING_SHARE)
        self.weigh(ratio**count, now)

    def note_overdue(self, now: float) -> None:
        """Add that an answer is late beyond what is usual."""
        self.weigh(OVERDUE_RATIO, now)

    def weigh(self, ratio: float, now: float) -> None:
        """Multiply the odds by a likelihood ratio."""
        probability = self.advance(now)
        odds = probability / (1.0 - probability) * ratio
        probability = odds / (1.0 + odds)
        self.probability = min(MOST_PROBABILITY, max(LEAST_PROBABILITY, probability))
        self.evidence_at = now
