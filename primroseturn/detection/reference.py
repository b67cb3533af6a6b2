"""Reference latencies: what a target's peers and its own history lead one to expect."""

from math import exp, log
from statistics import median

from primroseturn.detection.evidence import EvidenceKey

# A request is late when it takes this many times the reference. A slow-down of 10x
# puts most requests beyond it, a lognormal tail with sigma 0.8 about 2.2%.
LATE_FACTOR = 5.0
LATE_FLOOR_S = 0.02
SAMPLES_BEFORE_USE = 5
SMALLEST_STEP = 0.02
REFRESH_S = 0.25


class MedianTracker:
    """Estimates a median by steps in log space.

    Source: stochastic approximation of a quantile (Robbins and Monro, 1951).
    """

    def __init__(self) -> None:
        self.samples = 0
        self.log_value = 0.0

    def add(self, value_s: float) -> None:
        """Move one step towards a sample."""
        sample = log(max(value_s, 1e-6))
        self.samples += 1
        if self.samples == 1:
            self.log_value = sample
            return
        step = max(SMALLEST_STEP, 0.5 / self.samples)
        self.log_value += step if sample > self.log_value else -step

    def value_s(self) -> float:
        """Return the estimate in seconds."""
        return exp(self.log_value)


class LatencyReference:
    """Expected latency per target and route class."""

    def __init__(self) -> None:
        self.trackers_by_group: dict[tuple[str, str], dict[str, MedianTracker]] = {}
        self.limits_by_key: dict[EvidenceKey, tuple[float, float | None]] = {}

    def add(self, key: EvidenceKey, latency_s: float) -> None:
        """Take note of a latency."""
        group = self.trackers_by_group.setdefault((key.service, key.route_class), {})
        group.setdefault(key.target, MedianTracker()).add(latency_s)

    def late_limit_s(self, key: EvidenceKey, now: float) -> float | None:
        """Return the latency beyond which a request is late, None if unknown.

        The larger of the peers' median and the target's own history counts, so
        neither a slower machine nor a slow-down of the whole service looks like
        a fault of one target.
        """
        kept = self.limits_by_key.get(key)
        if kept is None or now >= kept[0]:
            kept = (now + REFRESH_S, self.compute_limit_s(key))
            self.limits_by_key[key] = kept
        return kept[1]

    def compute_limit_s(self, key: EvidenceKey) -> float | None:
        """Return the limit from the present medians."""
        group = self.trackers_by_group.get((key.service, key.route_class), {})
        usable = {
            target: tracker.value_s()
            for target, tracker in group.items()
            if tracker.samples >= SAMPLES_BEFORE_USE
        }
        own = usable.pop(key.target, None)
        if len(usable) >= 2:
            peers = median(usable.values())
            return max(LATE_FLOOR_S, LATE_FACTOR * max(peers, own or 0.0))
        return None if own is None else max(LATE_FLOOR_S, LATE_FACTOR * own)

    def forget(self, service: str, targets: set[str]) -> None:
        """Drop targets that are no longer listed."""
        for (name, _), group in self.trackers_by_group.items():
            if name == service:
                for target in targets & group.keys():
                    del group[target]
        for key in [k for k in self.limits_by_key if k.target in targets]:
            del self.limits_by_key[key]
