"""Detector that counts failures in a row, to compare other detectors with.

It uses this VM's own evidence only.
"""

from primroseturn.detection.detectors import detector
from primroseturn.detection.evidence import Counts, EvidenceKey
from primroseturn.detection.shares import ShareTable


@detector("consecutive")
class ConsecutiveErrors:
    """Suspects a target after `threshold` failed exchanges in a row."""

    uses_peer_evidence = False

    def __init__(self, threshold: float, shares: ShareTable, vm: str) -> None:
        self.threshold = threshold
        self.vm = vm
        self.failures_in_row_by_key: dict[EvidenceKey, int] = {}

    def add(self, key: EvidenceKey, source: str, counts: Counts, now: float) -> None:
        """Count failed exchanges in a row; a success resets the count."""
        if source != self.vm:
            return
        if counts.failed < counts.total:
            self.failures_in_row_by_key[key] = 0
        else:
            self.failures_in_row_by_key[key] = (
                self.failures_in_row_by_key.get(key, 0) + counts.failed
            )

    def suspicion(self, key: EvidenceKey, now: float) -> float:
        """Return the failures in a row as a multiple of the threshold."""
        return self.failures_in_row_by_key.get(key, 0) / self.threshold

    def forget(self, key: EvidenceKey) -> None:
        """Drop the count of a target."""
        self.failures_in_row_by_key.pop(key, None)
