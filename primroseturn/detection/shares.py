"""Decayed fractions of failed and late exchanges at a target and at others.

The others are the other targets of the same service.
"""

from math import exp
from typing import NamedTuple

from primroseturn.detection.evidence import Counts, EvidenceKey

# Time constants of the decay.
SHORT_TIME_CONSTANT_S = 0.5
LONG_TIME_CONSTANT_S = 5.0
# Decay is applied in steps of this length, so that few exponentials are computed.
DECAY_STEP_S = 0.01


class Shares(NamedTuple):
    """Fractions of failed and of late exchanges, and the decayed exchange count."""

    failed: float
    late: float
    decayed_total: float


NO_SHARES = Shares(0.0, 0.0, 0.0)


class DecayedCounts:
    """Numbers of all, failed and late exchanges: with short, long and no decay."""

    __slots__ = ("at", "long", "short", "sums")

    def __init__(self) -> None:
        self.at = 0.0
        self.short = [0.0, 0.0, 0.0]
        self.long = [0.0, 0.0, 0.0]
        self.sums = [0, 0, 0]

    def advance(self, now: float) -> None:
        """Apply the decay up to `now`."""
        elapsed = now - self.at
        if elapsed < DECAY_STEP_S:
            return
        self.at = now
        factor = exp(-elapsed / SHORT_TIME_CONSTANT_S)
        self.short = [value * factor for value in self.short]
        factor = exp(-elapsed / LONG_TIME_CONSTANT_S)
        self.long = [value * factor for value in self.long]

    def add(self, counts: Counts, now: float) -> None:
        """Add counts at `now`."""
        self.advance(now)
        total, failed, late, _ = counts
        for values in (self.short, self.long, self.sums):
            values[0] += total
            values[1] += failed
            values[2] += late


def shares_without(all_counts: list[float], own: list[float]) -> Shares:
    """Return the fractions in all counts without those of one target."""
    total = all_counts[0] - own[0]
    if total < 1e-9:
        return NO_SHARES
    failed = (all_counts[1] - own[1]) / total
    late = (all_counts[2] - own[2]) / total
    return Shares(min(1.0, max(0.0, failed)), min(1.0, max(0.0, late)), total)


class ShareTable:
    """Decayed counts of each target and of its service as a whole."""

    def __init__(self) -> None:
        self.counts_by_key: dict[EvidenceKey, DecayedCounts] = {}
        self.counts_by_group: dict[tuple[str, str], DecayedCounts] = {}

    def counts_of(self, key: EvidenceKey) -> tuple[DecayedCounts, DecayedCounts]:
        """Return the counts of a target and those of its service."""
        own = self.counts_by_key.get(key)
        if own is None:
            own = self.counts_by_key[key] = DecayedCounts()
        name = (key.service, key.route_class)
        group = self.counts_by_group.get(name)
        if group is None:
            group = self.counts_by_group[name] = DecayedCounts()
        return own, group

    def add(self, key: EvidenceKey, counts: Counts, now: float) -> None:
        """Add counts to a target and to its service."""
        own, group = self.counts_of(key)
        own.add(counts, now)
        group.add(counts, now)

    def shares_of_others(self, key: EvidenceKey, now: float) -> Shares:
        """Return the fractions at the other targets, the larger of both decays.

        With the short decay, the fraction at the other targets rises as fast as the
        target's own evidence when the whole service degrades. The exchange count is
        that of the long decay.
        """
        own, group = self.counts_of(key)
        own.advance(now)
        group.advance(now)
        short = shares_without(group.short, own.short)
        long = shares_without(group.long, own.long)
        return Shares(
            max(short.failed, long.failed),
            max(short.late, long.late),
            long.decayed_total,
        )

    def sums_of_others(self, key: EvidenceKey) -> Counts:
        """Return the sums of all counts of the other targets, without decay."""
        own, group = self.counts_of(key)
        return Counts(*(g - o for g, o in zip(group.sums, own.sums, strict=True)))

    def recent_shares(self, key: EvidenceKey, now: float) -> tuple[Shares, Shares]:
        """Return the fractions at a target and at the others, with short decay."""
        own, group = self.counts_of(key)
        own.advance(now)
        group.advance(now)
        own_shares = shares_without(own.short, [0.0, 0.0, 0.0])
        return own_shares, shares_without(group.short, own.short)

    def shares_of(self, key: EvidenceKey, now: float) -> Shares:
        """Return the fractions at a target with short decay."""
        counts = self.counts_by_key.get(key)
        if counts is None:
            return NO_SHARES
        counts.advance(now)
        return shares_without(counts.short, [0.0, 0.0, 0.0])

    def forget(self, key: EvidenceKey) -> None:
        """Drop the counts of a target."""
        # The sums of the service keep the target's part, as only differences are used.
        self.counts_by_key.pop(key, None)
