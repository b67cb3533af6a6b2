"""Phi-accrual detector on the time since the last good response.

Source: Hayashibara, Defago, Yared, Katayama, "The phi accrual failure detector",
2004. The gaps between good responses replace the heartbeat intervals.
"""

from math import log
from typing import NamedTuple

from primroseturn.detection.detectors import detector
from primroseturn.detection.evidence import Counts, EvidenceKey
from primroseturn.detection.shares import ShareTable

MIN_GAP_WEIGHT = 0.02
MIN_GAPS = 50


class Gaps(NamedTuple):
    """Gaps between good responses.

    Attributes
    ----------
    responses
        Number of good responses so far.
    mean_s
        Mean gap between them in seconds.
    last_at
        Monotonic time in seconds of the last one.
    bad_since
        Number of bad responses since then.
    """

    responses: int
    mean_s: float
    last_at: float
    bad_since: int


@detector("phi")
class PhiAccrual:
    """Suspects a target whose last good response is improbably long ago."""

    uses_peer_evidence = True

    def __init__(self, threshold: float, shares: ShareTable, vm: str) -> None:
        self.threshold = threshold
        self.gaps_by_key: dict[EvidenceKey, Gaps] = {}

    def add(self, key: EvidenceKey, source: str, counts: Counts, now: float) -> None:
        """Update the mean gap with the good responses of a batch."""
        gaps = self.gaps_by_key.get(key, Gaps(0, 0.0, now, 0))
        bad = min(counts.total, counts.failed + counts.late)
        good = counts.total - bad
        if good <= 0:
            self.gaps_by_key[key] = gaps._replace(bad_since=gaps.bad_since + bad)
            return
        gap = max(0.0, now - gaps.last_at) / good
        weight = max(MIN_GAP_WEIGHT, 1.0 / (gaps.responses + 1))
        mean = gaps.mean_s + (gap - gaps.mean_s) * min(1.0, weight * good)
        self.gaps_by_key[key] = Gaps(gaps.responses + good, mean, now, 0)

    def suspicion(self, key: EvidenceKey, now: float) -> float:
        """Return phi as a multiple of the threshold."""
        gaps = self.gaps_by_key.get(key)
        if gaps is None or gaps.responses < MIN_GAPS or gaps.bad_since == 0:
            return 0.0
        phi = (now - gaps.last_at) / max(gaps.mean_s, 1e-6) / log(10.0)
        return phi / self.threshold

    def forget(self, key: EvidenceKey) -> None:
        """Drop the gaps of a target."""
        self.gaps_by_key.pop(key, None)
