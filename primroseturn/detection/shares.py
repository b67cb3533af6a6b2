"""Decayed shares of failed and late exchanges, per target and for its peers."""

from math import exp
from typing import NamedTuple

from primroseturn.detection.evidence import Counts, Key

SHORT_S = 0.5
LONG_S = 5.0


class Shares(NamedTuple):
    """Shares of failed and of late exchanges, and the weight behind them."""

    failed: float
    late: float
    weight: float


class DecayedCounts:
    """Counts that decay exponentially."""

    def __init__(self, span_s: float) -> None:
        self.span_s = span_s
        self.at = 0.0
        self.total = 0.0
        self.failed = 0.0
        self.late = 0.0

    def advance(self, now: float) -> None:
        """Apply the decay up to `now`."""
        if now <= self.at:
            return
        factor = exp((self.at - now) / self.span_s)
        self.at = now
        self.total *= factor
        self.failed *= factor
        self.late *= factor

    def add(self, counts: Counts, now: float) -> None:
        """Add counts at `now`."""
        self.advance(now)
        self.total += counts.total
        self.failed += counts.failed
        self.late += counts.late

    def minus(self, other: "DecayedCounts", now: float) -> Shares:
        """Return the shares without those of `other`."""
        self.advance(now)
        other.advance(now)
        total = max(0.0, self.total - other.total)
        if total < 1e-9:
            return Shares(0.0, 0.0, 0.0)
        failed = max(0.0, self.failed - other.failed) / total
        late = max(0.0, self.late - other.late) / total
        return Shares(min(1.0, failed), min(1.0, late), total)


EMPTY_SHORT = DecayedCounts(SHORT_S)
EMPTY_LONG = DecayedCounts(LONG_S)


class ShareTable:
    """Short and long shares of each target and of its service as a whole."""

    def __init__(self) -> None:
        self.spans_by_key: dict[Key, tuple[DecayedCounts, DecayedCounts]] = {}

    def spans_of(self, key: Key) -> tuple[DecayedCounts, DecayedCounts]:
        """Return the decayed counts of a key."""
        spans = self.spans_by_key.get(key)
        if spans is None:
            spans = (DecayedCounts(SHORT_S), DecayedCounts(LONG_S))
            self.spans_by_key[key] = spans
        return spans

    def add(self, key: Key, counts: Counts, now: float) -> None:
        """Add counts to a target and to its service."""
        for item in (key, key._replace(target="")):
            for span in self.spans_of(item):
                span.add(counts, now)

    def peers(self, key: Key, now: float) -> Shares:
        """Return the larger of the short and the long shares of the other targets.

        The short span lets the peers' share rise as fast as the target's own
        evidence when the whole service degrades.
        """
        own = self.spans_of(key)
        service = self.spans_of(key._replace(target=""))
        short = service[0].minus(own[0], now)
        long = service[1].minus(own[1], now)
        return Shares(
            max(short.failed, long.failed),
            max(short.late, long.late),
            long.weight,
        )

    def own(self, key: Key, now: float) -> Shares:
        """Return the short shares of a target."""
        return self.spans_of(key)[0].minus(EMPTY_SHORT, now)

    def forget(self, key: Key) -> None:
        """Drop what is known of a key."""
        self.spans_by_key.pop(key, None)
