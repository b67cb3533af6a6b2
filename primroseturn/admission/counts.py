"""Counts that decay with time."""

from math import exp


class DecayingCount:
    """A count in which each event loses weight exponentially.

    Parameters
    ----------
    time_constant_s
        Seconds in which the weight of an event falls to 1/e.
    """

    def __init__(self, time_constant_s: float) -> None:
        self.time_constant_s = time_constant_s
        self.value = 0.0
        self.updated_at = 0.0

    def at(self, now: float) -> float:
        """Return the count at a time."""
        elapsed_s = max(0.0, now - self.updated_at)
        return self.value * exp(-elapsed_s / self.time_constant_s)

    def add(self, amount: float, now: float) -> None:
        """Add events."""
        self.value = self.at(now) + amount
        self.updated_at = max(now, self.updated_at)
