"""Detector that compares a target's fraction of bad exchanges with that of others."""

from collections import deque
from typing import NamedTuple

from primroseturn.detection.detectors import detector
from primroseturn.detection.evidence import Counts, EvidenceKey, NO_COUNTS
from primroseturn.detection.shares import ShareTable

WINDOW_S = 1.0
MIN_EXCHANGES = 10


class Batch(NamedTuple):
    """Counts and the monotonic time in seconds of their arrival."""

    at: float
    counts: Counts


@detector("outlier")
class OutlierPercentage:
    """Suspects a target whose bad fraction exceeds that of others by `threshold`.

    The others are the other targets of the service.
    """

    uses_peer_evidence = True

    def __init__(self, threshold: float, shares: ShareTable, vm: str) -> None:
        self.threshold = threshold
        self.shares = shares
        self.batches_by_key: dict[EvidenceKey, deque[Batch]] = {}

    def add(self, key: EvidenceKey, source: str, counts: Counts, now: float) -> None:
        """Add a batch to the window."""
        self.batches_by_key.setdefault(key, deque()).append(Batch(now, counts))

    def suspicion(self, key: EvidenceKey, now: float) -> float:
        """Return the excess over the other targets as a multiple of the threshold."""
        batches = self.batches_by_key.get(key, deque())
        while batches and batches[0].at < now - WINDOW_S:
            batches.popleft()
        counts = NO_COUNTS
        for batch in batches:
            counts = counts.combined_with(batch.counts)
        if counts.total < MIN_EXCHANGES:
            return 0.0
        others = self.shares.shares_of_others(key, now)
        failed = counts.failed / counts.total - others.failed
        late = counts.late / counts.total - others.late
        return max(0.0, failed, late) / self.threshold

    def forget(self, key: EvidenceKey) -> None:
        """Drop the window of a target."""
        self.batches_by_key.pop(key, None)
