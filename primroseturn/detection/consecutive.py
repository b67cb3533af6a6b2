"""Baseline detector: failures in a row, on this VM's own evidence."""

from primroseturn.detection.detectors import detector
from primroseturn.detection.evidence import Counts, EvidenceKey
from primroseturn.detection.shares import ShareTable


@detector("consecutive")
class ConsecutiveErrors:
    """Suspects a target after `threshold` failed exchanges in a row."""

    pools = False

    def __init__(self, threshold: float, shares: ShareTable, vm: str) -> None:
        self.threshold = threshold
        self.vm = vm
        self.runs_by_key: dict[EvidenceKey, int] = {}

    def add(self, key: EvidenceKey, source: str, counts: Counts, now: float) -> None:
        """Extend or end the run of failures."""
        if source != self.vm:
            return
        if counts.failed < counts.total:
            self.runs_by_key[key] = 0
        else:
            self.runs_by_key[key] = self.runs_by_key.get(key, 0) + counts.failed

    def suspicion(self, key: EvidenceKey, now: float) -> float:
        """Return the length of the run as a multiple of the threshold."""
        return self.runs_by_key.get(key, 0) / self.threshold

    def forget(self, key: EvidenceKey) -> None:
        """Drop the run of a target."""
        self.runs_by_key.pop(key, None)
