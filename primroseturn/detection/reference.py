"""Expected latencies, from the medians of a target and of its service's other ones."""

from math import exp, log
from statistics import median

from primroseturn.detection.evidence import EvidenceKey

# A request is late beyond this multiple of the expected latency. At a target that is
# slowed down 10x most requests are late; at a healthy one with lognormal latencies
# (sigma 0.8) about 2.2% are.
LATE_FACTOR = 5.0
MIN_LATE_LIMIT_S = 0.02
MIN_SAMPLES = 5
MIN_LOG_STEP = 0.02
# Time for which a computed late limit is reused.
LIMIT_CACHE_S = 0.25


class MedianTracker:
    """Estimates a median by steps in log space.

    Source: stochastic approximation of a quantile (Robbins and Monro, 1951).
    """

    def __init__(self) -> None:
        self.samples = 0
        self.log_value = 0.0

    def add(self, value_s: float) -> None:
        """Move the estimate one step towards a sample."""
        sample = log(max(value_s, 1e-6))
        self.samples += 1
        if self.samples == 1:
            self.log_value = sample
            return
        step = max(MIN_LOG_STEP, 0.5 / self.samples)
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
        """Add the latency of a successful request."""
        group = self.trackers_by_group.setdefault((key.service, key.route_class), {})
        group.setdefault(key.target, MedianTracker()).add(latency_s)

    def late_limit_s(self, key: EvidenceKey, now: float) -> float | None:
        """Return the latency beyond which a request is late, or None if unknown.

        It follows from the larger of the target's own median and that of the service's
        other targets, so that neither a target with slower hardware nor a slow-down of
        the whole service looks like a fault of one target.
        """
        cached = self.limits_by_key.get(key)
        if cached is None or now >= cached[0]:
            cached = (now + LIMIT_CACHE_S, self.compute_limit_s(key))
            self.limits_by_key[key] = cached
        return cached[1]

    def compute_limit_s(self, key: EvidenceKey) -> float | None:
        """Return the late limit in seconds by the current medians, or None."""
        group = self.trackers_by_group.get((key.service, key.route_class), {})
        medians_by_target = {
            target: tracker.value_s()
            for target, tracker in group.items()
            if tracker.samples >= MIN_SAMPLES
        }
        own = medians_by_target.pop(key.target, None)
        if len(medians_by_target) >= 2:
            others = median(medians_by_target.values())
            return max(MIN_LATE_LIMIT_S, LATE_FACTOR * max(others, own or 0.0))
        return None if own is None else max(MIN_LATE_LIMIT_S, LATE_FACTOR * own)

    def forget(self, service: str, targets: set[str]) -> None:
        """Drop the latencies of targets that are no longer listed."""
        for (name, _), group in self.trackers_by_group.items():
            if name == service:
                for target in targets & group.keys():
                    del group[target]
        for key in [k for k in self.limits_by_key if k.target in targets]:
            del self.limits_by_key[key]
