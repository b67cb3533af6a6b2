"""CUSUM detector on log-likelihood ratios of the evidence of all VMs.

Source: E. S. Page, "Continuous inspection schemes", Biometrika, 1954.
"""

from math import log
from typing import Any, NamedTuple

from primroseturn.detection.detectors import detector
from primroseturn.detection.evidence import Counts, EvidenceKey, NO_COUNTS
from primroseturn.detection.shares import ShareTable

# Fractions of bad exchanges: the least baseline (of a healthy target) and the
# alternative (of a faulty one). The baseline lies above the measured fraction of the
# service's other targets, so that chance clusters of a heavy latency tail add little
# evidence.
FAILED_BASELINE = 0.005
FAILED_ALTERNATIVE = 0.3
LATE_BASELINE = 0.04
LATE_ALTERNATIVE = 0.8
# Fractions of the late exchanges that are very late: at a healthy target with a heavy
# latency tail, and at a target that is slowed down 10x.
VERY_LATE_BASELINE = 0.25
VERY_LATE_ALTERNATIVE = 0.62
# Factor from the fraction of bad exchanges at the service's other targets to the
# baseline.
BASELINE_MARGIN = 1.5
# While several VMs observe a target, the evidence of a single VM is capped at this
# fraction of the threshold, because that VM's own network path may be at fault.
SOURCE_CAP = 0.5
# Multiple of the threshold at which a VM suspects a target on its own evidence alone.
OWN_FACTOR = 1.5
# Seconds after its last evidence during which a VM is treated as an observer.
SOURCE_ACTIVE_S = 2.0
# Least ratio of the odds that an exchange is bad at a suspected target to those at the
# service's other targets, both counted since the target's sum left zero. In an overload
# all targets are late, some a little more than others.
MIN_ODDS_RATIO = 6.0
MIN_OTHER_EXCHANGES = 20
# Least ratio of the fraction of bad exchanges in the last half second at the target to
# that at the service's other targets. It prevents ejections in an overload that began
# after the sum left zero.
MIN_RECENT_RATIO = 2.0


def log_likelihood_ratio(
    bad: Any, total: Any, baseline: float, alternative: float
) -> Any:
    """Return the log-likelihood ratio of a faulty to a healthy target.

    The evidence is that `bad` of `total` exchanges are bad; both may be numbers or
    arrays.
    """
    bad_gain = log(alternative / baseline)
    good_gain = log((1.0 - alternative) / (1.0 - baseline))
    return bad * bad_gain + (total - bad) * good_gain


def late_log_likelihood_ratio(
    late: Any, very_late: Any, total: Any, baseline: float, alternative: float
) -> Any:
    """Return the log-likelihood ratio of a faulty to a healthy target.

    The evidence is that `late` of `total` exchanges are late, and `very_late` of these
    very late.
    """
    late_gain = log((1.0 - VERY_LATE_ALTERNATIVE) / (1.0 - VERY_LATE_BASELINE))
    very_late_extra = log(VERY_LATE_ALTERNATIVE / VERY_LATE_BASELINE) - late_gain
    very_late_ratio = late * late_gain + very_late * very_late_extra
    return log_likelihood_ratio(late, total, baseline, alternative) + very_late_ratio


class CumulativeSum:
    """Cumulative sum of log-likelihood ratios, with the part of each source VM.

    Attributes
    ----------
    bad, total
        Numbers of bad and of all exchanges since the sum left zero.
    other_sums_at_start
        Counts of the service's other targets at the time when the sum left zero.
    parts_by_source
        What the evidence of each VM added to the sum, at least 0.
    """

    def __init__(self) -> None:
        self.value = 0.0
        self.bad = 0
        self.total = 0
        self.other_sums_at_start = NO_COUNTS
        self.parts_by_source: dict[str, float] = {}

    def clear(self) -> None:
        """Reset the sum to zero."""
        self.value = 0.0
        self.bad = 0
        self.total = 0
        self.parts_by_source.clear()

    def exceeds_others(self, others_bad: int, others_total: int) -> bool:
        """Return whether exchanges are clearly more often bad than at other targets.

        Both numbers are counts of exchanges with other targets since the sum left zero.
        """
        # One good exchange is added to the target's and one bad one to the others', so
        # that a few exchanges don't decide.
        own = self.bad / (self.total + 1)
        others = (max(0, others_bad) + 1) / (max(MIN_OTHER_EXCHANGES, others_total) + 1)
        return own * (1.0 - others) >= MIN_ODDS_RATIO * others * (1.0 - own)

    def add_counts(
        self, source: str, bad: int, total: int, amount: float, others: Counts
    ) -> None:
        """Add a batch of exchanges.

        Parameters
        ----------
        amount
            Log-likelihood ratio of the batch.
        others
            Counts of the service's other targets so far.
        """
        if self.value == 0.0:
            self.other_sums_at_start = others
        self.bad += bad
        self.total += total
        self.add(source, amount)

    def add(self, source: str, amount: float) -> None:
        """Add a log-likelihood ratio; the sum never goes below zero."""
        self.value = max(0.0, self.value + amount)
        if self.value == 0.0:
            self.clear()
            return
        part = self.parts_by_source.get(source, 0.0) + amount
        self.parts_by_source[source] = max(0.0, part)

    def value_with_cap(self, cap: float) -> float:
        """Return the sum with the largest source's part limited to `cap`."""
        top = max(self.parts_by_source.values(), default=0.0)
        return self.value - max(0.0, top - cap)


class TargetSums(NamedTuple):
    """Cumulative sums of one key, and when each VM last sent evidence on it."""

    failed: CumulativeSum
    late: CumulativeSum
    seen_at_by_source: dict[str, float]


@detector("cusum")
class CusumDetector:
    """Suspects a target when the evidence of a fault outweighs that of its health."""

    uses_peer_evidence = True

    def __init__(self, threshold: float, shares: ShareTable, vm: str) -> None:
        self.threshold = threshold
        self.shares = shares
        self.vm = vm
        self.sums_by_key: dict[EvidenceKey, TargetSums] = {}

    def add(self, key: EvidenceKey, source: str, counts: Counts, now: float) -> None:
        """Add a batch of counts."""
        sums = self.sums_by_key.get(key)
        if sums is None:
            sums = TargetSums(CumulativeSum(), CumulativeSum(), {})
            self.sums_by_key[key] = sums
        sums.seen_at_by_source[source] = now
        others = self.shares.shares_of_others(key, now)
        other_sums = self.shares.sums_of_others(key)
        total = counts.total
        # A sum is reset while the other targets are as bad as a faulty target.
        baseline = max(FAILED_BASELINE, BASELINE_MARGIN * others.failed)
        if baseline >= FAILED_ALTERNATIVE:
            sums.failed.clear()
        else:
            amount = log_likelihood_ratio(
                counts.failed, total, baseline, FAILED_ALTERNATIVE
            )
            sums.failed.add_counts(source, counts.failed, total, amount, other_sums)
        baseline = max(LATE_BASELINE, BASELINE_MARGIN * others.late)
        if baseline >= LATE_ALTERNATIVE:
            sums.late.clear()
        else:
            late, very_late = counts.late, counts.very_late
            amount = late_log_likelihood_ratio(
                late, very_late, total, baseline, LATE_ALTERNATIVE
            )
            sums.late.add_counts(source, late, total, amount, other_sums)

    def suspicion(self, key: EvidenceKey, now: float) -> float:
        """Return the larger of the suspicions by failed and by late exchanges.

        Only a sum whose exchanges are clearly worse than at other targets is used.
        """
        sums = self.sums_by_key.get(key)
        if sums is None:
            return 0.0
        others = self.shares.sums_of_others(key)
        recent, recent_others = self.shares.recent_shares(key, now)
        suspicion = 0.0
        if recent.failed >= MIN_RECENT_RATIO * recent_others.failed:
            start = sums.failed.other_sums_at_start
            bad, total = others.failed - start.failed, others.total - start.total
            if sums.failed.exceeds_others(bad, total):
                suspicion = self.sum_suspicion(sums, sums.failed, now)
        if recent.late >= MIN_RECENT_RATIO * recent_others.late:
            start = sums.late.other_sums_at_start
            bad, total = others.late - start.late, others.total - start.total
            if sums.late.exceeds_others(bad, total):
                late = self.sum_suspicion(sums, sums.late, now)
                suspicion = max(suspicion, late)
        return suspicion

    def sum_suspicion(
        self, sums: TargetSums, cumulative: CumulativeSum, now: float
    ) -> float:
        """Return one sum, capped per VM, as a multiple of the threshold."""
        if cumulative.value < self.threshold:
            return cumulative.value / self.threshold
        observers = sum(
            1 for at in sums.seen_at_by_source.values() if now - at < SOURCE_ACTIVE_S
        )
        if observers < 2:
            return cumulative.value / self.threshold
        value_with_cap = (
            cumulative.value_with_cap(SOURCE_CAP * self.threshold) / self.threshold
        )
        own = cumulative.parts_by_source.get(self.vm, 0.0) / self.threshold
        return max(value_with_cap, own / OWN_FACTOR)

    def forget(self, key: EvidenceKey) -> None:
        """Drop the sums of a target."""
        self.sums_by_key.pop(key, None)
