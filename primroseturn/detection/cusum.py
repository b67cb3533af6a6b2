"""CUSUM on log-likelihood ratios, pooled over VMs.

Source: E. S. Page, "Continuous inspection schemes", Biometrika, 1954.
"""

from math import log
from typing import Any, NamedTuple

from primroseturn.detection.detectors import detector
from primroseturn.detection.evidence import Counts, EvidenceKey, NO_COUNTS
from primroseturn.detection.shares import ShareTable

# Shares that a healthy target is never assumed to undercut, and those of a faulty
# one. The baseline is above the peers' measured share, so chance clusters of a
# heavy tail add little.
FAILED_BASELINE = 0.005
FAILED_ALTERNATIVE = 0.3
LATE_BASELINE = 0.04
LATE_ALTERNATIVE = 0.8
# Of the late exchanges, the shares that are very late: with a heavy tail, and after
# a slow-down of 10x.
VERY_LATE_BASELINE = 0.25
VERY_LATE_ALTERNATIVE = 0.62
BASELINE_MARGIN = 1.5
# One VM's evidence counts up to this share of the threshold while others observe
# the target too, because that VM's own network path may be at fault.
SOURCE_CAP = 0.5
# From this multiple of the threshold on, a VM's own evidence is enough for itself.
OWN_FACTOR = 1.5
SOURCE_LIFE_S = 2.0
# The odds of a suspect's exchanges to be bad must be this many times those of its
# peers, both since its sum left zero. In an overload all targets are late, some a
# little more than others.
CONTRAST = 6.0
LEAST_PEER_EXCHANGES = 20
# The same on the shares of the last half second, which follow an overload that began
# after the sum left zero.
RECENT_CONTRAST = 2.0


def log_likelihood_ratio(
    bad: Any, total: Any, baseline: float, alternative: float
) -> Any:
    """Return the log-likelihood ratio of `bad` among `total` exchanges.

    `bad` and `total` may be numbers or arrays.
    """
    bad_gain = log(alternative / baseline)
    good_gain = log((1.0 - alternative) / (1.0 - baseline))
    return bad * bad_gain + (total - bad) * good_gain


def late_log_likelihood_ratio(
    late: Any, very_late: Any, total: Any, baseline: float, alternative: float
) -> Any:
    """Return the log-likelihood ratio of late exchanges with their degrees."""
    only_late = log((1.0 - VERY_LATE_ALTERNATIVE) / (1.0 - VERY_LATE_BASELINE))
    step = log(VERY_LATE_ALTERNATIVE / VERY_LATE_BASELINE) - only_late
    degrees = late * only_late + very_late * step
    return log_likelihood_ratio(late, total, baseline, alternative) + degrees


class Channel:
    """One cumulative sum with the positive part that each source added."""

    def __init__(self) -> None:
        self.value = 0.0
        self.bad = 0
        self.total = 0
        self.peers_at_start = NO_COUNTS
        self.parts_by_source: dict[str, float] = {}

    def clear(self) -> None:
        """Start anew."""
        self.value = 0.0
        self.bad = 0
        self.total = 0
        self.parts_by_source.clear()

    def stands_out(self, peers_bad: int, peers_total: int) -> bool:
        """Return whether the bad share since the sum left zero exceeds the peers'."""
        # One more good exchange here and one more bad one there keep small numbers
        # from deciding.
        own = self.bad / (self.total + 1)
        peers = (max(0, peers_bad) + 1) / (max(LEAST_PEER_EXCHANGES, peers_total) + 1)
        return own * (1.0 - peers) >= CONTRAST * peers * (1.0 - own)

    def add_counts(
        self, source: str, bad: int, total: int, amount: float, peers: Counts
    ) -> None:
        """Add a batch of exchanges. `peers` are the present sums of the peers."""
        if self.value == 0.0:
            self.peers_at_start = peers
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

    def capped(self, cap: float) -> float:
        """Return the sum with the largest source's part limited to `cap`."""
        top = max(self.parts_by_source.values(), default=0.0)
        return self.value - max(0.0, top - cap)


class TargetSums(NamedTuple):
    """What the detector keeps of one key."""

    failed: Channel
    late: Channel
    seen_at_by_source: dict[str, float]


@detector("cusum")
class CusumDetector:
    """Sums the evidence for a fault against the evidence for health."""

    pools = True

    def __init__(self, threshold: float, shares: ShareTable, vm: str) -> None:
        self.threshold = threshold
        self.shares = shares
        self.vm = vm
        self.sums_by_key: dict[EvidenceKey, TargetSums] = {}

    def add(self, key: EvidenceKey, source: str, counts: Counts, now: float) -> None:
        """Add a batch of counts."""
        sums = self.sums_by_key.get(key)
        if sums is None:
            sums = TargetSums(Channel(), Channel(), {})
            self.sums_by_key[key] = sums
        sums.seen_at_by_source[source] = now
        peers = self.shares.peers(key, now)
        peer_sums = self.shares.peer_sums(key)
        total = counts.total
        # A sum starts anew when the peers are as bad as a faulty target.
        baseline = max(FAILED_BASELINE, BASELINE_MARGIN * peers.failed)
        if baseline >= FAILED_ALTERNATIVE:
            sums.failed.clear()
        else:
            amount = log_likelihood_ratio(
                counts.failed, total, baseline, FAILED_ALTERNATIVE
            )
            sums.failed.add_counts(source, counts.failed, total, amount, peer_sums)
        baseline = max(LATE_BASELINE, BASELINE_MARGIN * peers.late)
        if baseline >= LATE_ALTERNATIVE:
            sums.late.clear()
        else:
            late, very_late = counts.late, counts.very_late
            amount = late_log_likelihood_ratio(
                late, very_late, total, baseline, LATE_ALTERNATIVE
            )
            sums.late.add_counts(source, late, total, amount, peer_sums)

    def suspicion(self, key: EvidenceKey, now: float) -> float:
        """Return the larger sum as a multiple of the threshold."""
        sums = self.sums_by_key.get(key)
        if sums is None:
            return 0.0
        peers = self.shares.peer_sums(key)
        recent, recent_peers = self.shares.recent(key, now)
        suspicion = 0.0
        if recent.failed >= RECENT_CONTRAST * recent_peers.failed:
            start = sums.failed.peers_at_start
            bad, total = peers.failed - start.failed, peers.total - start.total
            if sums.failed.stands_out(bad, total):
                suspicion = self.channel_suspicion(sums, sums.failed, now)
        if recent.late >= RECENT_CONTRAST * recent_peers.late:
            start = sums.late.peers_at_start
            bad, total = peers.late - start.late, peers.total - start.total
            if sums.late.stands_out(bad, total):
                late = self.channel_suspicion(sums, sums.late, now)
                suspicion = max(suspicion, late)
        return suspicion

    def channel_suspicion(
        self, sums: TargetSums, channel: Channel, now: float
    ) -> float:
        """Return one sum as a multiple of the threshold."""
        if channel.value < self.threshold:
            return channel.value / self.threshold
        observers = sum(
            1 for at in sums.seen_at_by_source.values() if now - at < SOURCE_LIFE_S
        )
        if observers < 2:
            return channel.value / self.threshold
        capped = channel.capped(SOURCE_CAP * self.threshold) / self.threshold
        own = channel.parts_by_source.get(self.vm, 0.0) / self.threshold
        return max(capped, own / OWN_FACTOR)

    def forget(self, key: EvidenceKey) -> None:
        """Drop the sums of a target."""
        self.sums_by_key.pop(key, None)
